//! Server side of the control interface.

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use jsonrpsee::core::server::Methods;

use crate::net::{HttpBody, empty_body, full_body, read_body};

/// Largest JSON-RPC call in bytes.
const MAX_CALL_BYTES: usize = 8 * 1024 * 1024;

/// Milliseconds within which a call's body must arrive.
const CALL_BODY_TIMEOUT_MS: u64 = 2_000;

/// Serves JSON-RPC calls that arrive as HTTP requests.
#[derive(Debug, Clone)]
pub struct RpcEndpoint {
    methods: Methods,
}

impl RpcEndpoint {
    /// Creates an endpoint for a set of methods.
    #[must_use]
    pub fn open(methods: impl Into<Methods>) -> Self {
        Self {
            methods: methods.into(),
        }
    }

    /// Handles one call.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let Ok(body) = read_body(request.into_body(), MAX_CALL_BYTES, CALL_BODY_TIMEOUT_MS).await
        else {
            return bad_request();
        };
        let Ok(text) = std::str::from_utf8(&body) else {
            return bad_request();
        };
        match self.methods.raw_json_request(text, 1).await {
            Ok((response, _)) => Response::new(full_body(response.get().to_owned())),
            Err(_) => bad_request(),
        }
    }
}

fn bad_request() -> Response<HttpBody> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}
