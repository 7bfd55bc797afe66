//! What a load at an engine would cost its other models, gathered once for all decisions of a tick.

use std::collections::HashSet;

use super::DemandAggregator;
use super::tick_index::TickIndex;
use super::upstream_state::{UpstreamState, model_mb};
use crate::fleet::EngineConfig;
use crate::prelude::*;

/// A model that an engine holds.
#[derive(Debug, Clone)]
pub(super) struct HeldFacts {
    pub model: ModelName,
    pub memory_mb: f64,
    /// Requests per second for the model over all engines.
    pub rate_per_s: f64,
    /// Number of usable copies over all engines.
    pub copies: usize,
    /// Requests in flight for it at this engine.
    pub running: u32,
    /// When it became usable.
    pub since: MonoTime,
    /// Whether requests wait for it.
    pub is_wanted: bool,
}

impl HeldFacts {
    /// Requests per second that one copy of the model serves.
    #[allow(clippy::cast_precision_loss)]
    pub fn rate_per_copy(&self) -> f64 {
        self.rate_per_s / self.copies.max(1) as f64
    }
}

/// An engine's models with their demand.
#[derive(Debug, Clone)]
pub(super) struct EngineFacts {
    /// Megabytes in use.
    pub used_mb: f64,
    pub held: Vec<HeldFacts>,
}

impl EngineFacts {
    /// Gathers the facts about an engine.
    pub fn of(
        now: MonoTime,
        state: &UpstreamState,
        config: &EngineConfig,
        demand: &DemandAggregator,
        index: &TickIndex,
        wanted: &HashSet<&ModelName>,
    ) -> Self {
        let held = state.models.iter().map(|(model, loaded)| HeldFacts {
            model: model.clone(),
            memory_mb: model_mb(config, model),
            rate_per_s: demand.rate(now, model),
            copies: index.total(model).copies,
            running: demand.running(&state.target.id, model),
            since: loaded.since,
            is_wanted: wanted.contains(model),
        });
        Self {
            used_mb: state.used_mb(config),
            held: held.collect(),
        }
    }

    /// Requests per second that the engine serves.
    pub fn rate_per_s(&self) -> f64 {
        self.held.iter().map(HeldFacts::rate_per_copy).sum()
    }
}
