//! The choice of an upstream by count, as it was before speeds counted in it.

use quetzalpin::fleet::{UpstreamEntry, UpstreamKey, UpstreamPhase};
use quetzalpin::gateway::{ChoiceInput, UpstreamChoice};
use quetzalpin::routing::rendezvous_weight;

/// Cost of another availability zone of the same region; a cost of 1 is one full upstream.
const OTHER_ZONE_COST: f64 = 0.03;

/// Cost of another region.
const OTHER_REGION_COST: f64 = 0.15;

/// Cost reduction at the upstream that the shared prompt prefix hashes to.
const AFFINITY_DISCOUNT: f64 = 0.2;

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

/// An upstream that could serve the request.
struct UpstreamCandidate<'a> {
    key: UpstreamKey,
    entry: &'a UpstreamEntry,
    cost: f64,
    /// Milliseconds until it accepts the request; 0 if it does now.
    wait_ms: u64,
}

/// Chooses the upstream with the lowest cost.
#[must_use]
pub fn choose_even(input: &ChoiceInput<'_>) -> UpstreamChoice {
    let is_usable = |(key, entry): &(UpstreamKey, &UpstreamEntry)| {
        entry.service == input.plan.service
            && entry.phase == UpstreamPhase::Ready
            && !input.tried.contains(key)
            && input
                .software
                .is_none_or(|software| entry.software.as_ref() == Some(software))
    };
    let usable = input.roster.iter().filter(is_usable);
    let mut has_upstream = false;
    let mut candidates: Vec<UpstreamCandidate<'_>> = Vec::new();
    for (key, entry) in usable {
        has_upstream = true;
        if can_serve(input, key) {
            candidates.push(candidate(input, key, entry));
        }
    }
    discount_affinity(input, &mut candidates);
    let count = candidates.len();
    let best = candidates
        .into_iter()
        .min_by(|left, right| left.cost.total_cmp(&right.cost));
    match best {
        Some(UpstreamCandidate {
            key, wait_ms: 0, ..
        }) => UpstreamChoice::Send {
            key,
            load: input.loads.estimate(input.now, key),
            candidates: count,
        },
        Some(UpstreamCandidate { key, wait_ms, .. }) => UpstreamChoice::Limited {
            key,
            forecast_ms: wait_ms,
        },
        None if has_upstream => UpstreamChoice::NotLoaded,
        None => UpstreamChoice::NoUpstream,
    }
}

fn can_serve(input: &ChoiceInput<'_>, key: UpstreamKey) -> bool {
    let has_model = |need| input.placement.can_serve(input.now, key, need);
    !input.loads.is_unreachable(input.now, key) && input.plan.need.as_ref().is_none_or(has_model)
}

fn candidate<'a>(
    input: &ChoiceInput<'_>,
    key: UpstreamKey,
    entry: &'a UpstreamEntry,
) -> UpstreamCandidate<'a> {
    let turn = input.plan.wait_turn();
    let limit_wait_ms = if input.limiter.may_send(input.now, key, turn) {
        0
    } else {
        input.limiter.forecast_ms(key, turn).max(1)
    };
    let wait_ms = limit_wait_ms.max(input.pauses.left_ms(input.now, entry));
    UpstreamCandidate {
        key,
        entry,
        cost: cost(input, key, entry) + wait_cost(input, wait_ms),
        wait_ms,
    }
}

/// Cost of a wait until the upstream accepts the request.
#[allow(clippy::cast_precision_loss)]
fn wait_cost(input: &ChoiceInput<'_>, wait_ms: u64) -> f64 {
    let too_late = if input.now + wait_ms > input.plan.wait_until {
        TOO_LATE_COST
    } else {
        0.0
    };
    wait_ms as f64 * WAIT_COST + too_late
}

/// Makes the upstream cheaper that the shared prompt prefix hashes to.
fn discount_affinity(input: &ChoiceInput<'_>, candidates: &mut [UpstreamCandidate<'_>]) {
    let Some(affinity) = &input.plan.affinity else {
        return;
    };
    let weight = |candidate: &&mut UpstreamCandidate<'_>| {
        rendezvous_weight(affinity, candidate.entry.id.as_str())
    };
    if let Some(preferred) = candidates.iter_mut().max_by_key(weight) {
        preferred.cost -= AFFINITY_DISCOUNT;
    }
}

fn cost(input: &ChoiceInput<'_>, key: UpstreamKey, entry: &UpstreamEntry) -> f64 {
    let slots = f64::from(entry.slots.max(1));
    let load = f64::from(input.loads.estimate(input.now, key)) / slots;
    let mut cost = load + f64::from(input.loads.unread_tokens(key)) * UNREAD_TOKEN_COST;
    if load >= FULL_LOAD {
        cost += (load - FULL_LOAD + 1.0 / slots) * QUEUE_COST;
    }
    if entry.zone != *input.zone {
        let is_near = (input.is_near)(&entry.zone);
        cost += if is_near {
            OTHER_ZONE_COST
        } else {
            OTHER_REGION_COST
        };
    }
    if input.loads.is_suspect(input.now, key) {
        cost += SUSPECT_COST;
    }
    if input.limiter.limit(key).is_some() {
        cost += LIMITED_COST;
    }
    // Breaks ties, so that requests are spread over upstreams of equal cost.
    cost + tie_break(&input.plan.request, entry) / slots
}

#[allow(clippy::cast_precision_loss)]
fn tie_break(request: &str, entry: &UpstreamEntry) -> f64 {
    const STEPS: u64 = 1_024;
    let hash = request
        .bytes()
        .chain(entry.id.as_str().bytes())
        .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
    (hash % STEPS) as f64 / STEPS as f64
}
