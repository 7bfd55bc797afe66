//! What callers get to see.

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

/// Header that names the request.
const ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// Header that names the upstream.
const UPSTREAM_HEADER: HeaderName = HeaderName::from_static("x-served-by");

/// Content type of refusals.
const PROBLEM_TYPE: &str = "application/problem+json";

/// A refusal as callers see it.
#[must_use]
pub fn refusal_answer(
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
    let text = serde_json::to_vec(&document).unwrap_or_default();
    let mut response = Response::new(full_body(text));
    let status = StatusCode::from_u16(document.status);
    *response.status_mut() = status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
    if let Some(seconds) = refusal.reason.retry_after_s() {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    mark(&mut response, id, None);
    response
}

/// An upstream's answer, passed on as it comes.
#[must_use]
pub fn relayed_answer(
    metrics: &NodeMetrics,
    id: &str,
    route: &ChosenRoute,
    answer: Response<Incoming>,
) -> Response<HttpBody> {
    let mut head = relay_head(id, route, &answer);
    if let Some(length) = answer.headers().get(CONTENT_LENGTH) {
        head.headers_mut().insert(CONTENT_LENGTH, length.clone());
    }
    let locality = route.locality;
    let remote_bytes = metrics.remote_bytes.clone();
    let chunks = answer.into_body().into_data_stream().map(move |chunk| {
        if let (Ok(data), Locality::Remote) = (&chunk, locality) {
            count_bytes(&remote_bytes, data);
        }
        chunk.map_err(|_| BodyError::Truncated)
    });
    head.map(|()| stream_body(chunks))
}

/// Status and headers of an upstream's answer, without a body.
#[must_use]
pub fn relay_head(id: &str, route: &ChosenRoute, answer: &Response<Incoming>) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = answer.status();
    if let Some(value) = answer.headers().get(CONTENT_TYPE) {
        response.headers_mut().insert(CONTENT_TYPE, value.clone());
    }
    mark(&mut response, id, Some(&route.instance));
    response
}

/// A recorded answer.
#[must_use]
pub fn recorded_answer(
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
    mark(&mut response, id, Some(instance));
    response
}

fn count_bytes(counter: &Counter, data: &Bytes) {
    counter.inc_by(data.len() as u64);
}

fn mark<B>(response: &mut Response<B>, id: &str, instance: Option<&InstanceName>) {
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(ID_HEADER, value);
    }
    let value = instance.and_then(|name| HeaderValue::from_str(name.as_str()).ok());
    if let Some(value) = value {
        headers.insert(UPSTREAM_HEADER, value);
    }
}
