//! Which upstream gets a request.

use super::{CallPlan, LoadTracker, PlacementView};
use crate::fleet::{UpstreamEntry, UpstreamKey, UpstreamPhase, UpstreamRoster};
use crate::prelude::*;
use crate::routing::rendezvous_weight;

/// Cost of another availability zone of the same region, in parts of a full upstream.
const OTHER_ZONE_COST: f64 = 0.03;

/// Cost of another region.
const OTHER_REGION_COST: f64 = 0.15;

/// Gain where the shared part of the prompt is at home.
const AFFINITY_GAIN: f64 = 0.2;

/// Cost of an upstream that failed lately; it is taken only where no other can serve.
const SUSPECT_COST: f64 = 10.0;

/// Cost of each prompt token that waits to be read; 4,000 of them take about 100 ms.
const UNREAD_TOKEN_COST: f64 = 0.000_08;

/// Load above which an upstream counts as full, in parts of its slots.
const FULL_LOAD: f64 = 1.0;

/// Cost of each part of the slots that waits beyond a full upstream.
const QUEUE_COST: f64 = 3.0;

/// What a choice is made from.
pub struct ChoiceInput<'a> {
    /// The time.
    pub now: MonoTime,
    /// The request.
    pub plan: &'a CallPlan,
    /// Upstreams that exist.
    pub roster: &'a UpstreamRoster,
    /// What engines hold.
    pub placement: &'a PlacementView,
    /// Load and health.
    pub loads: &'a LoadTracker,
    /// Upstreams that this request was sent to already.
    pub tried: &'a [UpstreamKey],
    /// Own availability zone.
    pub zone: &'a ZoneName,
    /// Whether an availability zone lies in the own region.
    pub is_near: &'a dyn Fn(&ZoneName) -> bool,
}

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum UpstreamChoice {
    /// To this upstream.
    Send {
        /// The upstream.
        key: UpstreamKey,
        /// Requests there, as far as is known.
        load: u32,
        /// Upstreams that could serve it.
        candidates: usize,
    },
    /// No upstream holds what it needs.
    NotLoaded,
    /// The service has no upstream to send to.
    NoUpstream,
}

/// Chooses an upstream for a request.
#[must_use]
pub fn choose_upstream(input: &ChoiceInput<'_>) -> UpstreamChoice {
    let mut has_upstream = false;
    let mut candidates = 0;
    let mut best: Option<(f64, UpstreamKey)> = None;
    let mut home: Option<(u64, UpstreamKey)> = None;
    let mut scored: Vec<(UpstreamKey, f64)> = Vec::new();
    for (key, entry) in input.roster.iter() {
        let is_usable = entry.service == input.plan.service
            && entry.phase == UpstreamPhase::Ready
            && !input.tried.contains(&key);
        if !is_usable {
            continue;
        }
        has_upstream = true;
        if input.loads.is_unreachable(input.now, key) {
            continue;
        }
        let can_serve = input
            .plan
            .need
            .as_ref()
            .is_none_or(|need| input.placement.can_serve(input.now, key, need));
        if !can_serve {
            continue;
        }
        candidates += 1;
        scored.push((key, cost(input, key, entry)));
        if let Some(part) = &input.plan.affinity {
            let weight = rendezvous_weight(part, entry.id.as_str());
            if home.is_none_or(|(known, _)| weight > known) {
                home = Some((weight, key));
            }
        }
    }
    for (key, cost) in scored {
        let gain = match home {
            Some((_, at)) if at == key => AFFINITY_GAIN,
            _ => 0.0,
        };
        let total = cost - gain;
        if best.is_none_or(|(known, _)| total < known) {
            best = Some((total, key));
        }
    }
    match best {
        Some((_, key)) => UpstreamChoice::Send {
            key,
            load: input.loads.estimate(input.now, key),
            candidates,
        },
        None if has_upstream => UpstreamChoice::NotLoaded,
        None => UpstreamChoice::NoUpstream,
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
    // Spreads equal costs over equal upstreams.
    cost + spread(&input.plan.request, entry) / slots
}

#[allow(clippy::cast_precision_loss)]
fn spread(request: &str, entry: &UpstreamEntry) -> f64 {
    const STEPS: u64 = 1_024;
    let hash = request
        .bytes()
        .chain(entry.id.as_str().bytes())
        .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
    (hash % STEPS) as f64 / STEPS as f64
}
