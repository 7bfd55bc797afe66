//! HTTP routes that entry and agent share.

use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};

use super::NodeContext;
use crate::decision::DecisionRecord;
use crate::ids::TeamName;
use crate::net::{HttpBody, full_body, json_response};

/// Largest number of decisions in a response.
const MAX_DECISIONS: usize = 200;

/// Serves health, readiness and metrics; `None` for any other path.
#[must_use]
pub fn common_route(
    node: &NodeContext,
    is_ready: bool,
    request: &Request<Incoming>,
) -> Option<Response<HttpBody>> {
    match request.uri().path() {
        "/healthz" => Some(text_response(
            StatusCode::OK,
            "ok\n".to_owned(),
            "text/plain",
        )),
        "/readyz" if is_ready => Some(text_response(
            StatusCode::OK,
            "ready\n".to_owned(),
            "text/plain",
        )),
        "/readyz" => {
            let text = "not ready\n".to_owned();
            Some(text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                text,
                "text/plain",
            ))
        }
        "/metrics" => {
            let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
            Some(text_response(
                StatusCode::OK,
                node.metrics.encode(),
                content_type,
            ))
        }
        _ => None,
    }
}

/// Lists the newest decisions. A team sees those of its own requests; operators see all.
#[must_use]
pub fn decision_page(
    node: &NodeContext,
    request: &Request<Incoming>,
    team: Option<&TeamName>,
) -> Response<HttpBody> {
    let query = request.uri().query().unwrap_or_default();
    let request_id = query.strip_prefix("request=");
    let filter = |record: &DecisionRecord| {
        let is_wanted = request_id.is_none_or(|id| record.event.request() == Some(id));
        let is_visible = team.is_none_or(|name| record.event.team() == Some(name));
        is_wanted && is_visible
    };
    let records = node.decisions.select(MAX_DECISIONS, filter);
    json_response(StatusCode::OK, &records)
}

/// The bearer token of a request, if there is one.
#[must_use]
pub fn bearer_token(request: &Request<Incoming>) -> Option<&str> {
    let value = request.headers().get(AUTHORIZATION)?;
    value.to_str().ok()?.strip_prefix("Bearer ")
}

/// Builds a response with a text body.
#[must_use]
pub fn text_response(
    status: StatusCode,
    text: String,
    content_type: &'static str,
) -> Response<HttpBody> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    let value = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}
