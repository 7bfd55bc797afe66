//! Forecasts when a missing model becomes usable.

use super::OrderPlanner;
use std::cmp::Reverse;

use super::demand_aggregator::WaitingTotal;
use super::load_queue::LoadQueue;
use super::upstream_state::UpstreamState;
use crate::fleet::{ModelConfig, ModelNeed};
use crate::prelude::*;

/// Milliseconds that the calls for an eviction and a load take.
const ORDER_CALLS_MS: u64 = 250;

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
        let running = self.upstreams.iter().find(|(_, state)| {
            is_reachable(state) && is_allowed(state) && state.is_loading(&need.model)
        });
        if let Some((key, state)) = running {
            let left_ms = self.capacity.left_ms(now, key);
            return left_ms.unwrap_or_else(|| state.due_in_ms(now));
        }
        let pause_ms = self.orders_from.millis_since(now);
        let has_copy =
            |state: &&UpstreamState| state.is_ready && state.local_copies.contains(&need.model);
        if upstreams().any(|state| has_copy(&state)) {
            let load_ms = self
                .model_config(&need.model)
                .map_or(0, |model| model.disk_load_ms);
            return pause_ms + ORDER_CALLS_MS + load_ms;
        }
        pause_ms + self.store_forecast_ms(now, need)
    }

    fn model_config(&self, model: &ModelName) -> Option<&ModelConfig> {
        let services = self.catalog.as_ref()?.services();
        let mut configs = services.filter_map(|service| service.engine.as_ref());
        configs.find_map(|config| config.models.get(model))
    }

    fn store_forecast_ms(&self, now: MonoTime, need: &ModelNeed) -> u64 {
        let model_config = self.model_config(&need.model);
        let load_ms = model_config.map_or(0, |model| model.store_load_ms);
        let limit = self.capacity.load_limit(now);
        if limit.is_some() || !self.short_services.is_empty() {
            let limit = limit.unwrap_or(self.policy.store_loads);
            let mut queue = LoadQueue::open(self.store_loads_left_ms(now), limit);
            for _ in 0..self.loads_ahead(now, need) {
                queue.add(load_ms);
            }
            return queue.add(load_ms);
        }
        let wants = self.demand.wants();
        let rank = wants.get(need).map(|total| (total.rank, total.since));
        let is_ahead = |(other, total): &(&ModelNeed, &WaitingTotal)| {
            let has_copy = |state: &UpstreamState| state.local_copies.contains(&other.model);
            rank.is_none_or(|rank| (total.rank, total.since) < rank)
                && !self.upstreams.values().any(has_copy)
        };
        let ahead = wants.iter().filter(is_ahead).count();
        let mut due_ms = self.store_loads_left_ms(now);
        due_ms.sort_unstable();
        let slots = self.policy.store_loads.max(1);
        let round = u64::try_from(ahead / slots).unwrap_or(u64::MAX);
        let next_ms = if due_ms.len() < slots {
            0
        } else {
            due_ms[ahead % slots]
        };
        next_ms + load_ms.saturating_mul(round + 1)
    }

    /// Number of loads from the weight store that wait and begin before that of a need. Loads in
    /// progress are not among them.
    fn loads_ahead(&self, now: MonoTime, need: &ModelNeed) -> usize {
        let loading = self.upstreams.values();
        let loading: Vec<&UpstreamState> = loading
            .filter(|state| state.is_loading_from_store())
            .collect();
        let is_from_store = |model: &ModelName| {
            self.index.local_holders(model).is_empty()
                && !loading.iter().any(|state| state.is_loading(model))
        };
        let wants = self.demand.wants();
        let Some(total) = wants.get(need) else {
            return wants
                .keys()
                .filter(|need| is_from_store(&need.model))
                .count();
        };
        let own = self.load_turn(now, need, total);
        let others = wants.iter().filter(|(other, other_total)| {
            let turn = self.load_turn(now, other, other_total);
            turn.is_some_and(|turn| own.as_ref().is_none_or(|own| turn < *own))
        });
        let others = others.filter(|(other, _)| is_from_store(&other.model));
        others.count()
    }

    /// Position of a load among those that wait, first the lowest: by value where room is short, by
    /// urgency elsewhere. `None` if no load begins, since no request gains from it.
    fn load_turn<'a>(
        &self,
        now: MonoTime,
        need: &'a ModelNeed,
        total: &WaitingTotal,
    ) -> Option<(Reverse<u64>, u8, MonoTime, &'a ModelNeed)> {
        let value = if self.short_services.contains(&total.service) {
            self.load_value(now, need, total)?.thousandths()
        } else {
            0
        };
        Some((Reverse(value), total.rank, total.since, need))
    }

    /// Milliseconds until each load from the weight store that is in progress ends.
    fn store_loads_left_ms(&self, now: MonoTime) -> Vec<u64> {
        let loads = self.upstreams.iter();
        let loads = loads.filter(|(_, state)| state.is_loading_from_store());
        let left_ms = loads.map(|(key, state)| {
            let left_ms = self.capacity.left_ms(now, key);
            left_ms.unwrap_or_else(|| state.due_in_ms(now))
        });
        left_ms.collect()
    }
}
