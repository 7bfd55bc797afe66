//! Error responses of the gateway itself.

use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::net::{HttpBody, full_body};
use crate::prelude::*;
use crate::refusal::ProblemDocument;

/// Builds the response for a refusal, with `retry_ms` as the `Retry-After` header.
pub fn refusal_response(refusal: RequestRefusal, retry_ms: Option<u64>) -> Response<HttpBody> {
    let document = ProblemDocument::of(refusal, None);
    let text = serde_json::to_vec(&document).unwrap_or_default();
    let mut response = Response::new(full_body(text));
    *response.status_mut() =
        StatusCode::from_u16(document.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    if let Some(retry_ms) = retry_ms {
        let text = format!("{}.{:03}", retry_ms / 1_000, retry_ms % 1_000);
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}
