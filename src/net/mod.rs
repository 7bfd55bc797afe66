//! HTTP plumbing over compio: one server loop and one client for peers.

mod call_pool;
mod errors;
mod fresh_call;
mod http_body;
mod http_server;
mod peer_client;
mod socket_options;
mod tcp_dial;

pub use call_pool::CallPool;
pub use errors::NetError;
pub use fresh_call::send_fresh;
pub use http_body::{
    BodyError, HttpBody, empty_body, full_body, json_response, read_body, stream_body,
};
pub use http_server::{AbortConnection, HttpHandler, HttpServer, HttpServing, ServerLimits};
pub use peer_client::PeerClient;
pub use tcp_dial::dial;
