//! Cost of sending a request to one upstream.
//!
//! A cost of 1 is half a second: costs rank upstreams by when the request would begin and end there.

use super::ChoiceInput;
use crate::fleet::{RouteKind, UpstreamEntry, UpstreamKey};
use crate::upstream_speed::{DurationFactor, PROMPT_TOKEN_MS};

/// Cost of another availability zone of the same region; a cost of 1 is one full upstream.
const OTHER_ZONE_COST: f64 = 0.03;

/// Cost of another region.
const OTHER_REGION_COST: f64 = 0.15;

/// Cost reduction at the upstream that the shared prompt prefix hashes to.
pub(super) const AFFINITY_DISCOUNT: f64 = 0.2;

/// Cost of an upstream that failed recently; it is chosen only where no other can serve.
const SUSPECT_COST: f64 = 10.0;

/// Cost of each unread prompt token; 4,000 of them take about 100 ms.
const UNREAD_TOKEN_COST: f64 = 0.000_08;

/// Load at which an upstream counts as full, as a fraction of its slots.
const FULL_LOAD: f64 = 1.0;

/// Cost of queued requests beyond a full upstream, for each upstream's worth of slots.
const QUEUE_COST: f64 = 3.0;

/// Cost of an upstream that limits its request rate, so that its tokens are left for requests that
/// no other upstream can serve.
const LIMITED_COST: f64 = 0.2;

/// Cost of each millisecond until an upstream accepts the request; half a second is as bad as a full
/// upstream.
const WAIT_COST: f64 = 0.002;

/// Cost of a wait that the request cannot afford; it is refused if no other upstream can serve it.
const TOO_LATE_COST: f64 = 100.0;

/// Cost of the request's own work at an idle upstream of usual speed. It decides how much more load
/// than its speed calls for a fast upstream gets: a quarter of a full upstream.
const OWN_WORK_COST: f64 = 0.25;

/// Cost of a pause of the streams at an upstream, for each further length of the longest pause
/// allowed.
const PAUSE_COST: f64 = 1.0;

/// Largest cost of a pause.
const MAX_PAUSE_COST: f64 = 2.0;

/// Parts of the cost of one upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct ChoiceCost {
    /// Load and unread prompts at usual speed.
    work: f64,
    /// Distance to the upstream.
    pub(super) distance: f64,
    suspect: f64,
    limited: f64,
    /// Below the effect of one request; hash of the request and the upstream.
    tie: f64,
    wait: f64,
    /// Milliseconds for which prompts delay the streams at usual speed.
    pause_ms: f64,
}

impl ChoiceCost {
    /// Determines the parts of the cost. `wait_ms` is the time until the upstream accepts a request,
    /// `tie` a fraction of 1 by which requests are spread over upstreams of equal cost.
    pub(super) fn open(
        input: &ChoiceInput<'_>,
        key: UpstreamKey,
        entry: &UpstreamEntry,
        wait_ms: u64,
        tie: f64,
    ) -> Self {
        let slots = f64::from(entry.slots.max(1));
        let load = f64::from(input.loads.estimate(input.now, key)) / slots;
        let unread_tokens = input.loads.unread_tokens(key);
        let mut work = load + f64::from(unread_tokens) * UNREAD_TOKEN_COST;
        if load >= FULL_LOAD {
            work += (load - FULL_LOAD + 1.0 / slots) * QUEUE_COST;
        }
        let tokens = f64::from(unread_tokens) + f64::from(input.plan.prompt_tokens);
        Self {
            work,
            distance: distance_cost(input, entry),
            suspect: cost_if(input.loads.is_suspect(input.now, key), SUSPECT_COST),
            limited: cost_if(input.limiter.limit(key).is_some(), LIMITED_COST),
            tie: tie / slots,
            wait: wait_cost(input, wait_ms),
            pause_ms: tokens * PROMPT_TOKEN_MS,
        }
    }

    /// Cost at usual speed.
    pub(super) fn even(&self) -> f64 {
        self.with_work(self.work)
    }

    /// Cost at an upstream whose work takes `duration` times as long as usual; equal to [`Self::even`]
    /// at the usual duration.
    pub(super) fn at(&self, duration: DurationFactor, kind: RouteKind) -> f64 {
        if duration == DurationFactor::USUAL {
            return self.even();
        }
        let factor = duration.value();
        let own_work = (factor - 1.0) * OWN_WORK_COST;
        self.with_work(self.work * factor + own_work + self.pause_cost(factor, kind))
    }

    /// Cost of the pause of the streams beyond the one at usual speed.
    fn pause_cost(&self, factor: f64, kind: RouteKind) -> f64 {
        let RouteKind::Stream { gap_ms, .. } = kind else {
            return 0.0;
        };
        #[allow(clippy::cast_precision_loss)]
        let gap_ms = gap_ms.max(1) as f64;
        let excess = |factor: f64| {
            let lengths = (self.pause_ms * factor - gap_ms) / gap_ms;
            (lengths * PAUSE_COST).clamp(0.0, MAX_PAUSE_COST)
        };
        (excess(factor) - excess(1.0)).max(0.0)
    }

    fn with_work(&self, work: f64) -> f64 {
        work + self.distance + self.suspect + self.limited + self.tie + self.wait
    }
}

fn cost_if(applies: bool, cost: f64) -> f64 {
    if applies { cost } else { 0.0 }
}

fn distance_cost(input: &ChoiceInput<'_>, entry: &UpstreamEntry) -> f64 {
    if entry.zone == *input.zone {
        0.0
    } else if (input.is_near)(&entry.zone) {
        OTHER_ZONE_COST
    } else {
        OTHER_REGION_COST
    }
}

/// Cost of a wait until the upstream accepts the request.
#[allow(clippy::cast_precision_loss)]
fn wait_cost(input: &ChoiceInput<'_>, wait_ms: u64) -> f64 {
    let too_late = cost_if(input.now + wait_ms > input.plan.wait_until, TOO_LATE_COST);
    wait_ms as f64 * WAIT_COST + too_late
}
