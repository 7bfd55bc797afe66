//! Routes a request, retries it where that is safe, and answers it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::body::Incoming;
use serde_json::Value;

use super::agent_book::{AgentAddress, RequestNeeds};
use super::attempt_sender::{AttemptEnd, send_attempt};
use super::caller_answer::recorded_answer;
use super::entry_context::EntryContext;
use super::lost_attempt::{LostVerdict, resolve_lost};
use super::request_draft::RequestDraft;
use super::stream_relay::streamed_answer;
use crate::decision::DecisionEvent;
use crate::metrics::NodeMetrics;
use crate::net::HttpBody;
use crate::prelude::*;
use crate::quarantine::QuarantineVerdict;
use crate::routing::{Locality, RouteChooser, RouteContext, RouteTarget};
use crate::rpc::UpstreamCall;
use crate::run_once::RecordedAnswer;

/// Attempts of one request at most.
const MAX_ATTEMPTS: u32 = 4;

/// Part of the time left, as a divisor, for which a request waits for any holder.
const PATIENCE_DIVISOR: u64 = 2;

/// Longest such wait in milliseconds.
const MAX_PATIENCE_MS: u64 = 3_000;

/// Milliseconds between looks while waiting.
const LOOK_MS: u64 = 50;

/// Milliseconds within which a cut stream must go on elsewhere.
const RESUME_MS: u64 = 4_000;

/// Field of a chat request that names the tokens its asker already has.
const RESUME_FIELD: &str = "resume_tokens";

/// Bytes of a prompt's head that requests with the same affinity share.
const AFFINITY_BYTES: usize = 256;

/// One request on its way to an answer.
pub struct Dispatcher {
    context: Rc<EntryContext>,
    draft: RequestDraft,
    call: UpstreamCall,
    excluded: Vec<InstanceName>,
    /// Upstreams weighed when none was chosen.
    weighed: Vec<RouteTarget>,
    attempts: u32,
}

/// Where an attempt goes.
pub struct ChosenRoute {
    /// The upstream.
    pub instance: InstanceName,
    /// How far it is.
    pub locality: Locality,
    /// Its agent.
    pub agent: AgentAddress,
}

/// What to do after an attempt.
enum NextStep {
    Serve(Box<ServedAnswer>),
    Retry,
}

/// An answer before it goes to the caller.
enum ServedAnswer {
    Upstream(ChosenRoute, Response<Incoming>),
    Recorded(InstanceName, RecordedAnswer),
}

impl Dispatcher {
    /// Opens the way of a filtered request.
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
            weighed: Vec::new(),
            attempts: 0,
        })
    }

    /// Routes until there is an answer.
    ///
    /// # Errors
    /// The refusal that the caller gets.
    pub async fn run(mut self) -> Result<Response<HttpBody>, RequestRefusal> {
        self.context.retries.borrow_mut().earn(&self.draft.team);
        if let Some(replica) = self.call.replica() {
            self.context.demand.borrow_mut().arrived(replica);
        }
        match self.acquire().await? {
            ServedAnswer::Upstream(route, answer) => Ok(streamed_answer(self, route, answer)),
            ServedAnswer::Recorded(instance, answer) => {
                Ok(recorded_answer(&self.draft.id, &instance, answer))
            }
        }
    }

    /// Whether the answer may go on at another upstream.
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

    /// Finds another upstream for a stream that was cut after so many tokens.
    ///
    /// # Errors
    /// A refusal if none can go on with it.
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
        match self.acquire().await? {
            ServedAnswer::Upstream(route, answer) => Ok((route, answer)),
            ServedAnswer::Recorded(..) => Err(refusal),
        }
    }

    async fn acquire(&mut self) -> Result<ServedAnswer, RequestRefusal> {
        loop {
            self.attempts += 1;
            let attempt = AttemptId::random();
            let route = self.choose_patiently(attempt).await?;
            let sending =
                send_attempt(&self.context, &self.draft, &self.call, attempt, route.agent);
            let end = sending.await;
            match self.next_step(route, attempt, end).await? {
                NextStep::Serve(answer) => return Ok(*answer),
                NextStep::Retry => self.context.node.metrics.retried.inc(),
            };
        }
    }

    async fn next_step(
        &mut self,
        route: ChosenRoute,
        attempt: AttemptId,
        end: AttemptEnd,
    ) -> Result<NextStep, RequestRefusal> {
        match end {
            AttemptEnd::Answer(answer) => {
                let served = ServedAnswer::Upstream(route, answer);
                Ok(NextStep::Serve(Box::new(served)))
            }
            AttemptEnd::Unsent => {
                let refusal = RequestRefusal::not_run(RefusalReason::UpstreamLost);
                self.retry_elsewhere(route.instance, refusal)
            }
            AttemptEnd::Refused(refusal, crash) => self.after_refusal(route, refusal, crash),
            AttemptEnd::Lost => self.after_loss(route, attempt).await,
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
            self.note_crash(crash)?;
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

    /// Counts the crash against the request, and holds it back at once where it is the
    /// second one.
    fn note_crash(&mut self, crash: u64) -> Result<(), RequestRefusal> {
        let now = self.context.now();
        let fingerprint = self.draft.fingerprint;
        let mut quarantine = self.context.quarantine.borrow_mut();
        quarantine.record(now, fingerprint, crash);
        drop(quarantine);
        let is_second = std::mem::replace(&mut self.draft.suspect, true);
        let is_held = self.context.judge(fingerprint) == QuarantineVerdict::HeldBack;
        if is_held || is_second {
            return Err(RequestRefusal::unknown(RefusalReason::Quarantined));
        }
        Ok(())
    }

    async fn after_loss(
        &mut self,
        route: ChosenRoute,
        attempt: AttemptId,
    ) -> Result<NextStep, RequestRefusal> {
        let verdict = resolve_lost(&self.context, &self.draft, attempt, route.agent).await;
        let lost = RefusalReason::UpstreamLost;
        match verdict {
            LostVerdict::Answer(answer) => {
                let served = ServedAnswer::Recorded(route.instance, answer);
                Ok(NextStep::Serve(Box::new(served)))
            }
            LostVerdict::NeverRuns => {
                self.retry_elsewhere(route.instance, RequestRefusal::not_run(lost))
            }
            LostVerdict::Refused(refusal) => self.after_refusal(route, refusal, None),
            LostVerdict::Unknown if self.draft.run_key.is_none() => {
                let refusal = RequestRefusal::unknown(lost);
                self.presume_crash(&route, refusal)?;
                self.retry_elsewhere(route.instance, refusal)
            }
            LostVerdict::Unknown => Err(RequestRefusal::unknown(RefusalReason::ResultUnknown)),
        }
    }

    /// A request whose agent fell silent may have crashed the engine: it is retried once as
    /// a suspect.
    fn presume_crash(
        &mut self,
        route: &ChosenRoute,
        refusal: RequestRefusal,
    ) -> Result<(), RequestRefusal> {
        let is_second = std::mem::replace(&mut self.draft.suspect, true);
        if let Some(boot_id) = route.agent.boot_id {
            let fingerprint = self.draft.fingerprint;
            self.context
                .presume_crash(fingerprint, &route.instance, boot_id);
        }
        if is_second { Err(refusal) } else { Ok(()) }
    }

    /// Tries another upstream if number, time and budget allow it, else gives the refusal.
    fn retry_elsewhere(
        &mut self,
        instance: InstanceName,
        refusal: RequestRefusal,
    ) -> Result<NextStep, RequestRefusal> {
        let may_return = self.draft.suspect && refusal.outcome == RefusalOutcome::Unknown;
        if !may_return {
            self.excluded.push(instance);
        }
        let has_time = self.context.now() < self.draft.deadline;
        let may_try = self.attempts < MAX_ATTEMPTS && has_time;
        let mut retries = self.context.retries.borrow_mut();
        if may_try && retries.try_spend(&self.draft.team) {
            Ok(NextStep::Retry)
        } else {
            Err(refusal)
        }
    }

    /// Chooses an upstream. While none may run the request at all, as when its holders
    /// restart, part of the time left is spent waiting for one.
    async fn choose_patiently(
        &mut self,
        attempt: AttemptId,
    ) -> Result<ChosenRoute, RequestRefusal> {
        let now = self.context.now();
        let patience_ms = self.draft.deadline.millis_since(now) / PATIENCE_DIVISOR;
        let until = now + patience_ms.min(MAX_PATIENCE_MS);
        loop {
            let refusal = match self.choose(attempt) {
                Ok(route) => return Ok(route),
                Err(refusal) => refusal,
            };
            let may_wait = refusal.reason == RefusalReason::NoReplica;
            if !may_wait || self.context.now() + LOOK_MS > until {
                self.log_refusal(refusal);
                return Err(refusal);
            }
            compio::time::sleep(Duration::from_millis(LOOK_MS)).await;
            self.excluded.clear();
        }
    }

    /// Chooses an upstream and logs the choice.
    fn choose(&mut self, attempt: AttemptId) -> Result<ChosenRoute, RequestRefusal> {
        self.prefer_loaded_version();
        let now = self.context.now();
        let remaining_ms = self.draft.deadline.millis_since(now);
        let targets = self.targets(now);
        let affinity = self.affinity();
        let suspect_key = self.draft.fingerprint.to_string();
        let wake = self.call.replica().map_or("", ReplicaName::as_str);
        let route_context = RouteContext {
            remaining_ms,
            affinity: &affinity,
            wake,
            suspect: self.draft.suspect.then_some(suspect_key.as_str()),
        };
        let choice = match RouteChooser.choose(&targets, route_context) {
            Ok(choice) => choice,
            Err(refusal) => {
                self.weighed = targets;
                return Err(refusal);
            }
        };
        let target = &targets[choice.index];
        let instance = target.instance.clone();
        let locality = target.locality;
        let agent = {
            let mut agents = self.context.agents.borrow_mut();
            agents.note_sent(&instance, target.needed_ms);
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
            stream: self.draft.is_stream(),
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

    /// While the current version is not loaded anywhere, an older one that is goes on
    /// serving, unless the caller named a version.
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

    /// Requests that share the head of their prompt, or an adapter, share an upstream.
    fn affinity(&self) -> String {
        if let UpstreamCall::Engine {
            adapter: Some((unit, _)),
            ..
        } = &self.call
        {
            return unit.to_string();
        }
        let head = &self.draft.body[..self.draft.body.len().min(AFFINITY_BYTES)];
        String::from_utf8_lossy(head).into_owned()
    }

    fn log_refusal(&self, refusal: RequestRefusal) {
        let now = self.context.now();
        if let Some(replica) = self.call.replica() {
            self.context.demand.borrow_mut().refused(replica);
        }
        self.context.node.decisions.record(DecisionEvent::Refuse {
            request: self.draft.id.clone(),
            team: Some(self.draft.team.clone()),
            refusal,
            remaining_ms: self.draft.deadline.millis_since(now),
            targets: self.weighed.clone(),
        });
    }
}

/// The body with the tokens that the caller already has.
fn resume_body(body: &[u8], tokens: u32) -> Option<Bytes> {
    let mut fields: serde_json::Map<String, Value> = serde_json::from_slice(body).ok()?;
    fields.insert(RESUME_FIELD.to_owned(), Value::from(tokens));
    serde_json::to_vec(&fields).ok().map(Bytes::from)
}
