//! HTTP server for client requests.

use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::{Request, Response};

use super::buffered_call::BufferedCall;
use super::call_flow::serve_call;
use super::call_refusal::refusal_response;
use super::{CallPlan, GatewayContext};
use crate::net::{BodyError, HttpBody, HttpHandler, read_body};
use crate::prelude::*;
use crate::quarantine::RequestFingerprint;

/// `Retry-After` in milliseconds while the process has no configuration.
const NOT_READY_RETRY_MS: u64 = 500;

/// Routes client requests and serves them.
pub struct FrontServer {
    context: Rc<GatewayContext>,
}

impl FrontServer {
    /// Creates the handler.
    #[must_use]
    pub fn open(context: Rc<GatewayContext>) -> Rc<Self> {
        Rc::new(Self { context })
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let (mut parts, incoming) = request.into_parts();
        let arrived_at = self.context.now();
        let Some(catalog) = self.context.catalog.borrow().clone() else {
            log::info!(reason = "no configuration"; "refused");
            let refusal = RequestRefusal::not_run(RefusalReason::NotReady);
            return refusal_response(refusal, Some(NOT_READY_RETRY_MS));
        };
        let host = parts
            .headers
            .get(HOST)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        let Some(rule) = catalog.route(host, parts.uri.path()) else {
            log::info!(path = parts.uri.path(), config = catalog.version, age_ms = self.context.feeds.catalog.age_ms(arrived_at), reason = "no route"; "refused");
            return refusal_response(RequestRefusal::not_run(RefusalReason::UnknownRoute), None);
        };
        let header_codec = &self.context.ports.header_codec;
        let head = header_codec.read_call(&parts.headers);
        let plan = CallPlan::open(arrived_at, head, rule, catalog.version);
        let body_ms = plan.ends_at.millis_since(arrived_at);
        let body = match read_body(incoming, catalog.limits.body_bytes, body_ms).await {
            Ok(body) => body,
            Err(error) => return refuse_body(&plan, &error),
        };
        self.context.record_arrival(&plan);
        log_resume(&plan);
        header_codec.strip_call(&mut parts.headers);
        let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
        let fingerprint = RequestFingerprint::of_parts(&[path.as_bytes(), &body]);
        let call = BufferedCall {
            parts,
            body,
            plan: Rc::new(plan),
            fingerprint,
        };
        serve_call(&self.context, call).await
    }
}

impl HttpHandler for FrontServer {
    fn handle(
        self: Rc<Self>,
        _peer: SocketAddr,
        request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<HttpBody>> {
        Box::pin(async move {
            let mut response = self.answer(request).await;
            if self.context.is_stopping() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            response
        })
    }
}

fn log_resume(plan: &CallPlan) {
    let Some(resume) = &plan.resume else { return };
    log::info!(
        request:% = plan.request,
        first_attempt = resume.first_attempt.as_deref(),
        after = resume.after,
        left_ms = plan.ends_at.millis_since(plan.arrived_at);
        "client takes a stream up again"
    );
}

fn refuse_body(plan: &CallPlan, error: &BodyError) -> Response<HttpBody> {
    let reason = match error {
        BodyError::TooLarge(_) => RefusalReason::OversizedBody,
        BodyError::TooSlow(_) => RefusalReason::SlowBody,
        BodyError::Truncated => RefusalReason::MalformedBody,
    };
    log::info!(request:% = plan.request, error:% = error, reason:? = reason; "refused");
    refusal_response(RequestRefusal::not_run(reason), None)
}
