//! Measures the work of upstreams, so that their speeds are learned.

use super::{CallPlan, GatewayContext};
use crate::fleet::{RouteKind, UpstreamKey};
use crate::upstream_speed::{DurationFactor, SpeedReport, WorkClass, WorkSample};

impl GatewayContext {
    /// Learns from the time in milliseconds that one event of a stream took.
    pub fn record_event_time(&self, plan: &CallPlan, key: UpstreamKey, event_ms: f64) {
        self.record_work(plan, key, event_ms);
    }

    /// Learns from the time in milliseconds that a whole request took. Only requests to plain
    /// services within the region are compared: at an engine the time depends on the length of the
    /// answer, and elsewhere on the distance.
    pub fn record_request_time(&self, plan: &CallPlan, key: UpstreamKey, request_ms: f64) {
        let mut speeds = self.speeds.borrow_mut();
        speeds.record_request(&plan.service, request_ms);
        drop(speeds);
        let roster = self.roster.borrow();
        let is_near = roster
            .get(key)
            .is_some_and(|entry| entry.zone == self.node.zone || self.is_near(&entry.zone));
        drop(roster);
        if is_near && plan.need.is_none() && !plan.is_stream() {
            self.record_work(plan, key, request_ms);
        }
    }

    /// Records the longest pause of a stream in milliseconds.
    #[allow(clippy::cast_precision_loss)]
    pub fn record_pause(&self, plan: &CallPlan, pause_ms: u64) {
        let RouteKind::Stream { gap_ms, .. } = plan.kind else {
            return;
        };
        let seconds = pause_ms as f64 / 1_000.0;
        self.metrics.stream_pause_s.observe(seconds);
        if pause_ms > gap_ms {
            self.metrics.paused_streams.inc();
        }
    }

    /// Upstreams whose speed differs lastingly from that of their peers, for the next demand report.
    #[must_use]
    pub fn speed_reports(&self) -> Vec<SpeedReport> {
        let roster = self.roster.borrow();
        let speeds = self.speeds.borrow();
        let report = |(key, lasting)| Some(SpeedReport::of(roster.get(key)?.id.clone(), lasting));
        speeds.uneven().filter_map(report).collect()
    }

    fn record_work(&self, plan: &CallPlan, key: UpstreamKey, work_ms: f64) {
        let now = self.now();
        let Some(load) = self.loads.borrow().recent_load(now, key) else {
            return;
        };
        let class = WorkClass {
            service: plan.service.clone(),
            model: plan.need.as_ref().map(|need| need.model.clone()),
            is_stream: plan.is_stream(),
        };
        let sample = WorkSample {
            class: &class,
            load,
            work_ms,
        };
        let mut speeds = self.speeds.borrow_mut();
        if !speeds.record_work(now, key, sample) {
            return;
        }
        let is_slow = |(_, lasting): &(UpstreamKey, DurationFactor)| lasting.value() > 1.0;
        let uneven = speeds.uneven().count();
        let slow = speeds.uneven().filter(is_slow).count();
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.slow_upstreams.set(gauge(slow));
        self.metrics.fast_upstreams.set(gauge(uneven - slow));
    }
}
