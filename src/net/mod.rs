//! HTTP server and clients over compio.

mod answer_body;
mod body_pace;
mod body_reader;
mod buffer_budget;
mod caller_stream;
mod client_closures;
mod connection_progress;
mod connection_table;
mod errors;
mod event_buffer;
mod head_limit;
mod http_body;
mod http_server;
mod peer_client;
mod read_progress;
mod scheduled_timeout;
mod socket_options;
mod socket_stream;
mod sweep_signal;
mod tcp_dial;
mod unpooled_call;

pub use body_pace::BodyPace;
pub use body_reader::{discard_body, read_at_pace, read_body, read_leased};
pub use buffer_budget::{
    BufferBudget, BufferLease, BufferPurpose, BufferShortage, SMALL_MESSAGE_BYTES,
};
pub use client_closures::{ClientClosures, ClosureReason};
pub use connection_table::ConnectionLimits;
pub use errors::NetError;
pub use event_buffer::{EventBuffer, OversizedEvent};
pub use http_body::{
    BodyError, HttpBody, empty_body, full_body, header_bytes, json_response, stream_body,
};
pub use http_server::{AbortConnection, HttpHandler, HttpServer, ServerHandle, ServerLimits};
pub use peer_client::PeerClient;
pub use read_progress::ReadProgress;
pub use scheduled_timeout::scheduled_timeout;
pub use tcp_dial::dial;
pub use unpooled_call::{ExchangeGuard, OpenExchange, send_guarded, send_unpooled};
