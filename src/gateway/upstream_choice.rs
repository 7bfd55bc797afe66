//! Chooses the upstream for a request by lowest cost.

use super::choice_cost::{AFFINITY_DISCOUNT, ChoiceCost};
use super::choice_draw::{ChoiceDraw, RequestHash};
use super::{CallPlan, LoadTracker, PauseRegistry, PlacementView};
use crate::fleet::{UpstreamEntry, UpstreamKey, UpstreamPhase, UpstreamRoster};
use crate::prelude::*;
use crate::rate_limit::RateLimiter;
use crate::routing::rendezvous_weight;
use crate::upstream_speed::{ALIKE_RATIO, DurationFactor, SpeedTracker};

/// Inputs of the choice.
pub struct ChoiceInput<'a> {
    /// Current time.
    pub now: MonoTime,
    /// The request.
    pub plan: &'a CallPlan,
    /// Known upstreams.
    pub roster: &'a UpstreamRoster,
    /// Models that engines have loaded.
    pub placement: &'a PlacementView,
    /// Load and health of upstreams.
    pub loads: &'a LoadTracker,
    /// Upstreams that want no requests for a while.
    pub pauses: &'a PauseRegistry,
    /// Speeds of upstreams.
    pub speeds: &'a SpeedTracker,
    /// Request rate limits of upstreams.
    pub limiter: &'a RateLimiter,
    /// The only software version that may serve the request; `None` if any may.
    pub software: Option<&'a SoftwareVersion>,
    /// Upstreams that are excluded because this request has already tried them.
    pub tried: &'a [UpstreamKey],
    /// Availability zone of this process.
    pub zone: &'a ZoneName,
    /// Whether an availability zone is in the region of this process.
    pub is_near: &'a dyn Fn(&ZoneName) -> bool,
}

/// Result of the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum UpstreamChoice {
    /// Send the request to this upstream.
    Send {
        /// The upstream.
        key: UpstreamKey,
        /// Estimated number of requests there.
        load: u32,
        /// Number of upstreams that could serve it.
        candidates: usize,
    },
    /// The upstream with the lowest cost accepts no request yet: it has reached its request rate
    /// limit, or wants no requests for a while.
    Limited {
        /// The upstream.
        key: UpstreamKey,
        /// Milliseconds until then, as far as is known.
        forecast_ms: u64,
    },
    /// No reachable upstream has the model loaded.
    NotLoaded,
    /// The service has no ready upstream left to try.
    NoUpstream,
}

/// An upstream that could serve the request.
#[derive(Clone, Copy)]
struct UpstreamCandidate {
    key: UpstreamKey,
    /// Position in the roster; the first of equal candidates is chosen.
    index: usize,
    cost: ChoiceCost,
    duration: DurationFactor,
    /// Milliseconds until it accepts the request; 0 if it does now.
    wait_ms: u64,
    /// Hash of the request and the upstream.
    hash: u64,
}

/// A candidate and its cost.
type RankedCandidate = (f64, UpstreamCandidate);

/// Chooses the upstream with the lowest cost. Where speeds differ, it is chosen from two random ones
/// of those that are close to the lowest cost.
#[must_use]
pub fn choose_upstream(input: &ChoiceInput<'_>) -> UpstreamChoice {
    let request = RequestHash::of(&input.plan.request);
    let mut survey = CandidateSurvey::default();
    for (index, (key, entry)) in input.roster.iter().enumerate() {
        if !is_usable(input, key, entry) {
            continue;
        }
        survey.has_upstream = true;
        if can_serve(input, key) {
            survey.add(input, entry, candidate(input, request, index, key, entry));
        }
    }
    let best = if survey.is_uneven() {
        survey
            .best_at_speed
            .resolve()
            .map(|best| draw(input, request, &survey, best))
    } else {
        survey.best_even.resolve().map(|(_, best)| best)
    };
    match best {
        Some(UpstreamCandidate {
            key, wait_ms: 0, ..
        }) => UpstreamChoice::Send {
            key,
            load: input.loads.estimate(input.now, key),
            candidates: survey.count,
        },
        Some(UpstreamCandidate { key, wait_ms, .. }) => UpstreamChoice::Limited {
            key,
            forecast_ms: wait_ms,
        },
        None if survey.has_upstream => UpstreamChoice::NotLoaded,
        None => UpstreamChoice::NoUpstream,
    }
}

/// What one pass over the upstreams finds, without a list of the candidates.
#[derive(Default)]
struct CandidateSurvey {
    has_upstream: bool,
    count: usize,
    /// Least and greatest duration factor.
    durations: Option<(f64, f64)>,
    /// Weight of the candidate that the shared prompt prefix hashes to.
    affinity_weight: Option<u64>,
    best_even: BestCandidate,
    best_at_speed: BestCandidate,
}

impl CandidateSurvey {
    fn add(&mut self, input: &ChoiceInput<'_>, entry: &UpstreamEntry, found: UpstreamCandidate) {
        self.count += 1;
        let factor = found.duration.value();
        let (least, greatest) = self.durations.unwrap_or((factor, factor));
        self.durations = Some((least.min(factor), greatest.max(factor)));
        let weight = input
            .plan
            .affinity
            .as_ref()
            .map(|affinity| rendezvous_weight(affinity, entry.id.as_str()));
        let is_preferred = weight.is_some() && weight >= self.affinity_weight;
        if is_preferred {
            self.affinity_weight = weight;
        }
        self.best_even.add(found.cost.even(), found, is_preferred);
        let cost = found.cost.at(found.duration, input.plan.kind);
        self.best_at_speed.add(cost, found, is_preferred);
    }

    /// Whether the speeds of the candidates differ so much that they count.
    fn is_uneven(&self) -> bool {
        self.durations
            .is_some_and(|(least, greatest)| greatest > least * ALIKE_RATIO)
    }
}

/// The candidate of lowest cost, and the one that the shared prompt prefix hashes to.
#[derive(Default)]
struct BestCandidate {
    lowest: Option<RankedCandidate>,
    preferred: Option<RankedCandidate>,
}

impl BestCandidate {
    fn add(&mut self, cost: f64, found: UpstreamCandidate, is_preferred: bool) {
        if is_preferred {
            self.preferred = Some((cost, found));
        }
        let is_lower = |(lowest, _): &RankedCandidate| cost.total_cmp(lowest).is_lt();
        if self.lowest.as_ref().is_none_or(is_lower) {
            self.lowest = Some((cost, found));
        }
    }

    /// The candidate of lowest cost after the discount of the preferred one.
    fn resolve(&self) -> Option<RankedCandidate> {
        let lowest = self.lowest?;
        let Some((cost, preferred)) = self.preferred else {
            return Some(lowest);
        };
        let discounted = (cost - AFFINITY_DISCOUNT, preferred);
        let rank = |(cost, found): &RankedCandidate, other: &RankedCandidate| {
            cost.total_cmp(&other.0)
                .then(found.index.cmp(&other.1.index))
        };
        let is_preferred = rank(&discounted, &lowest).is_lt();
        Some(if is_preferred { discounted } else { lowest })
    }
}

/// Chooses between two random candidates that are close to the best one. So no upstream gets more
/// than twice the share that its speed calls for because many processes know the same old news. The
/// upstream that the prompt prefix prefers is kept, as is one that is worth a wait.
fn draw(
    input: &ChoiceInput<'_>,
    request: RequestHash,
    survey: &CandidateSurvey,
    (lowest, best): RankedCandidate,
) -> UpstreamCandidate {
    let preferred = survey.best_at_speed.preferred;
    let is_preferred = preferred.is_some_and(|(_, preferred)| preferred.key == best.key);
    if is_preferred || best.wait_ms > 0 {
        return best;
    }
    let mut draw = ChoiceDraw::open(lowest, best.cost.distance);
    for (index, (key, entry)) in input.roster.iter().enumerate() {
        if !is_usable(input, key, entry) || !can_serve(input, key) {
            continue;
        }
        let found = candidate(input, request, index, key, entry);
        if found.wait_ms == 0 {
            let cost = found.cost.at(found.duration, input.plan.kind);
            draw.add(cost, found.cost.distance, found.duration, found.hash, found);
        }
    }
    draw.chosen().unwrap_or(best)
}

fn is_usable(input: &ChoiceInput<'_>, key: UpstreamKey, entry: &UpstreamEntry) -> bool {
    entry.service == input.plan.service
        && entry.phase == UpstreamPhase::Ready
        && !input.tried.contains(&key)
        && input
            .software
            .is_none_or(|software| entry.software.as_ref() == Some(software))
}

fn can_serve(input: &ChoiceInput<'_>, key: UpstreamKey) -> bool {
    let has_model = |need| input.placement.can_serve(input.now, key, need);
    !input.loads.is_unreachable(input.now, key) && input.plan.need.as_ref().is_none_or(has_model)
}

fn candidate(
    input: &ChoiceInput<'_>,
    request: RequestHash,
    index: usize,
    key: UpstreamKey,
    entry: &UpstreamEntry,
) -> UpstreamCandidate {
    let turn = input.plan.wait_turn();
    let limit_wait_ms = if input.limiter.may_send(input.now, key, turn) {
        0
    } else {
        input.limiter.forecast_ms(key, turn).max(1)
    };
    let wait_ms = limit_wait_ms.max(input.pauses.left_ms(input.now, entry));
    let hash = request.with(entry.id.as_str());
    UpstreamCandidate {
        key,
        index,
        cost: ChoiceCost::open(input, key, entry, wait_ms, RequestHash::fraction(hash)),
        duration: input.speeds.speed(input.now, key).present,
        wait_ms,
        hash,
    }
}
