//! Selects an upstream by deadline, locality, load and affinity.

use serde::Serialize;

use super::{Locality, RouteTarget, rendezvous_weight};
use crate::prelude::*;
use crate::rpc::ReplicaState;

/// Milliseconds by which a loaded upstream's forecast may exceed the best one's and still be
/// chosen for affinity.
const AFFINITY_SLACK_MS: u64 = 30;

/// Percent of the mean load up to which an upstream takes requests by affinity.
const BOUNDED_LOAD_PERCENT: u64 = 125;

/// Load, in requests, below which an upstream never counts as overloaded.
const FREE_LOAD: u64 = 2;

/// Percent of a cold upstream's forecast that the loaded ones must exceed before another
/// replica is loaded.
const WAKE_GAIN_PERCENT: u64 = 150;

/// Milliseconds to which forecast start times are rounded down, so that all entries agree.
const READY_BUCKET_MS: u64 = 500;

/// The request's deadline and routing keys.
#[derive(Debug, Clone, Copy)]
pub struct RouteContext<'a> {
    /// Milliseconds until the deadline.
    pub remaining_ms: u64,
    /// Requests with the same key go to the same upstream where load allows it.
    pub affinity_key: &'a str,
    /// Key by which all entries choose the same upstream to load a cold replica.
    pub wake_key: &'a str,
    /// Key of a request that may crash its upstream: all entries send it to the same one,
    /// which runs one at a time.
    pub suspect_key: Option<&'a str>,
}

/// Why an upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteReason {
    /// First choice of the affinity key.
    Affinity,
    /// Least loaded of those whose forecast is close to the best.
    LeastLoaded,
    /// May crash its upstream, so all entries send it to the same one.
    Suspect,
    /// Loads a cold replica, because no loaded one can answer or all have long queues.
    Wake,
}

/// The chosen upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RouteChoice {
    /// Index of the chosen target.
    pub index: usize,
    /// Why it was chosen.
    pub reason: RouteReason,
    /// Forecast milliseconds until what the deadline applies to: the first token of a stream,
    /// otherwise the complete answer.
    pub finish_ms: u64,
}

/// Chooses among route targets; has no state.
#[derive(Debug, Clone, Copy, Default)]
pub struct RouteChooser;

impl RouteChooser {
    /// Chooses an upstream, or refuses if none can meet the deadline. Another region is used
    /// only if no upstream of the local region can meet it.
    ///
    /// # Errors
    /// `NoReplica` without targets, `DeadlineUnreachable` if none is fast enough.
    pub fn choose(
        self,
        targets: &[RouteTarget],
        context: RouteContext<'_>,
    ) -> Result<RouteChoice, RequestRefusal> {
        if targets.is_empty() {
            return Err(RequestRefusal::not_run(RefusalReason::NoReplica));
        }
        let feasible: Vec<usize> = (0..targets.len())
            .filter(|index| targets[*index].finish_ms() <= context.remaining_ms)
            .collect();
        let is_local = |index: &usize| targets[*index].locality != Locality::Remote;
        let local: Vec<usize> = feasible.iter().copied().filter(is_local).collect();
        let pool = if local.is_empty() { feasible } else { local };
        if pool.is_empty() {
            return Err(RequestRefusal::not_run(RefusalReason::DeadlineUnreachable));
        }
        if let Some(key) = context.suspect_key {
            let index = common_target(targets, &pool, key);
            return Ok(RouteChoice {
                index,
                reason: RouteReason::Suspect,
                finish_ms: targets[index].finish_ms(),
            });
        }
        let loaded: Vec<usize> = pool
            .iter()
            .copied()
            .filter(|index| targets[*index].state == ReplicaState::Loaded)
            .collect();
        let cold: Vec<usize> = pool
            .iter()
            .copied()
            .filter(|index| targets[*index].state != ReplicaState::Loaded)
            .collect();
        let (index, reason) = if is_cold_load_worthwhile(targets, &loaded, &cold) {
            (
                wake_target(targets, &cold, context.wake_key),
                RouteReason::Wake,
            )
        } else {
            loaded_target(targets, &loaded, context.affinity_key)
        };
        Ok(RouteChoice {
            index,
            reason,
            finish_ms: targets[index].finish_ms(),
        })
    }
}

fn common_target(targets: &[RouteTarget], pool: &[usize], key: &str) -> usize {
    let weight = |index: &usize| rendezvous_weight(key, targets[*index].instance.as_str());
    pool.iter().copied().max_by_key(weight).unwrap_or_default()
}

/// Whether to load a cold replica: none is loaded, or the loaded ones have such long queues
/// that the answer comes much sooner despite the load time.
fn is_cold_load_worthwhile(targets: &[RouteTarget], loaded: &[usize], cold: &[usize]) -> bool {
    let best = |pool: &[usize]| pool.iter().map(|i| targets[*i].finish_ms()).min();
    match (best(loaded), best(cold)) {
        (None, _) => true,
        (_, None) => false,
        (Some(loaded_ms), Some(cold_ms)) => {
            loaded_ms > cold_ms * WAKE_GAIN_PERCENT / 100 + AFFINITY_SLACK_MS
        }
    }
}

/// Every entry picks the same instance, so that a burst of requests causes only one load.
fn wake_target(targets: &[RouteTarget], pool: &[usize], key: &str) -> usize {
    let cost = |index: &usize| {
        let target = &targets[*index];
        let is_loading = target.state == ReplicaState::Loading;
        let bucket = target.start_ms() / READY_BUCKET_MS;
        let weight = rendezvous_weight(key, target.instance.as_str());
        (!is_loading, bucket, u64::MAX - weight)
    };
    pool.iter().copied().min_by_key(cost).unwrap_or_default()
}

fn loaded_target(targets: &[RouteTarget], loaded: &[usize], key: &str) -> (usize, RouteReason) {
    let best_ms = loaded.iter().map(|i| targets[*i].finish_ms()).min();
    let limit_ms = best_ms.unwrap_or(0) + AFFINITY_SLACK_MS;
    let near: Vec<usize> = loaded
        .iter()
        .copied()
        .filter(|index| targets[*index].finish_ms() <= limit_ms)
        .collect();
    let total_load: u64 = near.iter().map(|i| u64::from(targets[*i].load)).sum();
    let mean_load_percent = (total_load + 1) * BOUNDED_LOAD_PERCENT / near.len().max(1) as u64;
    let fits = |index: &usize| {
        let load = u64::from(targets[*index].load);
        load < FREE_LOAD || load * 100 <= mean_load_percent
    };
    let weight = |index: &usize| rendezvous_weight(key, targets[*index].instance.as_str());
    let preferred = near.iter().copied().filter(fits).max_by_key(weight);
    if let Some(index) = preferred {
        return (index, RouteReason::Affinity);
    }
    let fill = |index: &usize| {
        let target = &targets[*index];
        u64::from(target.load) * 1_000 / u64::from(target.limit.max(1))
    };
    let least = near.iter().copied().min_by_key(fill);
    (least.unwrap_or_default(), RouteReason::LeastLoaded)
}
