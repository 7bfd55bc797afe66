//! Tracking of a request in flight at an upstream.

use std::rc::Rc;

use super::buffered_call::BufferedCall;
use super::upstream_loss::UpstreamStart;
use super::{CallPlan, GatewayContext};
use crate::fleet::{UpstreamEntry, UpstreamKey};
use crate::prelude::*;
use crate::quarantine::RequestFingerprint;
use crate::upstream_speed::PaceMeter;

/// Tracks a request in flight at an upstream; dropping it ends the tracking and logs the attempt.
pub struct CallGuard {
    pub(super) context: Rc<GatewayContext>,
    pub(super) plan: Rc<CallPlan>,
    pub(super) fingerprint: RequestFingerprint,
    pub(super) key: UpstreamKey,
    pub(super) upstream: UpstreamStart,
    /// Software version of the upstream when the request was sent; `None` if it names none.
    pub(super) software: Option<SoftwareVersion>,
    outcome: &'static str,
    body_bytes: u64,
    /// Milliseconds from arrival to the first body frame; `None` before it.
    first_ms: Option<u64>,
    /// When the request was sent.
    sent_at: MonoTime,
    /// Measures the time per event of a stream.
    pace: PaceMeter,
    last_at: MonoTime,
    /// Longest gap between body frames in milliseconds.
    gap_ms: u64,
    /// Ids of the first and the last event of a stream; `None` before an event with an id.
    event_ids: Option<(u64, u64)>,
}

impl CallGuard {
    /// Starts tracking a request and its unread prompt.
    pub fn begin(
        context: &Rc<GatewayContext>,
        call: &BufferedCall,
        key: UpstreamKey,
        upstream: &UpstreamEntry,
    ) -> Self {
        let plan = &call.plan;
        let mut loads = context.loads.borrow_mut();
        loads.begin_request(key);
        loads.begin_prompt(key, plan.prompt_tokens);
        drop(loads);
        context.change_in_flight(key, plan.need.as_ref(), 1);
        Self {
            context: Rc::clone(context),
            plan: Rc::clone(plan),
            fingerprint: call.fingerprint,
            key,
            upstream: UpstreamStart::of(upstream),
            software: upstream.software.clone(),
            outcome: "caller_left",
            body_bytes: 0,
            first_ms: None,
            sent_at: context.now(),
            pace: PaceMeter::default(),
            last_at: plan.arrived_at,
            gap_ms: 0,
            event_ids: None,
        }
    }

    /// Records a body frame; the first one shows that the engine has read the prompt.
    pub fn record_frame(&mut self, bytes: usize) {
        let now = self.context.now();
        self.body_bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
        let pause_ms = now.millis_since(self.last_at);
        if self.first_ms.is_some() {
            self.gap_ms = self.gap_ms.max(pause_ms);
        } else {
            self.first_ms = Some(now.millis_since(self.plan.arrived_at));
            self.end_prompt();
        }
        self.last_at = now;
    }

    /// Records a number of whole events, for which this process waited since `asked_at`.
    pub fn record_pace(&mut self, asked_at: MonoTime, events: u64) {
        let now = self.context.now();
        if let Some(event_ms) = self.pace.record_events(asked_at, now, events) {
            self.context
                .record_event_time(&self.plan, self.key, event_ms);
        }
    }

    /// Records the ids of the first and the last event that have arrived.
    pub const fn record_event_ids(&mut self, event_ids: Option<(u64, u64)>) {
        self.event_ids = event_ids;
    }

    /// Records that the engine is no longer reading the prompt.
    fn end_prompt(&self) {
        let mut loads = self.context.loads.borrow_mut();
        loads.end_prompt(self.key, self.plan.prompt_tokens);
        drop(loads);
        self.context.prompt_read.notify();
    }

    /// Sets the outcome that is logged.
    pub const fn set_outcome(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.context.loads.borrow_mut().end_request(self.key);
        if self.first_ms.is_none() {
            self.end_prompt();
        }
        self.context
            .change_in_flight(self.key, self.plan.need.as_ref(), -1);
        let now = self.context.now();
        if self.outcome == "complete" {
            #[allow(clippy::cast_precision_loss)]
            let request_ms = now.millis_since(self.sent_at) as f64;
            self.context
                .record_request_time(&self.plan, self.key, request_ms);
        }
        if self.first_ms.is_some() {
            self.context.record_pause(&self.plan, self.gap_ms);
        }
        let took_ms = now.millis_since(self.plan.arrived_at);
        log::info!(
            request:% = self.plan.request,
            upstream:% = self.upstream.id,
            outcome = self.outcome,
            bytes = self.body_bytes,
            first_ms = self.first_ms,
            gap_ms = self.gap_ms,
            first_event = self.event_ids.map(|(first, _)| first),
            last_event = self.event_ids.map(|(_, last)| last),
            ms = took_ms;
            "attempt ended"
        );
    }
}
