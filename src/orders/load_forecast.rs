//! Forecasts when a missing model becomes usable.

use super::demand_aggregator::WaitingTotal;
use super::upstream_state::UpstreamState;
use super::{LoadSource, OrderPlanner, OrderVerb};
use crate::fleet::ModelNeed;
use crate::prelude::*;

/// Milliseconds that an eviction and a load from the engine's own disk take, calls included.
const LOCAL_LOAD_FORECAST_MS: u64 = 900;

impl OrderPlanner {
    /// Milliseconds until a missing model is expected to be usable, including the time until this
    /// planner may send orders. 0 if an engine can serve it now.
    #[must_use]
    pub fn forecast_ms(&self, now: MonoTime, need: &ModelNeed) -> u64 {
        let is_reachable = |state: &&UpstreamState| !self.demand.is_unreachable(&state.target.id);
        let is_allowed = |state: &&UpstreamState| state.is_allowed_for(need);
        let upstreams = || {
            let reachable = self.upstreams.values().filter(is_reachable);
            reachable.filter(is_allowed)
        };
        if upstreams().any(|state| state.can_serve(&need.model)) {
            return 0;
        }
        let running = upstreams()
            .filter_map(|state| state.running.as_ref())
            .find(|order| order.verb == OrderVerb::Load && order.model == need.model);
        if let Some(order) = running {
            return order.due_at.millis_since(now);
        }
        let pause_ms = self.orders_from.millis_since(now);
        let has_copy =
            |state: &&UpstreamState| state.is_ready && state.local_copies.contains(&need.model);
        if upstreams().any(|state| has_copy(&state)) {
            return pause_ms + LOCAL_LOAD_FORECAST_MS;
        }
        pause_ms + self.store_forecast_ms(now, need)
    }

    fn store_forecast_ms(&self, now: MonoTime, need: &ModelNeed) -> u64 {
        let model_config = self.catalog.as_ref().and_then(|catalog| {
            let mut configs = catalog
                .services()
                .filter_map(|service| service.engine.as_ref());
            configs.find_map(|config| config.models.get(&need.model))
        });
        let load_ms = model_config.map_or(0, |model| model.store_load_ms);
        let loads = self
            .upstreams
            .values()
            .filter_map(|state| state.running.as_ref());
        let mut due_ms: Vec<u64> = loads
            .filter(|order| order.source == LoadSource::Store && order.verb == OrderVerb::Load)
            .map(|order| order.due_at.millis_since(now))
            .collect();
        due_ms.sort_unstable();
        let wants = self.demand.wants();
        let rank = wants.get(need).map(|total| (total.rank, total.since));
        let is_ahead = |(other, total): &(&ModelNeed, &WaitingTotal)| {
            let has_copy = |state: &UpstreamState| state.local_copies.contains(&other.model);
            rank.is_none_or(|rank| (total.rank, total.since) < rank)
                && !self.upstreams.values().any(has_copy)
        };
        let ahead = wants.iter().filter(is_ahead).count();
        let slots = self.policy.store_loads.max(1);
        let round = u64::try_from(ahead / slots).unwrap_or(u64::MAX);
        let next_ms = if due_ms.len() < slots {
            0
        } else {
            due_ms[ahead % slots]
        };
        next_ms + load_ms.saturating_mul(round + 1)
    }
}
