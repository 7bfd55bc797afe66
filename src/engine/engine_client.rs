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
use crate::net::{NetError, empty_body, full_body, read_body, send_unpooled};

/// Timeout of a state read in milliseconds.
const STATE_TIMEOUT_MS: u64 = 1_000;

/// Largest state of an engine in bytes.
const MAX_STATE_BYTES: usize = 4 * 1024 * 1024;

/// Client of one engine. Each call uses a new connection: on a reused one, a late copy of an
/// earlier response would be taken for the response to the next call.
#[derive(Debug, Clone)]
pub struct EngineClient {
    address: SocketAddr,
}

impl EngineClient {
    /// Creates a client; connections are opened on demand.
    #[must_use]
    pub const fn open(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Reads the engine's state.
    ///
    /// # Errors
    /// [`EngineError`] if the engine does not respond in time.
    pub async fn state(&self) -> Result<EngineState, EngineError> {
        let request = Request::get("/admin/state")
            .header(HOST, self.address.to_string())
            .body(empty_body())
            .map_err(|error| EngineError::Exchange(NetError::Request(error)))?;
        let reading = async {
            let response = send_unpooled(self.address, request)
                .await
                .map_err(EngineError::Exchange)?;
            let body = read_body(response.into_body(), MAX_STATE_BYTES, STATE_TIMEOUT_MS)
                .await
                .map_err(EngineError::Truncated)?;
            serde_json::from_slice(&body).map_err(EngineError::Decode)
        };
        compio::time::timeout(Duration::from_millis(STATE_TIMEOUT_MS), reading)
            .await
            .map_err(|_| EngineError::Timeout(STATE_TIMEOUT_MS))?
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
    ) -> Result<Response<Incoming>, EngineError> {
        let request = Request::post("/v1/chat/completions")
            .header(HOST, self.address.to_string())
            .header("content-type", "application/json")
            .header("x-request-id", attempt.to_string())
            .header("x-priority", priority)
            .body(full_body(body))
            .map_err(NetError::Request);
        let request = request.map_err(EngineError::Exchange)?;
        send_unpooled(self.address, request)
            .await
            .map_err(EngineError::Exchange)
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
