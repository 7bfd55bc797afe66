//! Decides which adapters to load and unload.

use super::order_planner::{NextOrder, TickView, engine_config};
use super::upstream_state::UpstreamState;
use super::{LoadSource, OrderPlanner, OrderState, OrderVerb};
use crate::fleet::{ModelNeed, UpstreamKey};

/// Minimum time in milliseconds that an adapter stays loaded before it may be evicted.
const ADAPTER_HOLD_MS: u64 = 600;

impl OrderPlanner {
    /// Orders the adapters that requests wait for, at engines that can serve their models.
    pub(super) fn load_waiting_adapters(&mut self, view: TickView<'_>) {
        for need in view.wants.keys().filter(|need| need.adapter.is_some()) {
            let is_usable = self.upstreams.values().any(|state| {
                state.can_serve_need(need) && !self.demand.is_unreachable(&state.target.id)
            });
            let is_ordered = self.upstreams.values().any(|state| {
                state.is_allowed_for(need)
                    && matches!(
                        &state.order_state,
                        OrderState::Sent { need: sent, verb: OrderVerb::Load, .. }
                            if sent.is_same_load(need)
                    )
            });
            if is_usable || is_ordered {
                continue;
            }
            let hosts = self
                .upstreams
                .iter()
                .filter(|(_, state)| state.is_free() && state.running.is_none())
                .filter(|(_, state)| !self.demand.is_unreachable(&state.target.id))
                .filter(|(_, state)| state.can_serve_model_of(need));
            let best = hosts.min_by_key(|(_, state)| {
                let running = self.demand.running(&state.target.id, &need.model);
                (state.adapter_count(), running)
            });
            if let Some(key) = best.map(|(key, _)| key) {
                self.order_adapter(view, key, need);
            }
        }
    }

    fn order_adapter(&mut self, view: TickView<'_>, key: UpstreamKey, need: &ModelNeed) {
        let state = &self.upstreams[key];
        let Some(config) = engine_config(view.catalog, state) else {
            return;
        };
        let adapter_mb = config
            .models
            .get(&need.model)
            .map_or(0.0, |model| model.adapter_mb);
        let has_slot = state.adapter_count() < config.adapter_slots;
        let has_room = state.used_mb(config) + adapter_mb <= config.memory_mb;
        if has_slot && has_room {
            let order = NextOrder::load(need.at_software(None), LoadSource::Local);
            self.issue_order(view.now, key, order, "wanted");
        } else if let Some(victim) = oldest_adapter(view, state) {
            self.issue_order(view.now, key, NextOrder::unload(victim), "make room");
        }
    }
}

/// The adapter with the oldest load among those that no request waits for and that have been
/// held for the minimum time.
fn oldest_adapter(view: TickView<'_>, state: &UpstreamState) -> Option<ModelNeed> {
    let adapters = state.models.iter().flat_map(|(model, held)| {
        held.adapters.iter().map(move |(adapter, at)| {
            let need = ModelNeed {
                model: model.clone(),
                adapter: Some(adapter.clone()),
                software: None,
            };
            (*at, need)
        })
    });
    let idle = adapters.filter(|(at, need)| {
        let mut wanted = view.wants.keys();
        view.now.millis_since(*at) >= ADAPTER_HOLD_MS
            && !wanted.any(|wanted| wanted.is_same_load(need))
    });
    idle.min().map(|(_, need)| need)
}
