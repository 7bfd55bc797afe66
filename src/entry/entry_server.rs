//! HTTP routes of the entry.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};

use super::caller_response::refusal_response;
use super::dispatcher::Dispatcher;
use super::entry_context::EntryContext;
use super::entry_rpc::EntryRpc;
use super::filters::{filter_body, filter_head};
use super::quarantine_controller::release_request;
use super::request_draft::{CallerRoute, RequestDraft};
use super::settings_api::{OperatorScope, settings_route};
use super::status_page::entry_status;
use crate::daemon::{common_route, decision_page};
use crate::decision::DecisionEvent;
use crate::metrics::RequestLabels;
use crate::net::{
    BodyError, BufferLease, BufferPurpose, HttpBody, HttpHandler, discard_body, header_bytes,
    json_response, read_leased,
};
use crate::prelude::*;
use crate::quarantine::RequestFingerprint;
use crate::rpc::{ControlApiServer, RpcEndpoint};

/// HTTP handler of an entry: caller, operator and control routes.
pub struct EntryServer {
    context: Rc<EntryContext>,
    rpc: RpcEndpoint,
}

/// Counts a request as in flight in this process until dropped.
struct OpenRequest<'a>(&'a EntryContext);

impl<'a> OpenRequest<'a> {
    fn begin(context: &'a EntryContext) -> Result<Self, RequestRefusal> {
        let count = context.open_requests.get();
        if count >= context.config.max_waiting {
            return Err(RequestRefusal::not_run(RefusalReason::Overloaded));
        }
        context.open_requests.set(count + 1);
        Ok(Self(context))
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

impl EntryServer {
    /// Creates the handler.
    #[must_use]
    pub fn open(context: Rc<EntryContext>) -> Rc<Self> {
        let rpc = RpcEndpoint::open(EntryRpc::open(Rc::clone(&context)).into_rpc())
            .within(Rc::clone(&context.node.buffers));
        Rc::new(Self { context, rpc })
    }

    async fn route(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let is_ready = self.context.node.fleet().is_ok() && !self.context.node.is_stopping.get();
        if let Some(response) = common_route(&self.context.node, is_ready, &request) {
            return response;
        }
        let path = request.uri().path();
        if path == "/rpc" && request.method() == Method::POST {
            return self.rpc.handle(request).await;
        }
        if path.starts_with("/ops/") {
            return self.operator_route(request).await;
        }
        self.serve_caller(request).await
    }

    async fn operator_route(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let Some(scope) = OperatorScope::of(&self.context, &request) else {
            return self.refuse("", RequestRefusal::not_run(RefusalReason::WrongCredential));
        };
        let path = request.uri().path().to_owned();
        if path.starts_with("/ops/settings") {
            return settings_route(&self.context, &scope, request).await;
        }
        match (request.method(), path.as_str(), &scope) {
            (&Method::GET, "/ops/decisions", scope) => {
                decision_page(&self.context.node, &request, scope.team())
            }
            (&Method::GET, "/ops/status", OperatorScope::All) => {
                json_response(StatusCode::OK, &entry_status(&self.context).await)
            }
            (&Method::DELETE, path, OperatorScope::All) => self.release_quarantined(path).await,
            (_, "/ops/status", _) => {
                self.refuse("", RequestRefusal::not_run(RefusalReason::WrongCredential))
            }
            _ => self.refuse("", RequestRefusal::not_run(RefusalReason::UnknownRoute)),
        }
    }

    async fn release_quarantined(&self, path: &str) -> Response<HttpBody> {
        let suffix = path.strip_prefix("/ops/quarantine/");
        let fingerprint = suffix.and_then(|text| text.parse::<RequestFingerprint>().ok());
        let Some(fingerprint) = fingerprint else {
            return self.refuse("", RequestRefusal::not_run(RefusalReason::UnknownRoute));
        };
        match release_request(&self.context, fingerprint).await {
            Ok(crashes) => json_response(StatusCode::OK, &crashes),
            Err(_) => self.refuse(
                "",
                RequestRefusal::unknown(RefusalReason::RecordUnavailable),
            ),
        }
    }

    async fn serve_caller(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let arrived_at = self.context.now();
        let open_request = match OpenRequest::begin(&self.context) {
            Ok(open_request) => open_request,
            Err(refusal) => return self.refuse("", refusal),
        };
        let (head, body) = request.into_parts();
        let fleet = self.context.node.fleet();
        let route = CallerRoute::of(&head.method, &head.uri);
        let (fleet, route) = match (fleet, route) {
            (Ok(fleet), Ok(route)) => (fleet, route),
            (Err(refusal), _) | (_, Err(refusal)) => return self.refuse("", refusal),
        };
        let mut draft = RequestDraft::open(fleet, head.method, route, head.headers, arrived_at);
        let id = draft.id.clone();
        let rank_labels = |draft: &RequestDraft| RequestLabels {
            rank: draft.rank.to_string(),
        };
        let result = match self.prepare(&mut draft, body).await {
            Ok(()) => {
                let labels = rank_labels(&draft);
                let response = self.dispatch(draft).await;
                if response.is_ok() {
                    self.count_response(&labels, arrived_at);
                }
                response
            }
            Err(refusal) => {
                self.record_filter_refusal(&draft, refusal);
                Err(refusal)
            }
        };
        drop(open_request);
        result.unwrap_or_else(|refusal| self.refuse(&id, refusal))
    }

    async fn prepare(
        &self,
        draft: &mut RequestDraft,
        body: Incoming,
    ) -> Result<(), RequestRefusal> {
        filter_head(&self.context, draft)?;
        let mut lease = self.context.node.buffers.lease(BufferPurpose::Call);
        draft.body = self.read_caller_body(body, &mut lease).await?;
        lease
            .begin_exchange(header_bytes(&draft.headers))
            .map_err(|shortage| {
                log::warn!(request = draft.id, error:% = shortage; "no memory for another request in flight");
                RequestRefusal::not_run(RefusalReason::Overloaded)
            })?;
        draft.memory = Some(Rc::new(lease));
        filter_body(&self.context, draft)
    }

    async fn read_caller_body(
        &self,
        mut body: Incoming,
        lease: &mut BufferLease,
    ) -> Result<Bytes, RequestRefusal> {
        let config = &self.context.config;
        let read = read_leased(&mut body, config.max_body_bytes, config.body_ms, lease).await;
        if matches!(read, Err(BodyError::NoMemory(_))) {
            // The caller still sends the body, and would not read a response that resets its
            // connection.
            let pace = self.context.node.buffers.pace();
            let left = config.max_body_bytes.saturating_sub(lease.held_bytes());
            discard_body(body, pace, left, config.body_ms);
        }
        read.map_err(|error| {
            RequestRefusal::not_run(match error {
                BodyError::TooLarge(_) => RefusalReason::OversizedBody,
                BodyError::TooSlow(_) => RefusalReason::SlowBody,
                BodyError::Truncated => RefusalReason::MalformedBody,
                BodyError::NoMemory(_) | BodyError::GaveWay => RefusalReason::Overloaded,
            })
        })
    }

    async fn dispatch(&self, draft: RequestDraft) -> Result<Response<HttpBody>, RequestRefusal> {
        Dispatcher::open(Rc::clone(&self.context), draft)?
            .run()
            .await
    }

    fn count_response(&self, labels: &RequestLabels, arrived_at: MonoTime) {
        let metrics = &self.context.node.metrics;
        metrics.answered.get_or_create(labels).inc();
        let elapsed = std::time::Duration::from_millis(self.context.now().millis_since(arrived_at));
        let histogram = metrics.first_byte_s.get_or_create(labels);
        histogram.observe(elapsed.as_secs_f64());
    }

    fn record_filter_refusal(&self, draft: &RequestDraft, refusal: RequestRefusal) {
        let team = (!draft.team.as_str().is_empty()).then(|| draft.team.clone());
        let remaining_ms = draft.deadline.millis_since(self.context.now());
        self.context.node.decisions.record(DecisionEvent::Refuse {
            request: draft.id.clone(),
            team,
            refusal,
            remaining_ms,
            targets: Vec::new(),
        });
    }

    fn refuse(&self, id: &str, refusal: RequestRefusal) -> Response<HttpBody> {
        refusal_response(&self.context.node.metrics, id, refusal, None)
    }
}

impl HttpHandler for EntryServer {
    fn handle(
        self: Rc<Self>,
        _peer: SocketAddr,
        request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<HttpBody>> {
        Box::pin(async move { self.route(request).await })
    }
}
