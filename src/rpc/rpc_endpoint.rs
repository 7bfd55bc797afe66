//! Server side of the control interface.

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use jsonrpsee::core::server::Methods;

use crate::net::{
    BufferBudget, BufferPurpose, HttpBody, empty_body, full_body, read_body, read_leased,
};

/// Largest JSON-RPC call in bytes.
const MAX_CALL_BYTES: usize = 8 * 1024 * 1024;

/// Milliseconds within which a call's body must arrive.
const CALL_BODY_TIMEOUT_MS: u64 = 2_000;

/// Serves JSON-RPC calls that arrive as HTTP requests.
#[derive(Debug, Clone)]
pub struct RpcEndpoint {
    methods: Methods,
    /// Memory for calls; `None` if nothing limits their sum.
    buffers: Option<Rc<BufferBudget>>,
}

impl RpcEndpoint {
    /// Creates an endpoint for a set of methods.
    #[must_use]
    pub fn open(methods: impl Into<Methods>) -> Self {
        Self {
            methods: methods.into(),
            buffers: None,
        }
    }

    /// Holds calls within a budget.
    #[must_use]
    pub fn within(mut self, buffers: Rc<BufferBudget>) -> Self {
        self.buffers = Some(buffers);
        self
    }

    /// Handles one call.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let body = request.into_body();
        let buffers = self.buffers.as_ref();
        let mut lease = buffers.map(|buffers| buffers.lease(BufferPurpose::PeerCall));
        let read = match &mut lease {
            Some(lease) => read_leased(body, MAX_CALL_BYTES, CALL_BODY_TIMEOUT_MS, lease).await,
            None => read_body(body, MAX_CALL_BYTES, CALL_BODY_TIMEOUT_MS).await,
        };
        let body = match read {
            Ok(body) => body,
            Err(error) => {
                log::warn!(error:% = error; "call of a peer not read");
                return bad_request();
            }
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
