//! What is recorded of an attempt whose upstream was lost, however much of the answer had arrived.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::answer_framing::BodyFraming;
use super::call_guard::CallGuard;
use super::{CallPlan, GatewayContext};
use crate::fleet::UpstreamEntry;
use crate::net::{NetError, dial};
use crate::prelude::*;
use crate::quarantine::{AnswerProgress, RequestFingerprint, RequestSuspects, crash_id};

/// Milliseconds after the end of a connection within which a process that ends also closes its listener.
const PROCESS_END_MS: u64 = 20;

/// The start of an upstream that an attempt was sent to. The list may name a later one by the time
/// that the attempt ends.
#[derive(Debug, Clone)]
pub struct UpstreamStart {
    /// Identity of the upstream.
    pub id: UpstreamId,
    started_at_ms: u64,
    address: SocketAddr,
}

impl UpstreamStart {
    /// The start that an entry of the list names.
    pub fn of(entry: &UpstreamEntry) -> Self {
        Self {
            id: entry.id.clone(),
            started_at_ms: entry.started_at_ms,
            address: entry.address,
        }
    }

    /// Whether an entry of the list names this start.
    pub fn is_of(&self, entry: &UpstreamEntry) -> bool {
        self.id == entry.id && self.started_at_ms == entry.started_at_ms
    }

    /// ID of the crash that ends this start.
    fn crash_id(&self) -> u64 {
        let instance = InstanceName::from(self.id.as_str());
        crash_id(&instance, self.started_at_ms)
    }

    /// Whether nothing listens at the address any more. A crashed upstream refuses connections until it
    /// has started again; one that only broke off an answer accepts them.
    async fn refuses_connections(&self) -> bool {
        compio::time::sleep(Duration::from_millis(PROCESS_END_MS)).await;
        match dial(self.address).await {
            Err(NetError::Socket(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
            _ => false,
        }
    }
}

/// An attempt that has ended, and what it was sent to.
struct EndedAttempt {
    context: Rc<GatewayContext>,
    plan: Rc<CallPlan>,
    fingerprint: RequestFingerprint,
    upstream: UpstreamStart,
}

impl EndedAttempt {
    fn suspects(&self) -> RequestSuspects<'_> {
        self.plan.suspects(self.fingerprint)
    }

    async fn has_crashed(&self) -> bool {
        let is_known = self.context.crashes.knows_crash(self.upstream.crash_id());
        is_known || self.upstream.refuses_connections().await
    }

    /// Records that the connection ended before the answer did. The planner is told at once if the
    /// upstream has crashed.
    fn record_loss(&self, lost_at: AnswerProgress, has_crashed: bool) {
        let crash = self.upstream.crash_id();
        let suspects = self.suspects();
        let parts: Vec<String> = suspects.parts.iter().map(ToString::to_string).collect();
        log::warn!(
            request:% = self.plan.request,
            upstream:% = self.upstream.id,
            crash,
            has_crashed,
            lost_at:? = lost_at,
            fingerprint:% = suspects.request,
            parts:? = parts;
            "upstream lost before the end of an answer"
        );
        if has_crashed {
            let context = &self.context;
            let now = context.now();
            context.crashes.record_crash(now, crash, suspects, lost_at);
            context.waits.wanted.notify();
        }
    }

    /// Records an answer that ended with its connection, as it also does when its upstream crashes.
    async fn record_close(self, progress: AnswerProgress) {
        let has_crashed = self.has_crashed().await;
        log::info!(
            request:% = self.plan.request,
            upstream:% = self.upstream.id,
            has_crashed;
            "answer ended with its connection"
        );
        if has_crashed {
            self.record_loss(progress, has_crashed);
        } else {
            let whole = AnswerProgress::WHOLE;
            self.context.record_progress(self.suspects(), whole);
        }
    }
}

impl CallGuard {
    /// Records that the connection to the upstream ended before the answer did. Returns whether the
    /// upstream has crashed.
    pub async fn record_loss(&self, lost_at: AnswerProgress) -> bool {
        let attempt = self.ended_attempt();
        let has_crashed = attempt.has_crashed().await;
        attempt.record_loss(lost_at, has_crashed);
        has_crashed
    }

    /// Records how far the answer has come.
    pub fn record_progress(&self, progress: AnswerProgress) {
        let suspects = self.plan.suspects(self.fingerprint);
        self.context.record_progress(suspects, progress);
    }

    /// Records that all of the answer has arrived, as far as its framing tells. `progress` is how far it
    /// has come if its upstream has crashed.
    pub fn record_end(&self, framing: BodyFraming, progress: AnswerProgress) {
        match framing {
            BodyFraming::Explicit => self.record_progress(AnswerProgress::WHOLE),
            BodyFraming::UntilClose => {
                let attempt = self.ended_attempt();
                compio::runtime::spawn(attempt.record_close(progress)).detach();
            }
        }
    }

    fn ended_attempt(&self) -> EndedAttempt {
        EndedAttempt {
            context: Rc::clone(&self.context),
            plan: Rc::clone(&self.plan),
            fingerprint: self.fingerprint,
            upstream: self.upstream.clone(),
        }
    }
}
