//! Routes a request, retries it where that is safe, and returns its response.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::body::Incoming;
use serde_json::Value;

use super::agent_registry::{AgentAddress, RequestNeeds};
use super::attempt_sender::{AttemptOutcome, send_attempt};
use super::caller_response::recorded_response;
use super::entry_context::EntryContext;
use super::lost_attempt::{LossResolution, resolve_lost_attempt};
use super::request_draft::RequestDraft;
use super::stream_relay::streamed_response;
use crate::decision::DecisionEvent;
use crate::metrics::NodeMetrics;
use crate::net::HttpBody;
use crate::prelude::*;
use crate::quarantine::QuarantineVerdict;
use crate::routing::{Locality, RouteChooser, RouteContext, RouteReason, RouteTarget};
use crate::rpc::UpstreamCall;
use crate::run_once::RecordedAnswer;

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: u32 = 4;

/// A request without a usable upstream waits for at most the remaining time divided by this.
const UPSTREAM_WAIT_DIVISOR: u64 = 2;

/// Maximum wait for a usable upstream, in milliseconds.
const MAX_UPSTREAM_WAIT_MS: u64 = 3_000;

/// Milliseconds between checks while waiting for a usable upstream.
const UPSTREAM_POLL_MS: u64 = 50;

/// Deadline in milliseconds for resuming an interrupted stream at another upstream.
const RESUME_MS: u64 = 4_000;

/// Field of a chat request with the number of tokens that the caller already has.
const RESUME_FIELD: &str = "resume_tokens";

/// Length in bytes of the body prefix that serves as affinity key.
const AFFINITY_PREFIX_BYTES: usize = 256;

/// Routing state of one request, across its attempts.
pub struct Dispatcher {
    context: Rc<EntryContext>,
    draft: RequestDraft,
    call: UpstreamCall,
    excluded: Vec<InstanceName>,
    /// Upstreams considered when none was chosen; recorded with the refusal.
    rejected_targets: Vec<RouteTarget>,
    attempts: u32,
}

/// The upstream chosen for an attempt.
pub struct ChosenRoute {
    /// Instance of the upstream.
    pub instance: InstanceName,
    /// Distance of the upstream from this entry.
    pub locality: Locality,
    /// Address of the upstream's agent.
    pub agent: AgentAddress,
}

/// What to do after an attempt.
enum NextStep {
    Serve(Box<ServedResponse>),
    Retry,
}

/// A response before it is sent to the caller.
enum ServedResponse {
    Upstream(ChosenRoute, Response<Incoming>),
    Recorded(InstanceName, RecordedAnswer),
}

impl Dispatcher {
    /// Creates the dispatcher of a request that has passed the filters.
    ///
    /// # Errors
    /// `UnknownRoute` if the filters found no target.
    pub fn open(context: Rc<EntryContext>, draft: RequestDraft) -> Result<Self, RequestRefusal> {
        let unknown = RequestRefusal::not_run(RefusalReason::UnknownRoute);
        let call = draft.call.clone().ok_or(unknown)?;
        Ok(Self {
            context,
            draft,
            call,
            excluded: Vec::new(),
            rejected_targets: Vec::new(),
            attempts: 0,
        })
    }

    /// Routes and retries the request until there is a response.
    ///
    /// # Errors
    /// The refusal to send to the caller.
    pub async fn run(mut self) -> Result<Response<HttpBody>, RequestRefusal> {
        self.context.retries.borrow_mut().earn(&self.draft.team);
        if let Some(replica) = self.call.replica() {
            self.context.demand.borrow_mut().count_arrival(replica);
        }
        match self.acquire_response().await? {
            ServedResponse::Upstream(route, response) => {
                Ok(streamed_response(self, route, response))
            }
            ServedResponse::Recorded(instance, answer) => {
                Ok(recorded_response(&self.draft.id, &instance, answer))
            }
        }
    }

    /// Whether an interrupted response may resume at another upstream: only a stream without
    /// an idempotency key.
    pub fn may_resume(&self) -> bool {
        self.draft.is_stream() && self.draft.run_key.is_none()
    }

    /// Identifier of the request.
    pub fn request_id(&self) -> &str {
        &self.draft.id
    }

    /// The process's metrics.
    pub fn metrics(&self) -> &NodeMetrics {
        &self.context.node.metrics
    }

    /// Resumes a stream that was interrupted after `tokens` tokens.
    ///
    /// # Errors
    /// A refusal if no upstream can resume it.
    pub async fn resume(
        &mut self,
        route: &ChosenRoute,
        tokens: u32,
    ) -> Result<(ChosenRoute, Response<Incoming>), RequestRefusal> {
        let refusal = RequestRefusal::unknown(RefusalReason::UpstreamLost);
        self.draft.deadline = self.context.now() + RESUME_MS;
        self.draft.body = resume_body(&self.draft.body, tokens).ok_or(refusal)?;
        self.presume_crash(route, refusal)?;
        self.retry_elsewhere(route.instance.clone(), refusal)?;
        self.context.node.metrics.retried.inc();
        match self.acquire_response().await? {
            ServedResponse::Upstream(route, response) => Ok((route, response)),
            ServedResponse::Recorded(..) => Err(refusal),
        }
    }

    async fn acquire_response(&mut self) -> Result<ServedResponse, RequestRefusal> {
        loop {
            self.attempts += 1;
            let attempt = AttemptId::random();
            let route = self.choose_or_wait(attempt).await?;
            let sending =
                send_attempt(&self.context, &self.draft, &self.call, attempt, route.agent);
            let outcome = sending.await;
            match self.next_step(route, attempt, outcome).await? {
                NextStep::Serve(response) => return Ok(*response),
                NextStep::Retry => self.context.node.metrics.retried.inc(),
            };
        }
    }

    async fn next_step(
        &mut self,
        route: ChosenRoute,
        attempt: AttemptId,
        outcome: AttemptOutcome,
    ) -> Result<NextStep, RequestRefusal> {
        match outcome {
            AttemptOutcome::Response(response) => {
                let served = ServedResponse::Upstream(route, response);
                Ok(NextStep::Serve(Box::new(served)))
            }
            AttemptOutcome::Unsent => {
                let refusal = RequestRefusal::not_run(RefusalReason::UpstreamLost);
                self.retry_elsewhere(route.instance, refusal)
            }
            AttemptOutcome::Refused(refusal, crash) => self.after_refusal(route, refusal, crash),
            AttemptOutcome::Lost => self.after_loss(route, attempt).await,
        }
    }

    fn after_refusal(
        &mut self,
        route: ChosenRoute,
        refusal: RequestRefusal,
        crash: Option<u64>,
    ) -> Result<NextStep, RequestRefusal> {
        if refusal.reason == RefusalReason::UpstreamLeaving {
            let mut agents = self.context.agents.borrow_mut();
            agents.note_leaving(&route.instance);
        }
        if let Some(crash) = crash {
            self.record_crash(crash)?;
        }
        let is_lost = refusal.reason == RefusalReason::UpstreamLost;
        let may_retry = match refusal.outcome {
            RefusalOutcome::NotRun => refusal.reason.is_reroutable() || is_lost,
            RefusalOutcome::Unknown => is_lost && self.draft.run_key.is_none(),
        };
        if may_retry {
            self.retry_elsewhere(route.instance, refusal)
        } else {
            Err(refusal)
        }
    }

    /// Records that the request was in flight at an engine crash, and refuses it if this is
    /// its second crash or if it is quarantined.
    fn record_crash(&mut self, crash: u64) -> Result<(), RequestRefusal> {
        let now = self.context.now();
        let fingerprint = self.draft.fingerprint;
        let mut quarantine = self.context.quarantine.borrow_mut();
        quarantine.record(now, fingerprint, crash);
        drop(quarantine);
        let is_second = std::mem::replace(&mut self.draft.is_suspect, true);
        let is_quarantined =
            self.context.quarantine_verdict(fingerprint) == QuarantineVerdict::Quarantined;
        if is_quarantined || is_second {
            return Err(RequestRefusal::unknown(RefusalReason::Quarantined));
        }
        Ok(())
    }

    async fn after_loss(
        &mut self,
        route: ChosenRoute,
        attempt: AttemptId,
    ) -> Result<NextStep, RequestRefusal> {
        let resolution =
            resolve_lost_attempt(&self.context, &self.draft, attempt, route.agent).await;
        let lost = RefusalReason::UpstreamLost;
        match resolution {
            LossResolution::Answered(answer) => {
                let served = ServedResponse::Recorded(route.instance, answer);
                Ok(NextStep::Serve(Box::new(served)))
            }
            LossResolution::NeverRuns => {
                self.retry_elsewhere(route.instance, RequestRefusal::not_run(lost))
            }
            LossResolution::Refused(refusal) => self.after_refusal(route, refusal, None),
            LossResolution::Unknown if self.draft.run_key.is_none() => {
                let refusal = RequestRefusal::unknown(lost);
                self.presume_crash(&route, refusal)?;
                self.retry_elsewhere(route.instance, refusal)
            }
            LossResolution::Unknown => Err(RequestRefusal::unknown(RefusalReason::ResultUnknown)),
        }
    }

    /// Assumes that a request whose agent stopped answering crashed the engine: it is retried
    /// once, marked as a suspect.
    fn presume_crash(
        &mut self,
        route: &ChosenRoute,
        refusal: RequestRefusal,
    ) -> Result<(), RequestRefusal> {
        let is_second = std::mem::replace(&mut self.draft.is_suspect, true);
        if let Some(boot_id) = route.agent.boot_id {
            let fingerprint = self.draft.fingerprint;
            self.context
                .presume_crash(fingerprint, &route.instance, boot_id);
        }
        if is_second { Err(refusal) } else { Ok(()) }
    }

    /// Allows a retry if the number of attempts, the deadline and the retry budget permit it,
    /// else returns the refusal. Excludes the upstream from the retry, unless the request is a
    /// suspect that may have run.
    fn retry_elsewhere(
        &mut self,
        instance: InstanceName,
        refusal: RequestRefusal,
    ) -> Result<NextStep, RequestRefusal> {
        let may_reuse_upstream =
            self.draft.is_suspect && refusal.outcome == RefusalOutcome::Unknown;
        if !may_reuse_upstream {
            self.excluded.push(instance);
        }
        let has_time = self.context.now() < self.draft.deadline;
        let may_attempt = self.attempts < MAX_ATTEMPTS && has_time;
        let mut retries = self.context.retries.borrow_mut();
        if may_attempt && retries.try_spend(&self.draft.team) {
            Ok(NextStep::Retry)
        } else {
            Err(refusal)
        }
    }

    /// Chooses an upstream. While none can run the request, for instance because the holders of
    /// its replica restart, waits for one for part of the remaining time.
    async fn choose_or_wait(&mut self, attempt: AttemptId) -> Result<ChosenRoute, RequestRefusal> {
        let now = self.context.now();
        let wait_ms = self.draft.deadline.millis_since(now) / UPSTREAM_WAIT_DIVISOR;
        let until = now + wait_ms.min(MAX_UPSTREAM_WAIT_MS);
        loop {
            let refusal = match self.choose(attempt) {
                Ok(route) => return Ok(route),
                Err(refusal) => refusal,
            };
            let may_wait = refusal.reason == RefusalReason::NoReplica;
            if !may_wait || self.context.now() + UPSTREAM_POLL_MS > until {
                self.record_refusal(refusal);
                return Err(refusal);
            }
            compio::time::sleep(Duration::from_millis(UPSTREAM_POLL_MS)).await;
            self.excluded.clear();
        }
    }

    /// Chooses an upstream and records the decision.
    fn choose(&mut self, attempt: AttemptId) -> Result<ChosenRoute, RequestRefusal> {
        self.prefer_loaded_version();
        let now = self.context.now();
        let remaining_ms = self.draft.deadline.millis_since(now);
        let targets = self.targets(now);
        let affinity_key = self.affinity_key();
        let fingerprint_text = self.draft.fingerprint.to_string();
        let wake_key = self.call.replica().map_or("", ReplicaName::as_str);
        let route_context = RouteContext {
            remaining_ms,
            affinity_key: &affinity_key,
            wake_key,
            suspect_key: self.draft.is_suspect.then_some(fingerprint_text.as_str()),
        };
        let choice = match RouteChooser.choose(&targets, route_context) {
            Ok(choice) => choice,
            Err(refusal) => {
                self.rejected_targets = targets;
                return Err(refusal);
            }
        };
        let target = &targets[choice.index];
        let instance = target.instance.clone();
        let locality = target.locality;
        let agent = {
            let mut agents = self.context.agents.borrow_mut();
            agents.note_sent(&instance, target.needed_ms);
            if let Some(replica) = self
                .call
                .replica()
                .filter(|_| choice.reason == RouteReason::Wake)
            {
                agents.note_woken(now, &instance, replica);
            }
            agents.address(&instance)
        };
        let agent = agent.ok_or(RequestRefusal::not_run(RefusalReason::NoReplica))?;
        if locality == Locality::Remote {
            let bytes = self.draft.body.len() as u64;
            self.context.node.metrics.remote_bytes.inc_by(bytes);
        }
        self.context.node.decisions.record(DecisionEvent::Route {
            request: self.draft.id.clone(),
            attempt,
            team: self.draft.team.clone(),
            replica: self.call.replica().cloned(),
            instance: instance.clone(),
            choice,
            remaining_ms,
            targets,
        });
        Ok(ChosenRoute {
            instance,
            locality,
            agent,
        })
    }

    fn targets(&self, now: MonoTime) -> Vec<RouteTarget> {
        let needs = RequestNeeds {
            rank: &self.draft.rank,
            is_stream: self.draft.is_stream(),
            tokens: self.draft.tokens(),
        };
        let agents = self.context.agents.borrow();
        let mut targets = match &self.call {
            UpstreamCall::Engine { replica, .. } => agents.replica_targets(now, replica, needs),
            UpstreamCall::Service { service, .. } => agents.service_targets(now, service, needs),
        };
        targets.retain(|target| !self.excluded.contains(&target.instance));
        targets.sort_by(|a, b| a.instance.cmp(&b.instance));
        targets
    }

    /// Selects another loaded version of the model while the current version is not loaded
    /// anywhere, so that an update does not interrupt service, unless the caller named a version.
    fn prefer_loaded_version(&mut self) {
        let UpstreamCall::Engine { replica, adapter } = &mut self.call else {
            return;
        };
        if self.draft.is_version_fixed {
            return;
        }
        let model = replica.model();
        let Some(settings) = self.draft.fleet.models.get(&model) else {
            return;
        };
        let current = settings.replica(&model);
        let agents = self.context.agents.borrow();
        let loaded = agents.loaded_versions(self.context.now(), &model);
        let chosen = if loaded.contains(&current) {
            current
        } else {
            loaded.last().cloned().unwrap_or(current)
        };
        if let Some((unit, _)) = adapter {
            unit.replica = chosen.clone();
        }
        *replica = chosen;
    }

    /// Key by which requests share an upstream: the adapter, else the first bytes of the body,
    /// so that requests with a common prompt prefix share one.
    fn affinity_key(&self) -> String {
        if let UpstreamCall::Engine {
            adapter: Some((unit, _)),
            ..
        } = &self.call
        {
            return unit.to_string();
        }
        let prefix = &self.draft.body[..self.draft.body.len().min(AFFINITY_PREFIX_BYTES)];
        String::from_utf8_lossy(prefix).into_owned()
    }

    fn record_refusal(&self, refusal: RequestRefusal) {
        let now = self.context.now();
        if let Some(replica) = self.call.replica() {
            self.context.demand.borrow_mut().count_refusal(replica);
        }
        self.context.node.decisions.record(DecisionEvent::Refuse {
            request: self.draft.id.clone(),
            team: Some(self.draft.team.clone()),
            refusal,
            remaining_ms: self.draft.deadline.millis_since(now),
            targets: self.rejected_targets.clone(),
        });
    }
}

/// Adds the number of tokens that the caller already has to the body of a chat request;
/// `None` if the body is not a JSON object.
fn resume_body(body: &[u8], tokens: u32) -> Option<Bytes> {
    let mut fields: serde_json::Map<String, Value> = serde_json::from_slice(body).ok()?;
    fields.insert(RESUME_FIELD.to_owned(), Value::from(tokens));
    serde_json::to_vec(&fields).ok().map(Bytes::from)
}
