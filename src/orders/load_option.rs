//! Computes the cost of loading a model at an engine and which models to evict for it.

use super::engine_facts::{EngineFacts, HeldFacts};
use super::upstream_state::UpstreamState;
use super::{LoadSource, PlannerPolicy};
use crate::fleet::{EngineConfig, ModelConfig};
use crate::prelude::*;
use crate::rate_limit::send_rate_per_s;

/// Milliseconds that the unload of an idle model takes, including the engine's answer.
const UNLOAD_MS: f64 = 80.0;

/// Base time in milliseconds that an unload waits for requests in flight; a second is added for
/// each of them.
const BUSY_UNLOAD_MS: f64 = 2_500.0;

/// Cost in milliseconds of delay of evicting a model, for each request per second it serves.
const RATE_COST_MS: f64 = 400.0;

/// Factor on the request rate in the cost of evicting a copy that is not the model's last one.
const COPY_DISCOUNT: f64 = 0.7;

/// Cost in milliseconds of a load at an engine that limits its request rate, if the limit is what the
/// copy would serve; a copy that would serve more costs more.
const LIMITED_COST_MS: f64 = 2_000.0;

/// Cost in milliseconds of a load at an engine whose work takes twice as long, for each request per
/// second that the copy would serve; a faster one costs less.
const SLOW_COST_MS: f64 = 400.0;

/// Inputs of the cost of a load, besides the engine's state.
pub(super) struct CostView<'a> {
    pub now: MonoTime,
    pub config: &'a EngineConfig,
    /// Configuration of the model to load.
    pub model_config: &'a ModelConfig,
    pub policy: PlannerPolicy,
    /// Whether models that requests wait for may be evicted.
    pub may_evict_wanted: bool,
    /// Requests per second that the new copy would serve; a model that serves as many or more at
    /// this engine is not evicted for it.
    pub gain_per_s: f64,
    /// The limit that applies instead of `gain_per_s` to the last copy of a model.
    pub last_copy_gain_per_s: f64,
    /// Whether a model with requests in flight may be evicted.
    pub may_evict_busy: bool,
}

/// A way to load a model at one engine.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct LoadOption {
    /// Models to unload first, in order.
    pub victims: Vec<ModelName>,
    /// Source of the weights.
    pub source: LoadSource,
    /// Delay plus the cost of the evictions; lower is better.
    pub cost_ms: f64,
}

/// The cheapest way to load a model at an engine. `None` if the models that may be evicted do not
/// free enough memory.
pub(super) fn cheapest_load(
    view: &CostView<'_>,
    state: &UpstreamState,
    facts: &EngineFacts,
    model: &ModelName,
) -> Option<LoadOption> {
    let source = load_source(state, model);
    let load_ms = match source {
        LoadSource::Local => view.model_config.disk_load_ms,
        LoadSource::Store => view.model_config.store_load_ms,
    };
    let mut missing_mb = facts.used_mb + view.model_config.memory_mb - view.config.memory_mb;
    let mut victims = Vec::new();
    #[allow(clippy::cast_precision_loss)]
    let mut cost_ms = load_ms as f64;
    cost_ms += facts.rate_per_s() * busy_cost_ms(source);
    if let Some(limit) = state.rate_limit {
        cost_ms += view.gain_per_s / send_rate_per_s(limit) * LIMITED_COST_MS;
    }
    // Exactly zero at usual speed.
    cost_ms += view.gain_per_s * (1.0 / state.speed - 1.0) * SLOW_COST_MS;
    if missing_mb > 0.0 {
        for (held, loss_ms) in eviction_candidates(view, facts, missing_mb) {
            missing_mb -= held.memory_mb;
            cost_ms += loss_ms;
            victims.push(held.model.clone());
            if missing_mb <= 0.0 {
                break;
            }
        }
    }
    (missing_mb <= 0.0).then_some(LoadOption {
        victims,
        source,
        cost_ms,
    })
}

/// Source of the weights for a load of the model at this engine.
pub(super) fn load_source(state: &UpstreamState, model: &ModelName) -> LoadSource {
    if state.local_copies.contains(model) {
        LoadSource::Local
    } else {
        LoadSource::Store
    }
}

/// Models that may be evicted, with their cost in milliseconds, cheapest first. If the cheapest
/// model that frees enough by itself costs no more than the two cheapest together, it is the only
/// candidate.
fn eviction_candidates<'a>(
    view: &CostView<'_>,
    facts: &'a EngineFacts,
    missing_mb: f64,
) -> Vec<(&'a HeldFacts, f64)> {
    let mut candidates: Vec<(&HeldFacts, f64)> = facts
        .held
        .iter()
        .filter(|held| view.now.millis_since(held.since) >= view.policy.min_hold_ms)
        .filter(|held| view.may_evict_wanted || !held.is_wanted || held.copies > 1)
        .filter(|held| may_evict(view, held))
        .filter(|held| view.may_evict_busy || held.running == 0)
        .map(|held| (held, eviction_cost_ms(held)))
        .collect();
    candidates.sort_by(|left, right| left.1.total_cmp(&right.1));
    let single = candidates
        .iter()
        .position(|(held, _)| held.memory_mb >= missing_mb);
    if let Some(single) = single {
        let pair_ms: f64 = candidates.iter().take(2).map(|(_, loss_ms)| loss_ms).sum();
        if candidates[single].1 <= pair_ms {
            return vec![candidates.swap_remove(single)];
        }
    }
    candidates
}

/// Cost in milliseconds of delay of keeping an engine busy with a load, for each request per second
/// that it serves: meanwhile it accepts no other order, such as one for an adapter.
const fn busy_cost_ms(source: LoadSource) -> f64 {
    match source {
        LoadSource::Local => 30.0,
        LoadSource::Store => 500.0,
    }
}

/// Whether the gain of the load exceeds the value of a copy of this model. The remaining copies
/// must not become crowded.
#[allow(clippy::cast_precision_loss)]
fn may_evict(view: &CostView<'_>, held: &HeldFacts) -> bool {
    let others = held.copies.saturating_sub(1);
    let copy_rate_per_s = view.policy.copy_rate_per_s(view.config.slots);
    if others == 0 {
        return held.rate_per_s < view.last_copy_gain_per_s;
    }
    let is_crowded_without = held.rate_per_s > others as f64 * copy_rate_per_s;
    held.rate_per_copy() < view.gain_per_s && !is_crowded_without
}

fn eviction_cost_ms(held: &HeldFacts) -> f64 {
    let discount = if held.copies > 1 { COPY_DISCOUNT } else { 1.0 };
    let wait_ms = if held.running > 0 {
        BUSY_UNLOAD_MS + f64::from(held.running) * 1_000.0
    } else {
        UNLOAD_MS
    };
    wait_ms + held.rate_per_copy() * discount * RATE_COST_MS
}
