//! Where a missing model goes, and what makes room for it.

use super::upstream_ledger::{UpstreamLedger, model_mb};
use super::{DemandBook, LoadSource, PlannerPolicy};
use crate::fleet::EngineConfig;
use crate::prelude::*;

/// Milliseconds that one unload of an idle model takes, answer included.
const UNLOAD_MS: f64 = 80.0;

/// Milliseconds that an unload waits for the requests that still run.
const BUSY_UNLOAD_MS: f64 = 2_500.0;

/// Milliseconds of delay that one request a second of an evicted model weighs.
const RATE_WEIGHT_MS: f64 = 400.0;

/// Rate of a further copy relative to the last one of a model.
const COPY_DISCOUNT: f64 = 0.7;

/// What the choice looks at besides the engine itself.
pub(super) struct SwapView<'a> {
    pub now: MonoTime,
    pub plan: &'a EngineConfig,
    pub demand: &'a DemandBook,
    pub policy: PlannerPolicy,
    /// Usable copies of a model over all engines.
    pub copies: &'a dyn Fn(&ModelName) -> usize,
    /// Models that requests wait for.
    pub wanted: &'a dyn Fn(&ModelName) -> bool,
    /// Requests a second that the new copy would serve; no model that serves more at this
    /// engine makes room for it.
    pub gain_per_s: f64,
    /// The same for the last copy of a model.
    pub last_copy_gain_per_s: f64,
    /// Whether a model with running requests may make room.
    pub may_wait_for_runs: bool,
}

/// A way to bring a model to one engine.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct SwapOption {
    /// Models to unload, in order.
    pub victims: Vec<ModelName>,
    /// Where the weights come from.
    pub source: LoadSource,
    /// Lower is better: delay plus what the evicted models are worth.
    pub cost_ms: f64,
}

/// The cheapest way to bring a model to an engine, if there is one now.
pub(super) fn swap_option(
    view: &SwapView<'_>,
    ledger: &UpstreamLedger,
    model: &ModelName,
) -> Option<SwapOption> {
    let known = view.plan.models.get(model)?;
    let source = load_source(ledger, model);
    let load_ms = match source {
        LoadSource::Local => known.disk_load_ms,
        LoadSource::Store => known.store_load_ms,
    };
    let mut missing_mb = ledger.used_mb(view.plan) + known.memory_mb - view.plan.memory_mb;
    let mut victims = Vec::new();
    #[allow(clippy::cast_precision_loss)]
    let mut cost_ms = load_ms as f64;
    cost_ms += host_rate(view, ledger) * busy_weight_ms(source);
    if missing_mb > 0.0 {
        for (name, loss_ms) in victim_order(view, ledger, missing_mb) {
            missing_mb -= model_mb(view.plan, &name);
            cost_ms += loss_ms;
            victims.push(name);
            if missing_mb <= 0.0 {
                break;
            }
        }
    }
    (missing_mb <= 0.0).then_some(SwapOption {
        victims,
        source,
        cost_ms,
    })
}

/// Where a load at this engine would take the weights from.
pub(super) fn load_source(ledger: &UpstreamLedger, model: &ModelName) -> LoadSource {
    if ledger.local_copies.contains(model) {
        LoadSource::Local
    } else {
        LoadSource::Store
    }
}

/// Models that may be evicted with their cost in milliseconds, cheapest first. One that frees
/// enough alone goes before several.
fn victim_order(
    view: &SwapView<'_>,
    ledger: &UpstreamLedger,
    missing_mb: f64,
) -> Vec<(ModelName, f64)> {
    let mut order: Vec<(ModelName, f64)> = ledger
        .models
        .iter()
        .filter(|(_, held)| view.now.millis_since(held.since) >= view.policy.min_hold_ms)
        .filter(|(name, _)| !(view.wanted)(name) || (view.copies)(name) > 1)
        .filter(|(name, _)| may_leave(view, name))
        .filter(|(name, _)| view.may_wait_for_runs || !is_busy(view, ledger, name))
        .map(|(name, _)| (name.clone(), eviction_ms(view, ledger, name)))
        .collect();
    order.sort_by(|left, right| left.1.total_cmp(&right.1));
    let alone = order
        .iter()
        .position(|(name, _)| model_mb(view.plan, name) >= missing_mb);
    if let Some(alone) = alone {
        let pair_ms: f64 = order.iter().take(2).map(|(_, loss_ms)| loss_ms).sum();
        if order[alone].1 <= pair_ms {
            return vec![order.swap_remove(alone)];
        }
    }
    order
}

/// Requests a second that an engine serves.
fn host_rate(view: &SwapView<'_>, ledger: &UpstreamLedger) -> f64 {
    ledger
        .models
        .keys()
        .map(|model| rate_here(view, model))
        .sum()
}

/// Milliseconds of delay that each request a second of an engine weighs while it is busy with
/// a load: it can take no other order then, of an adapter for instance.
const fn busy_weight_ms(source: LoadSource) -> f64 {
    match source {
        LoadSource::Local => 30.0,
        LoadSource::Store => 500.0,
    }
}

/// Requests a second that one copy of a model serves.
#[allow(clippy::cast_precision_loss)]
fn rate_here(view: &SwapView<'_>, model: &ModelName) -> f64 {
    let copies = (view.copies)(model).max(1);
    view.demand.rate(view.now, model) / copies as f64
}

fn is_busy(view: &SwapView<'_>, ledger: &UpstreamLedger, model: &ModelName) -> bool {
    view.demand.running(&ledger.target.id, model) > 0
}

/// Whether the gain is worth a copy of a model. The other copies may not become crowded.
#[allow(clippy::cast_precision_loss)]
fn may_leave(view: &SwapView<'_>, model: &ModelName) -> bool {
    let others = (view.copies)(model).saturating_sub(1);
    let rate = view.demand.rate(view.now, model);
    if others == 0 {
        return rate < view.last_copy_gain_per_s;
    }
    let is_crowded_without = rate > others as f64 * view.policy.copy_rate_per_s;
    rate_here(view, model) < view.gain_per_s && !is_crowded_without
}

fn eviction_ms(view: &SwapView<'_>, ledger: &UpstreamLedger, model: &ModelName) -> f64 {
    let running = view.demand.running(&ledger.target.id, model);
    let copies = (view.copies)(model);
    let rate = rate_here(view, model);
    let discount = if copies > 1 { COPY_DISCOUNT } else { 1.0 };
    let wait_ms = if running > 0 {
        BUSY_UNLOAD_MS + f64::from(running) * 1_000.0
    } else {
        UNLOAD_MS
    };
    wait_ms + rate * discount * RATE_WEIGHT_MS
}
