//! HTTP server for client requests.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response};

use super::account_check::discard_refused;
use super::buffered_call::{BodyMemory, BufferedCall};
use super::call_flow::serve_call;
use super::call_refusal::refusal_response;
use super::origin_store::OriginMissing;
use super::{CallPlan, GatewayContext};
use crate::fleet::{FleetCatalog, RouteRule};
use crate::net::{
    BodyError, BufferPurpose, HttpBody, HttpHandler, SMALL_MESSAGE_BYTES, discard_body,
    header_bytes, read_leased,
};
use crate::prelude::*;
use crate::quarantine::RequestFingerprint;

/// `Retry-After` in milliseconds while the process has no configuration.
const NOT_READY_RETRY_MS: u64 = 500;

/// `Retry-After` in milliseconds while the process shuts down; other entries serve the caller at once.
const LEAVING_RETRY_MS: u64 = 100;

/// `Retry-After` in milliseconds while requests in flight take the memory; other gateways may have some.
const NO_MEMORY_RETRY_MS: u64 = 400;

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
            return self.refuse_route(&catalog, parts.uri.path());
        };
        let limit = catalog.limits.body_bytes;
        let header_codec = &self.context.ports.header_codec;
        let head = header_codec.read_call(&parts.headers);
        let account = match self.context.identify(&catalog, rule, &head) {
            Ok(account) => account,
            Err(fault) => {
                let context = &self.context;
                discard_refused(&parts.headers, incoming, context.buffers.pace(), limit);
                if !context.may_refuse_finally() {
                    return context.refuse_for_now(&catalog, fault.reason());
                }
                return context.refuse_key(&catalog, &head.request, &rule.name, fault);
            }
        };
        let token_count = head.token_count;
        let mut plan = CallPlan::open(arrived_at, head, rule, catalog.version);
        if let Some(account) = account {
            plan.assign(account, token_count);
        }
        let (body, memory) = match self.read_body(incoming, limit, &plan, &parts).await {
            Ok(read) => read,
            Err(refusal) => return refusal,
        };
        if self.context.refuses_arrivals() {
            return self.refuse(
                &plan,
                RefusalReason::UpstreamLeaving,
                Some(LEAVING_RETRY_MS),
            );
        }
        let software = match self.find_software(&mut plan, rule).await {
            Ok(software) => software,
            Err(refusal) => return refusal,
        };
        self.context.record_arrival(&plan);
        header_codec.strip_call(&mut parts.headers);
        if !catalog.accounts().is_empty() {
            header_codec.strip_credential(&mut parts.headers);
        }
        let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
        let fingerprint = RequestFingerprint::of_parts(&[path.as_bytes(), &body]);
        let call = BufferedCall {
            parts,
            body,
            plan: Rc::new(plan),
            _memory: memory,
            fingerprint,
        };
        serve_call(&self.context, call, software).await
    }

    /// Reads the body of a request, and takes the memory that the request needs until it has ended.
    async fn read_body(
        &self,
        mut incoming: Incoming,
        limit: usize,
        plan: &CallPlan,
        parts: &Parts,
    ) -> Result<(Bytes, BodyMemory), Response<HttpBody>> {
        let context = &self.context;
        let body_ms = plan.ends_at.millis_since(plan.arrived_at);
        let mut lease = context.buffers.lease(BufferPurpose::Call);
        let body = match read_leased(&mut incoming, limit, body_ms, &mut lease).await {
            Ok(body) => body,
            Err(BodyError::NoMemory(shortage)) => {
                log::warn!(request:% = plan.request, error:% = shortage; "request body not held");
                // The caller still sends the body, and would not read a response that resets its
                // connection.
                let left = limit.saturating_sub(lease.held_bytes());
                discard_body(incoming, context.buffers.pace(), left, body_ms);
                let retry_ms = context.large_calls.forecast_ms();
                return Err(self.refuse(plan, RefusalReason::Overloaded, Some(retry_ms)));
            }
            Err(BodyError::GaveWay) => {
                let retry_ms = context.large_calls.forecast_ms();
                return Err(self.refuse(plan, RefusalReason::Overloaded, Some(retry_ms)));
            }
            Err(error) => return Err(refuse_body(plan, &error)),
        };
        if let Err(shortage) = lease.begin_exchange(head_bytes(parts)) {
            log::warn!(request:% = plan.request, error:% = shortage; "no memory for another request in flight");
            let retry_ms = Some(NO_MEMORY_RETRY_MS);
            return Err(self.refuse(plan, RefusalReason::Overloaded, retry_ms));
        }
        let is_large = body.len() > SMALL_MESSAGE_BYTES;
        let begin_large = || context.large_calls.begin(context.clock, plan.arrived_at);
        let memory = BodyMemory {
            _lease: lease,
            _large: is_large.then(begin_large),
        };
        Ok((body, memory))
    }

    /// Finds the only software version that may go on with the stream that a request takes up, and
    /// sends the request to the service that began it. `None` for a request from the start.
    async fn find_software(
        &self,
        plan: &mut CallPlan,
        rule: &RouteRule,
    ) -> Result<Option<SoftwareVersion>, Response<HttpBody>> {
        let Some(resume) = plan.resume.clone().filter(|_| plan.is_stream()) else {
            return Ok(None);
        };
        let origin = match self.context.find_origin(plan, rule, &resume).await {
            Ok(origin) => origin,
            Err(OriginMissing { retry_ms }) => {
                return Err(self.refuse(plan, RefusalReason::StreamNotResumable, retry_ms));
            }
        };
        if !rule.has_service(&origin.service) {
            return Err(self.refuse(plan, RefusalReason::StreamNotResumable, None));
        }
        plan.service = origin.service;
        Ok(Some(origin.software))
    }

    /// Refuses a request for a path without a route.
    fn refuse_route(&self, catalog: &FleetCatalog, path: &str) -> Response<HttpBody> {
        let reason = "no route";
        if !self.context.may_refuse_finally() {
            return self.context.refuse_for_now(catalog, reason);
        }
        let age_ms = self.context.feeds.catalog.age_ms(self.context.now());
        log::info!(path, config = catalog.version, age_ms, reason; "refused");
        refusal_response(RequestRefusal::not_run(RefusalReason::UnknownRoute), None)
    }

    /// Refuses a request that has not been sent to any upstream.
    fn refuse(
        &self,
        plan: &CallPlan,
        reason: RefusalReason,
        retry_ms: Option<u64>,
    ) -> Response<HttpBody> {
        let refusal = RequestRefusal::not_run(reason);
        self.context.count_refusal(plan.account.as_ref(), refusal);
        log::info!(request:% = plan.request, reason:? = refusal.reason, retry_ms; "refused");
        refusal_response(refusal, retry_ms)
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

/// Bytes of a request head, apart from its method and version.
fn head_bytes(parts: &Parts) -> usize {
    let path = parts.uri.path_and_query();
    header_bytes(&parts.headers) + path.map_or(0, |path| path.as_str().len())
}

fn refuse_body(plan: &CallPlan, error: &BodyError) -> Response<HttpBody> {
    let reason = match error {
        BodyError::TooLarge(_) => RefusalReason::OversizedBody,
        BodyError::TooSlow(_) => RefusalReason::SlowBody,
        BodyError::Truncated => RefusalReason::MalformedBody,
        BodyError::NoMemory(_) | BodyError::GaveWay => RefusalReason::Overloaded,
    };
    log::info!(request:% = plan.request, error:% = error, reason:? = reason; "refused");
    refusal_response(RequestRefusal::not_run(reason), None)
}
