//! Calls to one engine over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

use super::{EngineError, EngineState, LoadCommand, UnloadCommand};
use crate::ids::AttemptId;

/// Milliseconds before a state read counts as unanswered.
const STATE_TIMEOUT_MS: u64 = 1_000;

/// Client of one engine.
#[derive(Debug, Clone)]
pub struct EngineClient {
    client: cyper::Client,
    base: String,
}

impl EngineClient {
    /// Opens a client; connections are made on demand.
    ///
    /// # Errors
    /// [`EngineError::Transport`] if the HTTP client cannot be set up.
    pub fn open(address: SocketAddr) -> Result<Self, EngineError> {
        Ok(Self {
            client: cyper::Client::new().map_err(EngineError::Transport)?,
            base: format!("http://{address}"),
        })
    }

    /// Reads the engine's state.
    ///
    /// # Errors
    /// [`EngineError`] if the engine does not answer in time.
    pub async fn state(&self) -> Result<EngineState, EngineError> {
        let reading = async {
            let url = format!("{}/admin/state", self.base);
            let response = self.client.get(url)?.send().await?;
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
    /// [`EngineError::Transport`] if the connection breaks before the head.
    pub async fn generate(
        &self,
        attempt: AttemptId,
        priority: u32,
        body: Bytes,
    ) -> Result<cyper::Response, EngineError> {
        let url = format!("{}/v1/chat/completions", self.base);
        let request = self
            .client
            .post(url)
            .and_then(|request| request.header("content-type", "application/json"))
            .and_then(|request| request.header("x-request-id", attempt.to_string()))
            .and_then(|request| request.header("x-priority", priority.to_string()))
            .map_err(EngineError::Transport)?;
        let response = request.body(body).send().await;
        response.map_err(EngineError::Transport)
    }

    async fn order<C: Serialize>(
        &self,
        name: &str,
        command: &C,
        limit_ms: u64,
    ) -> Result<(), EngineError> {
        let sending = async {
            let url = format!("{}/admin/{name}", self.base);
            self.client.post(url)?.json(command)?.send().await
        };
        let response = compio::time::timeout(Duration::from_millis(limit_ms), sending)
            .await
            .map_err(|_| EngineError::Timeout(limit_ms))?
            .map_err(EngineError::Transport)?;
        match response.status().as_u16() {
            200 => Ok(()),
            status => Err(EngineError::Refused(status)),
        }
    }
}
