//! Calls to one engine over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, Response};
use serde::Serialize;

use super::{EngineError, EngineState, LoadCommand, UnloadCommand};
use crate::ids::AttemptId;
use crate::net::{ConnectionPool, NetError, full_body, send_unpooled};

/// Milliseconds before a state read counts as unanswered.
const STATE_TIMEOUT_MS: u64 = 1_000;

/// Client of one engine. State reads and requests share kept connections: the engine's
/// state shows a request that was lost on one that went silent. Orders and requests that may
/// not be repeated each have a connection of their own.
#[derive(Debug, Clone)]
pub struct EngineClient {
    state_client: cyper::Client,
    state_url: String,
    requests: ConnectionPool,
    address: SocketAddr,
}

impl EngineClient {
    /// Opens a client; connections are made on demand.
    ///
    /// # Errors
    /// [`EngineError::Transport`] if the HTTP client cannot be set up.
    pub fn open(address: SocketAddr) -> Result<Self, EngineError> {
        Ok(Self {
            state_client: cyper::Client::new().map_err(EngineError::Transport)?,
            state_url: format!("http://{address}/admin/state"),
            requests: ConnectionPool::open(address),
            address,
        })
    }

    /// Reads the engine's state.
    ///
    /// # Errors
    /// [`EngineError`] if the engine does not answer in time.
    pub async fn state(&self) -> Result<EngineState, EngineError> {
        let reading = async {
            let response = self.state_client.get(&self.state_url)?.send().await?;
            response.json().await
        };
        compio::time::timeout(Duration::from_millis(STATE_TIMEOUT_MS), reading)
            .await
            .map_err(|_| EngineError::Timeout(STATE_TIMEOUT_MS))?
            .map_err(EngineError::Transport)
    }

    /// Orders a load and waits for its end.
    ///
    /// # Errors
    /// [`EngineError::Refused`] if nothing was changed; any other error leaves that open.
    pub async fn load(&self, command: &LoadCommand, limit_ms: u64) -> Result<(), EngineError> {
        self.order("load", command, limit_ms).await
    }

    /// Orders an unload and waits for its end.
    ///
    /// # Errors
    /// [`EngineError::Refused`] if nothing was changed; any other error leaves that open.
    pub async fn unload(&self, command: &UnloadCommand, limit_ms: u64) -> Result<(), EngineError> {
        self.order("unload", command, limit_ms).await
    }

    /// Hands a request over and returns once the response head is there.
    ///
    /// # Errors
    /// [`EngineError::Exchange`] if the connection breaks before the head.
    pub async fn generate(
        &self,
        attempt: AttemptId,
        priority: u32,
        body: Bytes,
        is_repeatable: bool,
    ) -> Result<Response<Incoming>, EngineError> {
        let request = Request::post("/v1/chat/completions")
            .header(HOST, self.address.to_string())
            .header("content-type", "application/json")
            .header("x-request-id", attempt.to_string())
            .header("x-priority", priority)
            .body(full_body(body))
            .map_err(NetError::Request);
        let request = request.map_err(EngineError::Exchange)?;
        let sent = if is_repeatable {
            self.requests.send(request).await
        } else {
            send_unpooled(self.address, request).await
        };
        sent.map_err(EngineError::Exchange)
    }

    async fn order<C: Serialize>(
        &self,
        name: &str,
        command: &C,
        limit_ms: u64,
    ) -> Result<(), EngineError> {
        let body = serde_json::to_vec(command).unwrap_or_default();
        let request = Request::post(format!("/admin/{name}"))
            .header(HOST, self.address.to_string())
            .header("content-type", "application/json")
            .body(full_body(body))
            .map_err(NetError::Request);
        let request = request.map_err(EngineError::Exchange)?;
        let sending = send_unpooled(self.address, request);
        let response = compio::time::timeout(Duration::from_millis(limit_ms), sending)
            .await
            .map_err(|_| EngineError::Timeout(limit_ms))?
            .map_err(EngineError::Exchange)?;
        match response.status().as_u16() {
            200 => Ok(()),
            status => Err(EngineError::Refused(status)),
        }
    }
}
