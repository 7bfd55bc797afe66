//! HTTP routes of the agent.

use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};

use super::agent_context::AgentContext;
use super::agent_rpc::AgentRpc;
use super::answer_relay::refusal_response;
use super::report_controller::build_report;
use super::run_controller::serve_attempt;
use crate::daemon::{bearer_token, common_route, decision_page};
use crate::net::{
    BodyError, BufferPurpose, HttpBody, HttpHandler, discard_body, empty_body, header_bytes,
    json_response, read_leased,
};
use crate::prelude::*;
use crate::rpc::{ControlApiServer, RpcEndpoint, WORK_HEADER, WorkMetadata};
use crate::settings::credential_digest;

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Time limit for receiving a request body, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 5_000;

/// HTTP handler of an agent.
pub struct AgentServer {
    context: Rc<AgentContext>,
    rpc: RpcEndpoint,
}

impl AgentServer {
    /// Creates the handler.
    #[must_use]
    pub fn open(context: Rc<AgentContext>) -> Rc<Self> {
        let rpc = RpcEndpoint::open(AgentRpc::open(Rc::clone(&context)).into_rpc())
            .within(Rc::clone(&context.node.buffers));
        Rc::new(Self { context, rpc })
    }

    async fn route(&self, request: Request<Incoming>) -> Response<HttpBody> {
        if let Some(response) = common_route(&self.context.node, self.is_ready(), &request) {
            return response;
        }
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/work") => self.serve_work(request).await,
            (&Method::POST, "/rpc") => self.rpc.handle(request).await,
            (&Method::GET, "/ops/status") if self.is_operator(&request) => {
                json_response(StatusCode::OK, &build_report(&self.context))
            }
            (&Method::GET, "/ops/decisions") if self.is_operator(&request) => {
                decision_page(&self.context.node, &request, None)
            }
            (_, "/ops/status" | "/ops/decisions") => refusal_response(
                RequestRefusal::not_run(RefusalReason::WrongCredential),
                None,
            ),
            (method, path) => self.attempt_route(method, path),
        }
    }

    /// Serves `/attempts/{start}/{attempt}`: `GET` returns the status of an attempt,
    /// `DELETE` cancels it unless it has started. A `DELETE` with the start id of an
    /// earlier process only returns the status.
    fn attempt_route(&self, method: &Method, path: &str) -> Response<HttpBody> {
        let Some((start_id, attempt)) = parse_attempt_path(path) else {
            return not_found();
        };
        let now = self.context.now();
        let is_same_start = start_id == self.context.node.start_id;
        let mut attempts = self.context.attempts.borrow_mut();
        let status = match *method {
            Method::DELETE if is_same_start => attempts.cancel(now, attempt),
            Method::GET | Method::DELETE => attempts.status(attempt),
            _ => return not_found(),
        };
        json_response(StatusCode::OK, &status)
    }

    async fn serve_work(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let head_bytes = header_bytes(request.headers());
        let metadata = request.headers().get(WORK_HEADER);
        let metadata = metadata.and_then(|value| serde_json::from_slice(value.as_bytes()).ok());
        let Some(metadata): Option<WorkMetadata> = metadata else {
            let refusal = RequestRefusal::not_run(RefusalReason::MalformedHeader);
            return refusal_response(refusal, None);
        };
        let buffers = &self.context.node.buffers;
        let mut lease = buffers.lease(BufferPurpose::Call);
        let mut body = request.into_body();
        let read = read_leased(&mut body, MAX_BODY_BYTES, BODY_TIMEOUT_MS, &mut lease).await;
        if matches!(read, Err(BodyError::NoMemory(_))) {
            // The entry still sends the body, and would not read a response that resets its
            // connection.
            let left = MAX_BODY_BYTES.saturating_sub(lease.held_bytes());
            discard_body(body, buffers.pace(), left, BODY_TIMEOUT_MS);
        }
        let body = match read {
            Ok(body) => body,
            Err(error) => {
                let reason = match error {
                    BodyError::NoMemory(_) | BodyError::GaveWay => RefusalReason::Overloaded,
                    _ => RefusalReason::MalformedBody,
                };
                return refusal_response(RequestRefusal::not_run(reason), None);
            }
        };
        if let Err(shortage) = lease.begin_exchange(head_bytes) {
            log::warn!(error:% = shortage; "no memory for another request in flight");
            return refusal_response(RequestRefusal::not_run(RefusalReason::Overloaded), None);
        }
        serve_attempt(Rc::clone(&self.context), metadata, body).await
    }

    fn is_ready(&self) -> bool {
        let has_settings = self.context.node.fleet().is_ok();
        has_settings && self.context.is_healthy() && !self.context.is_leaving.get()
    }

    fn is_operator(&self, request: &Request<Incoming>) -> bool {
        let digest = bearer_token(request).map(credential_digest);
        let fleet = self.context.node.fleet();
        fleet.is_ok_and(|fleet| digest.as_deref() == Some(fleet.operator_sha256.as_str()))
    }
}

impl HttpHandler for AgentServer {
    fn handle(
        self: Rc<Self>,
        _peer: SocketAddr,
        request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<HttpBody>> {
        Box::pin(async move { self.route(request).await })
    }
}

/// Parses `/attempts/{start}/{attempt}`.
fn parse_attempt_path(path: &str) -> Option<(u64, AttemptId)> {
    let rest = path.strip_prefix("/attempts/")?;
    let (start_id, attempt) = rest.split_once('/')?;
    Some((start_id.parse().ok()?, attempt.parse().ok()?))
}

fn not_found() -> Response<HttpBody> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = StatusCode::NOT_FOUND;
    response
}
