//! Faults on command.

use std::cell::Cell;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use quetzalpin::net::{AbortConnection, HttpBody, empty_body, json_response, read_body};
use serde::{Deserialize, Serialize};

/// Largest fault order in bytes.
const MAX_CONFIG_BYTES: usize = 4_096;

/// Milliseconds that a fault order may take to arrive.
const CONFIG_TIMEOUT_MS: u64 = 1_000;

/// The faults that a stand-in shows until told otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct FaultConfig {
    /// Milliseconds by which each answer is late.
    pub delay_ms: u64,
    /// No request is taken.
    pub down: bool,
    /// This many answers are lost after they took effect.
    pub lose_answers: u32,
}

/// Holds the current faults.
#[derive(Debug, Default)]
pub struct FaultSwitch {
    config: Cell<FaultConfig>,
}

impl FaultSwitch {
    /// Sets the faults.
    pub fn set(&self, config: FaultConfig) {
        self.config.set(config);
    }

    /// Takes an order that arrived at `/fault`.
    ///
    /// # Errors
    /// The request, if it is another one.
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

    /// Waits out the delay; false if the request must not be taken.
    pub async fn admit(&self) -> bool {
        let config = self.config.get();
        if config.delay_ms > 0 {
            compio::time::sleep(Duration::from_millis(config.delay_ms)).await;
        }
        !config.down
    }

    /// Lets an answer out, or loses it.
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

/// A response that closes the connection.
pub fn abort_response() -> Response<HttpBody> {
    let mut response = Response::new(empty_body());
    response.extensions_mut().insert(AbortConnection);
    response
}
