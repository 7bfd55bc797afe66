//! Bodies of requests and responses.

use bytes::Bytes;
use derive_more::Error;
use displaydoc::Display;
use futures_util::{Stream, StreamExt};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, StreamBody};
use hyper::body::Frame;
use hyper::{HeaderMap, Response, StatusCode};
use send_wrapper::SendWrapper;
use serde::Serialize;

use super::BufferShortage;

/// Why a body could not be read or written to its end.
#[derive(Debug, Display, Error)]
pub enum BodyError {
    /// the body is larger than {0} bytes
    TooLarge(#[error(not(source))] usize),
    /// the body did not arrive within {0} ms
    TooSlow(#[error(not(source))] u64),
    /// the body ended before it was complete
    Truncated,
    /// {0}
    NoMemory(BufferShortage),
    /// the body brought too little for the memory that it held, which another body needed
    GaveWay,
}

/// The body type of every message that this process sends.
pub type HttpBody = UnsyncBoxBody<Bytes, BodyError>;

/// A body without content.
#[must_use]
pub fn empty_body() -> HttpBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A body held in memory.
#[must_use]
pub fn full_body(content: impl Into<Bytes>) -> HttpBody {
    Full::new(content.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A body from a stream of chunks. An error aborts the message, so that the receiver notices
/// that it is incomplete.
pub fn stream_body<S>(stream: S) -> HttpBody
where
    S: Stream<Item = Result<Bytes, BodyError>> + 'static,
{
    let frames = stream.map(|chunk| chunk.map(Frame::data));
    StreamBody::new(SendWrapper::new(Box::pin(frames))).boxed_unsync()
}

/// Bytes of the names and values of headers.
#[must_use]
pub fn header_bytes(headers: &HeaderMap) -> usize {
    let lines = headers.iter();
    lines
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum()
}

/// Builds a JSON response.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<HttpBody> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, content_type);
    response
}
