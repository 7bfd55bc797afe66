//! Lifecycle of one request: waits for its model, is sent to an upstream, and is answered.

mod call_waits;

use std::rc::Rc;

use hyper::Response;

use super::account_admission::{AccountAdmission, AdmissionStep};
use super::buffered_call::BufferedCall;
use super::call_attempt::{AttemptEnd, CallAttempt};
use super::call_refusal::refusal_response;
use super::origin_check::OriginClaim;
use super::shed_wait::ShedStep;
use super::stream_relay::StartedStream;
use super::upstream_loss::UpstreamStart;
use super::{ChoiceInput, GatewayContext, UpstreamChoice, choose_upstream};
use crate::fleet::UpstreamKey;
use crate::metrics::RefusalLabels;
use crate::net::HttpBody;
use crate::prelude::*;
use crate::quarantine::{SuspectVerdict, TrialGuard, TrialPermit};

/// Default `Retry-After` in milliseconds, used where there is no forecast.
const DEFAULT_RETRY_MS: u64 = 400;

/// Maximum number of times that one request is sent to an upstream, refusals included.
const MAX_SENDS: usize = 4;

/// Serves a request until it is answered or refused. A request that takes a stream up goes to the
/// software version that began it.
pub async fn serve_call(
    context: &Rc<GatewayContext>,
    call: BufferedCall,
    software: Option<SoftwareVersion>,
) -> Response<HttpBody> {
    let mut flow = CallFlow {
        context: Rc::clone(context),
        call,
        tried: Vec::new(),
        sends: 0,
        unknown_outcomes: 0,
        held_since: None,
        has_waited: false,
        has_waited_for_token: false,
        has_asked_to_send: false,
        resume_after: None,
        software,
        unconfirmed: None,
        trial: None,
        admission: AccountAdmission::open(),
    };
    match flow.run().await {
        FlowEnd::Response(response) => response,
        FlowEnd::Stream(stream) => stream.into_response(flow),
    }
}

/// How the search for an answer ended.
enum FlowEnd {
    /// A whole answer or a refusal.
    Response(Response<HttpBody>),
    /// A stream of which the first events have arrived.
    Stream(Box<StartedStream>),
}

/// A request and what has been tried for it.
pub struct CallFlow {
    context: Rc<GatewayContext>,
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
    /// Whether the request has waited for a token; logged once.
    has_waited_for_token: bool,
    /// Whether the load shedder has counted the request.
    has_asked_to_send: bool,
    /// Id of the last event that the client has received; `None` before the first one.
    resume_after: Option<u64>,
    /// Software version that wrote the events that the client has received, in this answer or before;
    /// `None` before the first one, or if it is not known.
    software: Option<SoftwareVersion>,
    /// Start of the upstream at which the stream is said to have begun, while that is not certain.
    unconfirmed: Option<UpstreamStart>,
    /// Set while this request tries an uncertain suspect.
    trial: Option<TrialGuard>,
    /// Allowance of the request's account.
    admission: AccountAdmission,
}

impl CallFlow {
    /// Whether a stream that fails after an event may go on at another upstream, which must run the
    /// software version that began it.
    pub fn may_resume(&self) -> bool {
        self.software.is_some() && self.may_repeat()
    }

    /// Whether the request may run once more after an attempt whose outcome is unknown.
    fn may_repeat(&self) -> bool {
        let plan = &self.call.plan;
        plan.kind.may_retry() && self.unknown_outcomes + 1 < plan.max_attempts
    }

    /// Finds another upstream for a stream that failed after an event. `None` if there is none in
    /// time, or if the software version that began the stream is not known; the client then sees that
    /// the stream is incomplete.
    pub async fn resume(&mut self, failed: UpstreamKey, after: u64) -> Option<StartedStream> {
        if !self.has_certain_origin().await {
            log::info!(request:% = self.call.plan.request, after; "stream ends, its origin is not certain");
            return None;
        }
        let software = self.software.as_ref()?;
        self.unknown_outcomes += 1;
        self.tried.push(failed);
        self.resume_after = Some(after);
        log::info!(request:% = self.call.plan.request, after, software:% = software; "stream resumes at another upstream");
        match self.run().await {
            FlowEnd::Stream(stream) => Some(*stream),
            FlowEnd::Response(_) => None,
        }
    }

    async fn run(&mut self) -> FlowEnd {
        loop {
            let generation = self.context.waits.generation();
            let now = self.context.now();
            if let Some(response) = self.refuse_at_once(now) {
                return FlowEnd::Response(response);
            }
            let choice = self.choose(now);
            // A request beyond its account's limit is refused before it waits for anything else.
            if self.admission.is_new() || matches!(choice, UpstreamChoice::Send { .. }) {
                match self.admission.admit(&self.context, &self.call.plan).await {
                    AdmissionStep::Admitted => {}
                    AdmissionStep::Waited => continue,
                    AdmissionStep::Refused { retry_ms } => {
                        let reason = RefusalReason::AccountLimit;
                        return FlowEnd::Response(self.refuse(reason, Some(retry_ms)));
                    }
                }
            }
            if !matches!(choice, UpstreamChoice::Send { .. }) {
                self.admission.release();
            }
            match choice {
                UpstreamChoice::Send {
                    key,
                    load,
                    candidates,
                } => {
                    if self.hold_prompt(now, key).await {
                        continue;
                    }
                    match self.ask_to_send(now).await {
                        ShedStep::Send => {}
                        ShedStep::Waited => continue,
                        ShedStep::Refuse(retry_ms) => {
                            let reason = RefusalReason::Overloaded;
                            return FlowEnd::Response(self.refuse(reason, Some(retry_ms)));
                        }
                    }
                    if self.sends > 0 && !self.try_spend_resend(now) {
                        let reason = RefusalReason::Overloaded;
                        return FlowEnd::Response(self.refuse(reason, Some(DEFAULT_RETRY_MS)));
                    }
                    if !self.may_go_on_at(key).await {
                        self.tried.push(key);
                        continue;
                    }
                    match self.attempt(key, load, candidates).await {
                        AttemptEnd::Answer(response) => return FlowEnd::Response(response),
                        AttemptEnd::Stream(stream) => {
                            self.begin_stream(&stream).await;
                            return FlowEnd::Stream(stream);
                        }
                        AttemptEnd::NotRun => {}
                        AttemptEnd::Crashed => {
                            self.unknown_outcomes += 1;
                            let reason = RefusalReason::UpstreamLost;
                            return FlowEnd::Response(self.refuse(reason, None));
                        }
                        AttemptEnd::Unknown(reason) => {
                            if !self.may_repeat() {
                                self.unknown_outcomes += 1;
                                return FlowEnd::Response(self.refuse(reason, None));
                            }
                            self.unknown_outcomes += 1;
                        }
                    }
                }
                UpstreamChoice::Limited { key, forecast_ms } => {
                    let waiting = self.wait_for_token(now, generation, key, forecast_ms);
                    if let Some(response) = waiting.await {
                        return FlowEnd::Response(response);
                    }
                }
                choice => {
                    if let Some(response) = self.wait(now, generation, choice).await {
                        return FlowEnd::Response(response);
                    }
                }
            }
        }
    }

    /// Whether a request may be sent to an upstream. A stream that goes on needs the software version
    /// that began it, and only a start of an upstream has one.
    async fn may_go_on_at(&self, key: UpstreamKey) -> bool {
        let is_sequel = self.software.is_some();
        !is_sequel
            || self
                .context
                .runs_listed_start(&self.call.plan.request, key)
                .await
    }

    /// Remembers which software version has sent events to the client. It is not known if the list
    /// that named it may have been out of date and the upstream doesn't confirm it. A new stream of an
    /// upstream without an engine is checked later, with others.
    async fn begin_stream(&mut self, stream: &StartedStream) {
        let (key, context) = (stream.rest.key(), &self.context);
        let plan = &self.call.plan;
        if !plan.kind.may_retry() {
            return;
        }
        let entry = context.roster.borrow().get(key).cloned();
        let trusted_entry = entry.filter(|_| context.is_list_trusted());
        if trusted_entry.is_none() && !context.runs_listed_start(&plan.request, key).await {
            self.software = None;
            return;
        }
        let is_sequel = self.software.is_some();
        self.software = stream.rest.software().cloned();
        let Some(software) = &self.software else {
            return;
        };
        if !is_sequel && trusted_entry.is_some_and(|entry| !context.is_engine(&entry)) {
            let start = stream.rest.start();
            self.unconfirmed = Some(start.clone());
            context.origin_claims.push(OriginClaim {
                plan: Rc::clone(plan),
                software: software.clone(),
                start: start.clone(),
            });
        } else {
            context.record_origin(plan, software);
        }
    }

    /// Whether the software version that began the stream is certain.
    async fn has_certain_origin(&mut self) -> bool {
        let Some(start) = self.unconfirmed.take() else {
            return true;
        };
        let request = &self.call.plan.request;
        let is_recorded = self.context.origins.borrow().find(request).is_some();
        is_recorded || self.context.confirm_start(&start).await
    }

    /// Refuses a request that cannot be served whatever the upstreams do.
    fn refuse_at_once(&mut self, now: MonoTime) -> Option<Response<HttpBody>> {
        if !self.may_run_suspects(now) {
            return Some(self.refuse(RefusalReason::CrashSuspect, None));
        }
        if now >= self.call.plan.ends_at {
            return Some(self.refuse(RefusalReason::DeadlinePassed, None));
        }
        let may_have_run = self.unknown_outcomes > 0 || self.resume_after.is_some();
        let revoked = self.context.refuse_revoked(&self.call.plan, may_have_run);
        if revoked.is_some() {
            return revoked;
        }
        let is_exit_near = self.context.exit_near().peek().is_some();
        is_exit_near.then(|| self.refuse(RefusalReason::UpstreamLeaving, Some(DEFAULT_RETRY_MS)))
    }

    /// Whether the request and the parts of its prompt may reach an upstream. An uncertain suspect is
    /// tried by one request at a time, in the process that holds the planner lease.
    fn may_run_suspects(&mut self, now: MonoTime) -> bool {
        let (suspect, is_uncertain) = match self.context.crashes.verdict(now, self.call.suspects())
        {
            SuspectVerdict::Clear => return true,
            SuspectVerdict::Uncertain(suspect) => (suspect, true),
            SuspectVerdict::HeldBack(suspect) => (suspect, false),
        };
        let is_planner = self.context.host.held_epoch(now).is_some();
        if is_uncertain && is_planner && self.trial.is_none() {
            self.trial = TrialPermit::take(&self.context.crashes.trial);
        }
        let is_trial = is_uncertain && self.trial.is_some();
        log::info!(
            request:% = self.call.plan.request,
            suspect:% = suspect,
            is_uncertain,
            is_trial;
            "suspect of crashes"
        );
        is_trial
    }

    fn choose(&self, now: MonoTime) -> UpstreamChoice {
        let context = &self.context;
        choose_upstream(&ChoiceInput {
            now,
            plan: &self.call.plan,
            roster: &context.roster.borrow(),
            placement: &context.placement.borrow(),
            loads: &context.loads.borrow(),
            speeds: &context.speeds.borrow(),
            pauses: &context.pauses.borrow(),
            limiter: &context.rate_limiter.borrow(),
            software: self.software.as_ref(),
            tried: &self.tried,
            zone: &context.node.zone,
            is_near: &|zone| context.is_near(zone),
        })
    }

    fn try_spend_resend(&self, now: MonoTime) -> bool {
        let mut budget = self.context.resends.borrow_mut();
        self.sends < MAX_SENDS && budget.try_spend(now, &self.call.plan.service)
    }

    async fn attempt(&mut self, key: UpstreamKey, load: u32, candidates: usize) -> AttemptEnd {
        let attempt = CallAttempt {
            context: &self.context,
            call: &self.call,
            key,
            load,
            candidates,
            resume_after: self.resume_after,
        };
        self.admission.spend();
        let outcome = attempt.run().await;
        if matches!(outcome.end, AttemptEnd::NotRun) && self.unknown_outcomes == 0 {
            self.admission.refund();
        }
        self.sends += usize::from(outcome.is_sent);
        if outcome.is_excluded {
            self.tried.push(key);
        }
        outcome.end
    }

    fn refuse(&self, reason: RefusalReason, retry_ms: Option<u64>) -> Response<HttpBody> {
        let plan = &self.call.plan;
        let now = self.context.now();
        let refusal = if self.unknown_outcomes > 0 {
            let unknown = match reason {
                RefusalReason::UpstreamFailed
                | RefusalReason::DeadlinePassed
                | RefusalReason::ResultUnknown => reason,
                _ => RefusalReason::UpstreamLost,
            };
            RequestRefusal::unknown(unknown)
        } else if reason == RefusalReason::DeadlinePassed {
            RequestRefusal::not_run(RefusalReason::DeadlineUnreachable)
        } else {
            RequestRefusal::not_run(reason)
        };
        let left_ms = plan.ends_at.millis_since(now);
        self.context.count_refusal(plan.account.as_ref(), refusal);
        let labels = RefusalLabels::of(refusal);
        let metrics = &self.context.metrics;
        metrics.record_given_way(plan.rank, labels.reason);
        log::info!(
            request:% = plan.request,
            route:% = plan.route,
            account = plan.account.as_ref().map(AccountName::as_str),
            cost = plan.cost,
            need:% = plan.need.as_ref().map(ToString::to_string).unwrap_or_default(),
            rank = plan.rank,
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
