//! Lifecycle of one request: waits for its model, is sent to an upstream, and is answered.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};

use super::answer_body::{AnswerBody, CallGuard};
use super::call_refusal::refusal_response;
use super::upstream_call::{CallFailure, UpstreamConnection, call_upstream};
use super::{
    AnswerHead, AttemptHead, AttemptResult, CallPlan, ChoiceInput, GatewayContext, PromptAdmission,
    UpstreamChoice, choose_upstream,
};
use crate::fleet::UpstreamKey;
use crate::metrics::RefusalLabels;
use crate::net::{HttpBody, full_body, read_body};
use crate::prelude::*;
use crate::quarantine::RequestFingerprint;

/// Connect timeout to an upstream in milliseconds; remote regions answer within 60 ms.
const CONNECT_TIMEOUT_MS: u64 = 350;

/// Milliseconds after which a waiting request checks again without being woken.
const WAIT_POLL_MS: u64 = 250;

/// Milliseconds that a request waits for an upstream of a service that has none.
const NO_UPSTREAM_WAIT_MS: u64 = 400;

/// Default `Retry-After` in milliseconds, used where there is no forecast.
const DEFAULT_RETRY_MS: u64 = 400;

/// Milliseconds after which a delayed prompt chooses its engine again.
const HOLD_POLL_MS: u64 = 60;

/// Maximum number of times that one request is sent to an upstream, refusals included.
const MAX_SENDS: usize = 4;

/// Largest response of a non-streaming service in bytes; it is buffered before it is forwarded.
const MAX_BUFFERED_ANSWER_BYTES: usize = 256 * 1024;

/// A client request with its body buffered, so that it can be sent more than once.
pub struct BufferedCall {
    /// Request head as received, without hop-by-hop headers.
    pub parts: Parts,
    /// The whole body.
    pub body: Bytes,
    /// Route, service and deadlines of the request.
    pub plan: Rc<CallPlan>,
    /// Identical for each copy of the request.
    pub fingerprint: RequestFingerprint,
}

/// How one attempt ended.
enum AttemptEnd {
    /// The response for the client.
    Answer(Response<HttpBody>),
    /// The upstream did not run the request; another one may.
    NotRun,
    /// The request may have run.
    Unknown(RefusalReason),
}

/// Serves a request until it is answered or refused.
pub async fn serve_call(context: &Rc<GatewayContext>, call: BufferedCall) -> Response<HttpBody> {
    let mut flow = CallFlow {
        context,
        call,
        tried: Vec::new(),
        sends: 0,
        unknown_outcomes: 0,
        held_since: None,
        has_waited: false,
    };
    flow.run().await
}

struct CallFlow<'a> {
    context: &'a Rc<GatewayContext>,
    call: BufferedCall,
    /// Upstreams that are skipped because they did not run or answer the request; cleared after
    /// each wait for the model.
    tried: Vec<UpstreamKey>,
    /// Number of times that the request reached an upstream.
    sends: usize,
    /// Attempts that may have run.
    unknown_outcomes: u32,
    /// When the prompt was first delayed because its engine was busy.
    held_since: Option<MonoTime>,
    /// Whether the request has waited for its model; logged once.
    has_waited: bool,
}

impl CallFlow<'_> {
    async fn run(&mut self) -> Response<HttpBody> {
        loop {
            let generation = self.context.waits.generation();
            let now = self.context.now();
            if self.context.is_quarantined(self.call.fingerprint) {
                return self.refuse(RefusalReason::CrashSuspect, None);
            }
            if now >= self.call.plan.ends_at {
                return self.refuse(RefusalReason::DeadlinePassed, None);
            }
            match self.choose(now) {
                UpstreamChoice::Send {
                    key,
                    load,
                    candidates,
                } => {
                    if self.hold_prompt(now, key).await {
                        continue;
                    }
                    if self.sends > 0 && !self.try_spend_resend(now) {
                        return self.refuse(RefusalReason::Overloaded, Some(DEFAULT_RETRY_MS));
                    }
                    match self.attempt(key, load, candidates).await {
                        AttemptEnd::Answer(response) => return response,
                        AttemptEnd::NotRun => {}
                        AttemptEnd::Unknown(reason) => {
                            self.unknown_outcomes += 1;
                            let may_repeat = self.call.plan.kind.may_retry()
                                && self.unknown_outcomes < self.call.plan.max_attempts;
                            if !may_repeat {
                                return self.refuse(reason, None);
                            }
                        }
                    }
                }
                choice => {
                    if let Some(response) = self.wait(now, generation, choice).await {
                        return response;
                    }
                }
            }
        }
    }

    fn choose(&self, now: MonoTime) -> UpstreamChoice {
        let context = self.context;
        choose_upstream(&ChoiceInput {
            now,
            plan: &self.call.plan,
            roster: &context.roster.borrow(),
            placement: &context.placement.borrow(),
            loads: &context.loads.borrow(),
            tried: &self.tried,
            zone: &context.node.zone,
            is_near: &|zone| context.is_near(zone),
        })
    }

    /// Waits for a change; returns a refusal if the request cannot be served in time.
    async fn wait(
        &mut self,
        now: MonoTime,
        generation: u64,
        choice: UpstreamChoice,
    ) -> Option<Response<HttpBody>> {
        let plan = &self.call.plan;
        let need = plan.need.clone();
        let (Some(need), UpstreamChoice::NotLoaded) = (need, choice) else {
            if !self.tried.is_empty() || now >= plan.arrived_at + NO_UPSTREAM_WAIT_MS {
                return Some(self.refuse(RefusalReason::NoReplica, Some(DEFAULT_RETRY_MS)));
            }
            self.pause(generation, WAIT_POLL_MS).await;
            return None;
        };
        let wait_until = self.context.wait_limit(plan);
        if now >= wait_until {
            let retry_ms = self
                .context
                .waits
                .forecast_ms(&need)
                .unwrap_or(DEFAULT_RETRY_MS);
            return Some(self.refuse(RefusalReason::NoReplica, Some(retry_ms)));
        }
        if !self.has_waited {
            self.has_waited = true;
            log::info!(
                request:% = plan.request,
                need:% = need,
                forecast_ms = self.context.waits.forecast_ms(&need),
                limit_ms = wait_until.millis_since(now);
                "waiting"
            );
        }
        let registration =
            self.context
                .waits
                .register(need.clone(), &plan.service, plan.rank, plan.arrived_at);
        let left_ms = wait_until.millis_since(now);
        self.pause(generation, left_ms.min(WAIT_POLL_MS)).await;
        // Upstreams that refused because the model was not loaded may have it now.
        self.tried.clear();
        drop(registration);
        let forecast_ms = self.context.waits.forecast_ms(&need)?;
        let wait_until = self.context.wait_limit(&self.call.plan);
        let left_ms = wait_until.millis_since(self.context.now());
        if forecast_ms > left_ms {
            return Some(self.refuse(RefusalReason::DeadlineUnreachable, Some(forecast_ms)));
        }
        None
    }

    /// Delays the prompt if the engine is still reading others. Returns whether it waited, in which
    /// case the caller chooses the upstream again.
    async fn hold_prompt(&mut self, now: MonoTime, key: UpstreamKey) -> bool {
        let plan = &self.call.plan;
        if !plan.is_stream() {
            return false;
        }
        let generation = self.context.prompt_read.generation();
        let admission = PromptAdmission {
            now,
            prompt_tokens: plan.prompt_tokens,
            rank: plan.rank,
            target_ms: plan.target_ms,
            held_since: self.held_since,
            unread_tokens: self.context.loads.borrow().unread_tokens(key),
        };
        let Some(hold_ms) = admission.hold_ms() else {
            return false;
        };
        if self.held_since.is_none() {
            self.held_since = Some(now);
            log::info!(
                request:% = plan.request,
                unread_tokens = admission.unread_tokens,
                prompt_tokens = admission.prompt_tokens,
                hold_ms;
                "prompt held"
            );
        }
        let reading = self.context.prompt_read.wait_after(generation);
        let limit = Duration::from_millis(hold_ms.min(HOLD_POLL_MS));
        let _ = compio::time::timeout(limit, reading).await;
        true
    }

    async fn pause(&self, generation: u64, limit_ms: u64) {
        let limit = Duration::from_millis(limit_ms);
        let waking = self.context.waits.woken_after(generation);
        let _ = compio::time::timeout(limit, waking).await;
    }

    fn try_spend_resend(&self, now: MonoTime) -> bool {
        let mut budget = self.context.resends.borrow_mut();
        self.sends < MAX_SENDS && budget.try_spend(now, &self.call.plan.service)
    }

    async fn attempt(&mut self, key: UpstreamKey, load: u32, candidates: usize) -> AttemptEnd {
        let context = self.context;
        let entry = context.roster.borrow().get(key).cloned();
        let Some(entry) = entry else {
            return AttemptEnd::NotRun;
        };
        let now = context.now();
        let plan = &self.call.plan;
        let left_ms = plan.ends_at.millis_since(now);
        log::info!(
            request:% = plan.request,
            route:% = plan.route,
            config = plan.catalog_version,
            upstream:% = entry.id,
            need:% = plan.need.as_ref().map(ToString::to_string).unwrap_or_default(),
            load,
            load_age_ms = context.loads.borrow().report_age_ms(now, key),
            candidates,
            waited_ms = now.millis_since(plan.arrived_at),
            left_ms;
            "attempt"
        );
        let mut guard = CallGuard::begin(context, &self.call, key, entry.id.clone());
        let request = self.build_request(&AttemptHead {
            deadline_ms: left_ms,
            upstream: entry.id.clone(),
            priority: plan.need.as_ref().map(|_| engine_priority(plan.rank)),
        });
        let calling = call_upstream(
            entry.address,
            request,
            CONNECT_TIMEOUT_MS.min(left_ms),
            left_ms,
        );
        let result = calling.await;
        let now = context.now();
        match result {
            Ok((response, connection)) => {
                self.sends += 1;
                self.handle_answer(key, response, connection, guard).await
            }
            Err(CallFailure::Unsent(error)) => {
                guard.set_outcome("unsent");
                self.record_attempt(now, key, AttemptResult::Unreachable);
                self.tried.push(key);
                log::warn!(request:% = self.call.plan.request, error:% = error; "connection to upstream failed");
                AttemptEnd::NotRun
            }
            Err(CallFailure::Lost(error)) => {
                guard.set_outcome("lost");
                self.sends += 1;
                self.record_attempt(now, key, AttemptResult::Failed);
                self.tried.push(key);
                context.record_crash(self.call.fingerprint, key);
                log::warn!(request:% = self.call.plan.request, error:% = error; "upstream lost");
                AttemptEnd::Unknown(RefusalReason::UpstreamLost)
            }
            Err(CallFailure::TimedOut) => {
                guard.set_outcome("no_answer");
                self.sends += 1;
                self.record_attempt(now, key, AttemptResult::Failed);
                AttemptEnd::Unknown(RefusalReason::DeadlinePassed)
            }
        }
    }

    fn build_request(&self, head: &AttemptHead) -> Request<HttpBody> {
        let mut parts = self.call.parts.clone();
        self.context
            .ports
            .header_codec
            .write_attempt(&mut parts.headers, head);
        Request::from_parts(parts, full_body(self.call.body.clone()))
    }

    fn record_attempt(&self, now: MonoTime, key: UpstreamKey, result: AttemptResult) {
        self.context
            .loads
            .borrow_mut()
            .record_result(now, key, result);
    }

    async fn handle_answer(
        &mut self,
        key: UpstreamKey,
        response: Response<Incoming>,
        connection: UpstreamConnection,
        mut guard: CallGuard,
    ) -> AttemptEnd {
        let now = self.context.now();
        let (mut parts, incoming) = response.into_parts();
        let head = self
            .context
            .ports
            .header_codec
            .read_answer(parts.status, &parts.headers);
        if let Some(count) = head.load {
            self.context.loads.borrow_mut().record_load(now, key, count);
        }
        if head.is_not_run {
            guard.set_outcome("not_run");
            self.record_refusal(now, key, &head, parts.status);
            return AttemptEnd::NotRun;
        }
        let is_other_request = head
            .request
            .as_ref()
            .is_some_and(|id| *id != self.call.plan.request);
        let is_reserved_status = matches!(parts.status.as_u16(), 408 | 421 | 429 | 503);
        if is_reserved_status || is_other_request || (parts.status.is_success() && !head.is_sealed)
        {
            guard.set_outcome("wrong_answer");
            self.record_attempt(now, key, AttemptResult::Failed);
            self.tried.push(key);
            return AttemptEnd::Unknown(RefusalReason::UpstreamFailed);
        }
        self.context
            .ports
            .header_codec
            .strip_answer(&mut parts.headers);
        let result = if parts.status.is_server_error() {
            AttemptResult::Failed
        } else {
            AttemptResult::Answered
        };
        self.record_attempt(now, key, result);
        self.context.record_answered(&self.call.plan, now);
        if self.call.plan.is_stream() {
            let body = AnswerBody::open(incoming, guard, connection);
            return AttemptEnd::Answer(Response::from_parts(parts, body.boxed_unsync()));
        }
        let left_ms = self.call.plan.ends_at.millis_since(now);
        match read_body(incoming, MAX_BUFFERED_ANSWER_BYTES, left_ms).await {
            Ok(body) => {
                guard.set_outcome("complete");
                AttemptEnd::Answer(Response::from_parts(parts, full_body(body)))
            }
            Err(error) => {
                guard.set_outcome("cut_by_upstream");
                self.record_attempt(self.context.now(), key, AttemptResult::Failed);
                self.tried.push(key);
                log::warn!(request:% = self.call.plan.request, error:% = error; "upstream response body incomplete");
                AttemptEnd::Unknown(RefusalReason::UpstreamLost)
            }
        }
    }

    fn record_refusal(
        &mut self,
        now: MonoTime,
        key: UpstreamKey,
        head: &AnswerHead,
        status: StatusCode,
    ) {
        log::info!(request:% = self.call.plan.request, status = status.as_u16(); "refused by upstream");
        if head.is_other_upstream {
            self.record_attempt(now, key, AttemptResult::Unreachable);
        } else if let Some(need) = &self.call.plan.need
            && status == StatusCode::MISDIRECTED_REQUEST
        {
            self.context.record_missing(now, key, need);
            return;
        }
        self.tried.push(key);
    }

    fn refuse(&self, reason: RefusalReason, retry_ms: Option<u64>) -> Response<HttpBody> {
        let plan = &self.call.plan;
        let now = self.context.now();
        let refusal = if self.unknown_outcomes > 0 {
            let unknown = match reason {
                RefusalReason::UpstreamFailed | RefusalReason::DeadlinePassed => reason,
                _ => RefusalReason::UpstreamLost,
            };
            RequestRefusal::unknown(unknown)
        } else if reason == RefusalReason::DeadlinePassed {
            RequestRefusal::not_run(RefusalReason::DeadlineUnreachable)
        } else {
            RequestRefusal::not_run(reason)
        };
        let left_ms = plan.ends_at.millis_since(now);
        let labels = RefusalLabels::of(refusal);
        self.context.metrics.refused.get_or_create(&labels).inc();
        log::info!(
            request:% = plan.request,
            route:% = plan.route,
            need:% = plan.need.as_ref().map(ToString::to_string).unwrap_or_default(),
            reason:? = refusal.reason,
            outcome:? = refusal.outcome,
            sends = self.sends,
            waited_ms = now.millis_since(plan.arrived_at),
            left_ms,
            retry_ms = retry_ms.unwrap_or(0);
            "refused"
        );
        refusal_response(refusal, retry_ms)
    }
}

/// Maps a rank to an engine priority; ranks beyond the last priority share it.
fn engine_priority(rank: u8) -> u8 {
    const LAST_PRIORITY: u8 = 9;
    rank.saturating_mul(2).min(LAST_PRIORITY)
}
