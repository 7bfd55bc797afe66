//! Decides which models to load and evict: models that requests wait for, extra copies, and
//! prefetches.

use super::demand_aggregator::WaitingTotal;
use super::engine_facts::EngineFacts;
use super::load_option::{CostView, LoadOption, cheapest_load};
use super::load_purpose::{LoadPurpose, MOST_URGENT_RANK};
use super::order_planner::{NextOrder, TickView, engine_config};
use super::upstream_state::UpstreamState;
use super::{LoadSource, OrderPlanner};
use crate::fleet::{EngineConfig, ModelNeed, UpstreamKey};
use crate::prelude::*;

/// Window in milliseconds over which loads from the weight store are counted against its rate.
const STORE_RATE_WINDOW_MS: u64 = 5_000;

/// Milliseconds after which a planned load that has not finished is abandoned.
const PLANNED_LOAD_TIMEOUT_MS: u64 = 6_000;

/// Milliseconds that a less urgent request waits for an engine with an idle model to evict before
/// a busy one may be evicted; an idle one usually becomes available within a second or two.
const EVICT_BUSY_AFTER_MS: u64 = 4_000;

/// Minimum gain of loading a model that requests wait for, in requests per second.
const WANTED_GAIN_PER_S: f64 = 0.6;

/// Multiple of the request rate limit of a model's copies above which an extra copy is urgent.
const URGENT_CROWDING_FACTOR: f64 = 1.5;

/// Expected time in milliseconds until an engine answers the call in flight.
const ANSWER_MS: u64 = 200;

/// Fraction of an extra copy's gain that another model's request rate must stay below for its last
/// copy to be evicted.
const LAST_COPY_SHARE: f64 = 0.5;

/// Gain of a prefetched model, in requests per second.
const PREFETCH_GAIN_PER_S: f64 = 0.35;

/// Request rate, in requests per second, added to a model with adapters when prefetches are
/// ordered: operators add adapters to models that are used.
const ADAPTER_HINT_PER_S: f64 = 1.0;

impl OrderPlanner {
    /// Continues planned loads at engines that are free again, and abandons those that timed out
    /// or are no longer possible.
    pub(super) fn continue_planned_loads(&mut self, view: TickView<'_>) {
        let planned: Vec<(UpstreamKey, ModelName)> = self
            .upstreams
            .iter()
            .filter(|(_, state)| state.is_free() && state.running.is_none())
            .filter_map(|(key, state)| Some((key, state.planned_model.clone()?)))
            .collect();
        for (key, model) in planned {
            let is_expired =
                view.now.millis_since(self.upstreams[key].planned_at) > PLANNED_LOAD_TIMEOUT_MS;
            let option = self.planned_option(view, key, &model);
            match option.filter(|_| !is_expired) {
                Some(option) => self.advance_load(view, key, &model, &option, LoadPurpose::Planned),
                None => self.upstreams[key].planned_model = None,
            }
        }
    }

    /// Loads the models that the given requests wait for.
    pub(super) fn load_waiting_models(
        &mut self,
        view: TickView<'_>,
        is_due: impl Fn(&WaitingTotal) -> bool,
    ) {
        let mut missing: Vec<(&ModelNeed, &WaitingTotal)> = view
            .wants
            .iter()
            .filter(|(_, total)| is_due(total))
            .collect();
        missing.sort_by_key(|(_, total)| (total.rank, total.since));
        self.sort_by_value(view, &mut missing);
        for (need, total) in missing {
            let is_held = self.copies(&need.model) > 0
                && self.reachable().any(|state| state.can_serve_model_of(need));
            if !is_held && self.gains_from_load(view, need, total) {
                let waited_ms = view.now.millis_since(total.since);
                let purpose = LoadPurpose::Wanted {
                    rank: total.rank,
                    may_evict_busy: total.rank == MOST_URGENT_RANK
                        || waited_ms >= EVICT_BUSY_AFTER_MS,
                };
                self.load_unless_pending(view, &total.service, need, purpose);
            }
        }
    }

    /// Loads a model unless a load from a local copy is pending. If a load from the weight store is
    /// pending, only a load from another engine's local copy may start meanwhile.
    fn load_unless_pending(
        &mut self,
        view: TickView<'_>,
        service: &ServiceName,
        need: &ModelNeed,
        purpose: LoadPurpose,
    ) {
        let allowed = || {
            let engines = self.reachable();
            engines.filter(|state| state.is_allowed_for(need))
        };
        let is_local_load_pending =
            allowed().any(|state| state.has_pending_local_load(&need.model));
        let is_load_pending = allowed().any(|state| state.has_pending_load(&need.model));
        if is_local_load_pending {
            return;
        }
        let purpose = if is_load_pending {
            LoadPurpose::Interim
        } else {
            purpose
        };
        self.load_at_cheapest_engine(view, service, need, purpose);
    }

    /// Engines that entries can reach.
    fn reachable(&self) -> impl Iterator<Item = &UpstreamState> {
        self.upstreams
            .values()
            .filter(|state| !self.demand.is_unreachable(&state.target.id))
    }

    /// Loads extra copies of crowded models.
    pub(super) fn add_copies(&mut self, view: TickView<'_>) {
        let mut crowded: Vec<(ServiceName, ModelName, bool)> = Vec::new();
        for service in view.catalog.services() {
            let Some(config) = &service.engine else {
                continue;
            };
            for model in config.models.keys() {
                if let Some(is_urgent) = self.crowding(view, config, model) {
                    crowded.push((service.name.clone(), model.clone(), is_urgent));
                }
            }
        }
        for (service, model, is_urgent) in crowded {
            let purpose = LoadPurpose::Copy { is_urgent };
            self.load_unless_pending(view, &service, &ModelNeed::whole(model), purpose);
        }
    }

    /// Loads models that no engine has a local copy of, while the weight store has spare capacity.
    pub(super) fn prefetch(&mut self, view: TickView<'_>) {
        if !self.may_load_from_store(view, LoadPurpose::Prefetch) {
            return;
        }
        let mut missing: Vec<(f64, ServiceName, ModelName)> = Vec::new();
        for service in view.catalog.services() {
            let Some(config) = &service.engine else {
                continue;
            };
            for (model, model_config) in &config.models {
                let is_pending = |state: &UpstreamState| state.has_pending_load(model);
                if self.index.local_holders(model).is_empty()
                    && !self.upstreams.values().any(is_pending)
                {
                    let hint = if model_config.adapter_count > 0 {
                        ADAPTER_HINT_PER_S
                    } else {
                        0.0
                    };
                    let rate = self.demand.rate(view.now, model) + hint;
                    missing.push((rate, service.name.clone(), model.clone()));
                }
            }
        }
        missing.sort_by(|left, right| right.0.total_cmp(&left.0));
        for (_, service, model) in missing {
            if !self.may_load_from_store(view, LoadPurpose::Prefetch) {
                return;
            }
            let need = ModelNeed::whole(model);
            self.load_at_cheapest_engine(view, &service, &need, LoadPurpose::Prefetch);
        }
    }

    /// `None` if a model's copies are not crowded, otherwise whether an extra copy is urgent.
    fn crowding(
        &self,
        view: TickView<'_>,
        config: &EngineConfig,
        model: &ModelName,
    ) -> Option<bool> {
        let total = self.index.total(model);
        let copies = u32::try_from(total.copies).unwrap_or(u32::MAX);
        if copies == 0 {
            return None;
        }
        let rate = self.demand.rate(view.now, model);
        let copy_per_s = self.policy.copy_rate_per_s(config.slots);
        let limit = total.rate_per_s(copy_per_s);
        let is_busy = total.running * 100 > copies * config.slots * self.policy.crowded_percent;
        (is_busy || rate > limit).then_some(rate > limit * URGENT_CROWDING_FACTOR)
    }

    /// Whether waiting for an engine that has a local copy, and is busy now, costs less than the
    /// load from the weight store.
    fn is_local_copy_sooner(
        &self,
        view: TickView<'_>,
        cost_view: &CostView<'_>,
        service: &ServiceName,
        need: &ModelNeed,
        store: &LoadOption,
    ) -> bool {
        let model = &need.model;
        let holders = self.index.local_holders(model).iter();
        let holders = holders.filter_map(|key| Some((*key, self.upstreams.get(*key)?)));
        let busy = holders.filter(|(_, state)| {
            state.service == *service
                && state.is_allowed_for(need)
                && state.is_ready
                && !self.demand.is_unreachable(&state.target.id)
                && !state.models.contains_key(model)
        });
        busy.filter_map(|(key, state)| {
            let option = self.load_option_at(view, cost_view, key, model)?;
            let wait_ms = state.running.as_ref().map_or(ANSWER_MS, |order| {
                order.due_at.millis_since(view.now) + ANSWER_MS
            });
            #[allow(clippy::cast_precision_loss)]
            Some(option.cost_ms + wait_ms as f64)
        })
        .any(|cost_ms| cost_ms < store.cost_ms)
    }

    fn load_at_cheapest_engine(
        &mut self,
        view: TickView<'_>,
        service: &ServiceName,
        need: &ModelNeed,
        purpose: LoadPurpose,
    ) {
        let model = &need.model;
        let config = view
            .catalog
            .service(service)
            .and_then(|service| service.engine.as_ref());
        let cost_view =
            config.and_then(|config| self.cost_view(view, service, config, model, purpose));
        let Some(cost_view) = cost_view else { return };
        let may_use_store = self.may_load_from_store(view, purpose);
        let candidates: Vec<UpstreamKey> = if may_use_store {
            self.upstreams.keys().collect()
        } else {
            self.index.local_holders(model).to_vec()
        };
        let is_candidate = |state: &UpstreamState| {
            state.is_free()
                && state.running.is_none()
                && state.planned_model.is_none()
                && state.service == *service
                && state.is_allowed_for(need)
                && !state.models.contains_key(model)
                && !self.demand.is_unreachable(&state.target.id)
        };
        let free = candidates
            .into_iter()
            .filter(|key| self.upstreams.get(*key).is_some_and(is_candidate));
        let options = free.filter_map(|key| {
            let option = self.load_option_at(view, &cost_view, key, model)?;
            Some((key, option))
        });
        let best = options.min_by(|left, right| left.1.cost_ms.total_cmp(&right.1.cost_ms));
        let Some((key, option)) = best else { return };
        let is_better_later = option.source == LoadSource::Store
            && self.is_local_copy_sooner(view, &cost_view, service, need, &option);
        if !is_better_later {
            self.advance_load(view, key, model, &option, purpose);
        }
    }

    /// What the cost of a load depends on besides the engine. `None` if the configuration does not
    /// list the model.
    fn cost_view<'a>(
        &self,
        view: TickView<'_>,
        service: &ServiceName,
        config: &'a EngineConfig,
        model: &ModelName,
        purpose: LoadPurpose,
    ) -> Option<CostView<'a>> {
        let gain_per_s = self.gain_per_s(view, model, self.copies(model), config.slots, purpose);
        let short_gain = self.short_gain_per_s(view, service, model, purpose);
        let gain_per_s = short_gain.unwrap_or(gain_per_s);
        Some(CostView {
            now: view.now,
            config,
            model_config: config.models.get(model)?,
            policy: self.policy,
            may_evict_wanted: false,
            gain_per_s,
            may_evict_busy: purpose.may_evict_busy(),
            last_copy_gain_per_s: if purpose.is_copy() {
                self.short_copy_gain_per_s(service)
                    .unwrap_or(gain_per_s * LAST_COPY_SHARE)
            } else {
                gain_per_s
            },
        })
    }

    /// The cheapest way to load a model at an engine.
    fn load_option_at(
        &self,
        view: TickView<'_>,
        cost_view: &CostView<'_>,
        key: UpstreamKey,
        model: &ModelName,
    ) -> Option<LoadOption> {
        let state = self.upstreams.get(key)?;
        let facts = self.index.facts(key, || {
            let (demand, index) = (&self.demand, &self.index);
            EngineFacts::of(
                view.now,
                state,
                cost_view.config,
                demand,
                index,
                view.wanted,
            )
        });
        cheapest_load(cost_view, state, &facts, model)
    }

    /// How a planned load can go on at an engine; it may evict models that requests wait for.
    fn planned_option(
        &self,
        view: TickView<'_>,
        key: UpstreamKey,
        model: &ModelName,
    ) -> Option<LoadOption> {
        let state = self.upstreams.get(key)?;
        let config = engine_config(view.catalog, state)?;
        let cost_view = CostView {
            may_evict_wanted: true,
            ..self.cost_view(view, &state.service, config, model, state.planned_purpose)?
        };
        self.load_option_at(view, &cost_view, key, model)
    }

    /// Requests per second that a copy loaded for a purpose would serve.
    #[allow(clippy::cast_precision_loss)]
    fn gain_per_s(
        &self,
        view: TickView<'_>,
        model: &ModelName,
        copies: usize,
        slots: u32,
        purpose: LoadPurpose,
    ) -> f64 {
        let rate = self.demand.rate(view.now, model);
        match purpose {
            LoadPurpose::Wanted { .. } | LoadPurpose::Planned => rate.max(WANTED_GAIN_PER_S),
            LoadPurpose::Interim if copies == 0 => rate.max(WANTED_GAIN_PER_S),
            LoadPurpose::Copy { .. } | LoadPurpose::Interim => {
                let copy_per_s = self.policy.copy_rate_per_s(slots);
                // A copy at a limited engine counts as the part of a copy that its limit serves.
                let copies = self.index.total(model).rate_per_s(copy_per_s) / copy_per_s;
                rate / (copies + 1.0)
            }
            LoadPurpose::Prefetch => PREFETCH_GAIN_PER_S,
        }
    }

    /// Orders the next step of a load: unloads the first victim, or loads the model if there is
    /// none.
    fn advance_load(
        &mut self,
        view: TickView<'_>,
        key: UpstreamKey,
        model: &ModelName,
        option: &LoadOption,
        purpose: LoadPurpose,
    ) {
        let state = &mut self.upstreams[key];
        if state.planned_model.as_ref() != Some(model) {
            state.planned_model = Some(model.clone());
            state.planned_at = view.now;
            state.planned_purpose = purpose;
        }
        let order = match option.victims.first() {
            Some(victim) => NextOrder::unload(ModelNeed::whole(victim.clone())),
            None => NextOrder::load(ModelNeed::whole(model.clone()), option.source),
        };
        if option.victims.is_empty() && option.source == LoadSource::Store {
            self.store_load_starts.push_back(view.now);
        }
        self.issue_order(view.now, key, order, purpose.reason());
    }

    /// Whether the concurrency and rate limits of the weight store allow another load for a
    /// purpose.
    #[allow(clippy::cast_precision_loss)]
    fn may_load_from_store(&mut self, view: TickView<'_>, purpose: LoadPurpose) -> bool {
        let is_expired = |at: &MonoTime| view.now.millis_since(*at) > STORE_RATE_WINDOW_MS;
        while self.store_load_starts.front().is_some_and(is_expired) {
            self.store_load_starts.pop_front();
        }
        let configs = view
            .catalog
            .services()
            .filter_map(|service| service.engine.as_ref());
        let per_s = configs
            .map(|config| config.loads_per_s)
            .fold(f64::INFINITY, f64::min);
        let window_s = STORE_RATE_WINDOW_MS as f64 / 1_000.0;
        let is_within_rate = self.store_load_starts.len() as f64 + 1.0 <= per_s * window_s;
        let loading = self
            .upstreams
            .values()
            .filter(|state| state.has_pending_store_load())
            .count();
        let policy = self.store_policy(view.now);
        loading < purpose.store_load_limit(&policy) && is_within_rate
    }
}
