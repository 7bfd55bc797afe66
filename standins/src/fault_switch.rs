//! Faults of a stand-in that tests turn on and off.

use std::cell::Cell;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use quetzalpin::net::{AbortConnection, HttpBody, empty_body, json_response, read_body};
use serde::{Deserialize, Serialize};

/// Maximum size of a fault configuration.
const MAX_CONFIG_BYTES: usize = 4_096;

/// Time limit for reading a fault configuration.
const CONFIG_TIMEOUT_MS: u64 = 1_000;

/// Faults of a stand-in; they stay in force until the next configuration replaces them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct FaultConfig {
    /// Delay of each request in milliseconds.
    pub delay_ms: u64,
    /// Whether the connection is closed instead of handling the request.
    pub down: bool,
    /// Number of responses still to be lost after their request took effect.
    pub lose_answers: u32,
}

/// Holds the faults in force and applies them to requests.
#[derive(Debug, Default)]
pub struct FaultSwitch {
    config: Cell<FaultConfig>,
}

impl FaultSwitch {
    /// Replaces the faults in force.
    pub fn set(&self, config: FaultConfig) {
        self.config.set(config);
    }

    /// Handles `POST /fault`: replaces the faults in force.
    ///
    /// # Errors
    /// The unchanged request, if it is for another path or method.
    pub async fn accept_config(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<HttpBody>, Request<Incoming>> {
        if request.uri().path() != "/fault" || request.method() != Method::POST {
            return Err(request);
        }
        let body = read_body(request.into_body(), MAX_CONFIG_BYTES, CONFIG_TIMEOUT_MS).await;
        let config = body
            .ok()
            .and_then(|body| serde_json::from_slice(&body).ok());
        Ok(match config {
            Some(config) => {
                self.set(config);
                json_response(StatusCode::OK, &config)
            }
            None => json_response(StatusCode::BAD_REQUEST, &"not a fault order"),
        })
    }

    /// Waits for the configured delay; false if the stand-in is down and must not handle the
    /// request.
    pub async fn admit(&self) -> bool {
        let config = self.config.get();
        if config.delay_ms > 0 {
            compio::time::sleep(Duration::from_millis(config.delay_ms)).await;
        }
        !config.down
    }

    /// Returns the response, or one that closes the connection if it is to be lost.
    pub fn apply_answer_loss(&self, response: Response<HttpBody>) -> Response<HttpBody> {
        let mut config = self.config.get();
        if config.lose_answers == 0 {
            return response;
        }
        config.lose_answers -= 1;
        self.config.set(config);
        abort_response()
    }
}

/// Response that makes the server close the connection without sending it.
pub fn abort_response() -> Response<HttpBody> {
    let mut response = Response::new(empty_body());
    response.extensions_mut().insert(AbortConnection);
    response
}
