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

/// Timeout of a state read in milliseconds.
const STATE_TIMEOUT_MS: u64 = 1_000;

/// Client of one engine. State reads and repeatable requests use pooled connections: the
/// engine's state shows a request that was lost on a connection that went silent. Orders and
/// requests that may not be repeated each use a new connection.
#[derive(Debug, Clone)]
pub struct EngineClient {
    state_client: cyper::Client,
    state_url: String,
    request_pool: ConnectionPool,
    address: SocketAddr,
}

impl EngineClient {
    /// Creates a client; connections are opened on demand.
    ///
    /// # Errors
    /// [`EngineError::Transport`] if the HTTP client cannot be set up.
    pub fn open(address: SocketAddr) -> Result<Self, EngineError> {
        Ok(Self {
            state_client: cyper::Client::new().map_err(EngineError::Transport)?,
            state_url: format!("http://{address}/admin/state"),
            request_pool: ConnectionPool::open(address),
            address,
        })
    }

    /// Reads the engine's state.
    ///
    /// # Errors
    /// [`EngineError`] if the engine does not respond in time.
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

    /// Sends a load command and waits until the load has ended.
    ///
    /// # Errors
    /// [`EngineError::Refused`] if nothing was changed; after other errors the effect is unknown.
    pub async fn load(&self, command: &LoadCommand, limit_ms: u64) -> Result<(), EngineError> {
        self.send_command("load", command, limit_ms).await
    }

    /// Sends an unload command and waits until the unload has ended.
    ///
    /// # Errors
    /// [`EngineError::Refused`] if nothing was changed; after other errors the effect is unknown.
    pub async fn unload(&self, command: &UnloadCommand, limit_ms: u64) -> Result<(), EngineError> {
        self.send_command("unload", command, limit_ms).await
    }

    /// Sends a request and returns when the response head has arrived.
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
            self.request_pool.send(request).await
        } else {
            send_unpooled(self.address, request).await
        };
        sent.map_err(EngineError::Exchange)
    }

    async fn send_command<C: Serialize>(
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
