//! The length of an answer, and the headers that describe the body of a single run.

use hyper::header::{
    CONTENT_LENGTH, CONTENT_RANGE, ETAG, HeaderMap, HeaderName, HeaderValue, LAST_MODIFIED,
    TRANSFER_ENCODING,
};
use hyper::http::response::Parts;
use hyper::{Method, StatusCode};

/// Headers that describe the bytes that one run has written.
const RUN_HEADERS: [HeaderName; 7] = [
    ETAG,
    LAST_MODIFIED,
    CONTENT_RANGE,
    HeaderName::from_static("content-digest"),
    HeaderName::from_static("repr-digest"),
    HeaderName::from_static("digest"),
    HeaderName::from_static("content-md5"),
];

/// How the end of an answer shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length or its last chunk, or since it has no body.
    Explicit,
    /// By the end of the connection, which also ends when the upstream crashes.
    UntilClose,
}

impl BodyFraming {
    /// The framing that the head of an answer states.
    #[must_use]
    pub fn of(method: &Method, parts: &Parts) -> Self {
        let headers = &parts.headers;
        let is_framed =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        if is_framed || has_no_body(method, parts.status) {
            Self::Explicit
        } else {
            Self::UntilClose
        }
    }
}

/// Removes the headers that are no longer true once another run goes on with the answer.
pub fn remove_run_headers(headers: &mut HeaderMap) {
    for name in &RUN_HEADERS {
        headers.remove(name);
    }
}

/// The length that the head of an answer without a body states of the body that it leaves out.
#[must_use]
pub fn unsent_length(method: &Method, parts: &Parts) -> Option<HeaderValue> {
    let length = parts.headers.get(CONTENT_LENGTH);
    length
        .filter(|_| has_no_body(method, parts.status))
        .cloned()
}

fn has_no_body(method: &Method, status: StatusCode) -> bool {
    let is_bodiless = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    is_bodiless || method == Method::HEAD
}
