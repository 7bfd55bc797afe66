//! Builds the HTTP responses that are sent to callers.

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use prometheus_client::metrics::counter::Counter;

use super::dispatcher::ChosenRoute;
use crate::metrics::{NodeMetrics, RefusalLabels};
use crate::net::{BodyError, HttpBody, full_body, stream_body};
use crate::prelude::*;
use crate::refusal::ProblemDocument;
use crate::routing::Locality;
use crate::run_once::RecordedAnswer;

/// Header with the request identifier.
const ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// Header with the instance name of the upstream that served the request.
const UPSTREAM_HEADER: HeaderName = HeaderName::from_static("x-served-by");

/// Content type of refusals, which are problem documents (RFC 9457).
const PROBLEM_TYPE: &str = "application/problem+json";

/// Turns a refusal into a response, and counts it in the metrics.
#[must_use]
pub fn refusal_response(
    metrics: &NodeMetrics,
    id: &str,
    refusal: RequestRefusal,
    detail: Option<String>,
) -> Response<HttpBody> {
    let document = ProblemDocument::of(refusal, detail);
    metrics
        .refused
        .get_or_create(&RefusalLabels::of(refusal))
        .inc();
    let json = serde_json::to_vec(&document).unwrap_or_default();
    let mut response = Response::new(full_body(json));
    let status = StatusCode::from_u16(document.status);
    *response.status_mut() = status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
    if let Some(seconds) = refusal.reason.retry_after_s() {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    insert_identity_headers(&mut response, id, None);
    response
}

/// Relays an upstream's response chunk by chunk, without buffering it.
#[must_use]
pub fn relayed_response(
    metrics: &NodeMetrics,
    id: &str,
    route: &ChosenRoute,
    upstream_response: Response<Incoming>,
) -> Response<HttpBody> {
    let mut head = relay_head(id, route, &upstream_response);
    if let Some(length) = upstream_response.headers().get(CONTENT_LENGTH) {
        head.headers_mut().insert(CONTENT_LENGTH, length.clone());
    }
    let locality = route.locality;
    let remote_bytes = metrics.remote_bytes.clone();
    let chunks = upstream_response
        .into_body()
        .into_data_stream()
        .map(move |chunk| {
            if let (Ok(data), Locality::Remote) = (&chunk, locality) {
                count_bytes(&remote_bytes, data);
            }
            chunk.map_err(|_| BodyError::Truncated)
        });
    head.map(|()| stream_body(chunks))
}

/// Status and headers of a relayed response, without a body.
#[must_use]
pub fn relay_head(
    id: &str,
    route: &ChosenRoute,
    upstream_response: &Response<Incoming>,
) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = upstream_response.status();
    if let Some(value) = upstream_response.headers().get(CONTENT_TYPE) {
        response.headers_mut().insert(CONTENT_TYPE, value.clone());
    }
    insert_identity_headers(&mut response, id, Some(&route.instance));
    response
}

/// Turns an answer read from a record into a response.
#[must_use]
pub fn recorded_response(
    id: &str,
    instance: &InstanceName,
    answer: RecordedAnswer,
) -> Response<HttpBody> {
    let mut response = Response::new(full_body(answer.body));
    let status = StatusCode::from_u16(answer.status);
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(value) = HeaderValue::from_str(&answer.content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    insert_identity_headers(&mut response, id, Some(instance));
    response
}

fn count_bytes(counter: &Counter, data: &Bytes) {
    counter.inc_by(data.len() as u64);
}

fn insert_identity_headers<B>(
    response: &mut Response<B>,
    id: &str,
    instance: Option<&InstanceName>,
) {
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(ID_HEADER, value);
    }
    let value = instance.and_then(|name| HeaderValue::from_str(name.as_str()).ok());
    if let Some(value) = value {
        headers.insert(UPSTREAM_HEADER, value);
    }
}
