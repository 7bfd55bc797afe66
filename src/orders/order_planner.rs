//! Decides which engine loads and unloads which models and adapters.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;

use slotmap::SecondaryMap;

use super::demand_aggregator::WaitingTotal;
use super::load_purpose::MOST_URGENT_RANK;
use super::load_value::LoadValue;
use super::tick_index::TickIndex;
use super::upstream_state::{REPORT_LAG_MS, UpstreamState};
use super::{
    DemandAggregator, EngineReport, EntryDemand, LoadSource, OrderAnswer, OrderBasis, OrderState,
    OrderVerb, PlacementUpdate, PlannerAction, PlannerPolicy, StoreCapacity,
};
use crate::fleet::{
    EngineConfig, FleetCatalog, ModelNeed, UpstreamKey, UpstreamPhase, UpstreamRoster,
};
use crate::prelude::*;
use crate::rate_limit::RequestRate;
use crate::upstream_speed::DurationFactor;

/// Inputs of one tick of the planner.
#[derive(Clone, Copy)]
pub(super) struct TickView<'a> {
    pub now: MonoTime,
    pub catalog: &'a FleetCatalog,
    pub wants: &'a BTreeMap<ModelNeed, WaitingTotal>,
    /// Models that requests wait for, with or without an adapter.
    pub wanted: &'a HashSet<&'a ModelName>,
}

/// An order before it is sent.
pub(super) struct NextOrder {
    verb: OrderVerb,
    need: ModelNeed,
    source: LoadSource,
}

impl NextOrder {
    /// An order to load a model or adapter.
    pub(super) const fn load(need: ModelNeed, source: LoadSource) -> Self {
        Self {
            verb: OrderVerb::Load,
            need,
            source,
        }
    }

    /// An order to unload a model or adapter.
    pub(super) const fn unload(need: ModelNeed) -> Self {
        Self {
            verb: OrderVerb::Unload,
            need,
            source: LoadSource::Local,
        }
    }
}

/// Tracks the state of each engine and sends it one order at a time.
#[derive(Debug, Default)]
pub struct OrderPlanner {
    pub(super) policy: PlannerPolicy,
    pub(super) catalog: Option<Rc<FleetCatalog>>,
    pub(super) upstreams: SecondaryMap<UpstreamKey, UpstreamState>,
    pub(super) demand: DemandAggregator,
    /// Start times of recent loads from the weight store, newest last.
    pub(super) store_load_starts: VecDeque<MonoTime>,
    /// How many loads from the weight store run at full speed.
    pub(super) capacity: StoreCapacity,
    /// Services whose engines have too little room for their models, as of the last tick.
    pub(super) short_services: HashSet<ServiceName>,
    /// Needs from whose load no waiting request gains, as of the last tick; each is logged once.
    pub(super) useless_needs: BTreeSet<ModelNeed>,
    /// Copies of each model over all engines; counted at the start of a tick, usable ones again
    /// after each unload order.
    pub(super) index: TickIndex,
    /// Calls decided in this tick.
    actions: Vec<PlannerAction>,
    /// No order is sent before this time, so that the last order of an earlier lease holder is long
    /// past.
    pub(super) orders_from: MonoTime,
    epoch: u64,
    version: u64,
}

impl OrderPlanner {
    /// Creates a planner without any state that sends no orders before `orders_from`.
    #[must_use]
    pub fn open(policy: PlannerPolicy, epoch: u64, orders_from: MonoTime) -> Self {
        Self {
            policy,
            orders_from,
            epoch,
            ..Self::default()
        }
    }

    /// Sets the configuration in force.
    pub fn set_catalog(&mut self, catalog: Rc<FleetCatalog>) {
        self.catalog = Some(catalog);
    }

    /// Applies the list of upstreams: adds, updates and removes engines. Without a catalog, it only
    /// removes.
    pub fn apply_roster(&mut self, now: MonoTime, roster: &UpstreamRoster) {
        let gone: Vec<UpstreamKey> = self
            .upstreams
            .keys()
            .filter(|key| roster.get(*key).is_none())
            .collect();
        for key in gone {
            self.upstreams.remove(key);
            self.capacity.abandon(now, key);
        }
        let Some(catalog) = self.catalog.clone() else {
            return;
        };
        for (key, entry) in roster.iter() {
            let engine = catalog
                .service(&entry.service)
                .and_then(|service| service.engine.as_ref());
            if engine.is_none() {
                continue;
            }
            let is_ready = entry.phase == UpstreamPhase::Ready;
            let is_changed = if let Some(state) = self.upstreams.get_mut(key) {
                let was_ready = std::mem::replace(&mut state.is_ready, is_ready);
                state.apply_entry(now, entry);
                was_ready != is_ready
            } else {
                let mut state = UpstreamState::open(now, entry);
                state.is_ready = is_ready;
                self.upstreams.insert(key, state);
                true
            };
            if is_changed {
                self.mark_changed(key);
            }
        }
    }

    /// Records an entry's report, and schedules a read of each idle engine that lacks a model it
    /// should have.
    pub fn apply_demand(&mut self, now: MonoTime, entry: InstanceName, demand: EntryDemand) {
        let lacking = self
            .upstreams
            .values_mut()
            .filter(|state| demand.lacking.contains(&state.target.id));
        for state in lacking {
            state.mark_stale(now);
        }
        self.demand.record(now, entry, demand);
    }

    /// Sets the request rate limits of upstreams; engines that are not among them have none.
    pub fn set_rate_limits<'a>(
        &mut self,
        limits: impl Iterator<Item = (&'a UpstreamId, RequestRate)>,
    ) {
        let limits: HashMap<&UpstreamId, RequestRate> = limits.collect();
        for state in self.upstreams.values_mut() {
            state.rate_limit = limits.get(&state.target.id).copied();
        }
    }

    /// Sets the durations of work at upstreams; engines that are not among them work as fast as usual.
    pub fn set_durations(&mut self, durations: &HashMap<&UpstreamId, DurationFactor>) {
        for state in self.upstreams.values_mut() {
            let duration = durations.get(&state.target.id);
            state.speed = duration.map_or(1.0, |duration| 1.0 / duration.value());
        }
    }

    /// Applies an engine's report; `None` if the engine did not answer.
    pub fn apply_report(&mut self, now: MonoTime, key: UpstreamKey, report: Option<&EngineReport>) {
        let Some(state) = self.upstreams.get_mut(key) else {
            return;
        };
        let is_changed = if let Some(report) = report {
            let is_changed = state.apply_report(now, report);
            self.record_load_end(now, key);
            is_changed
        } else {
            let read_at = now + 2 * REPORT_LAG_MS;
            state.order_state = OrderState::Stale { read_at };
            false
        };
        if is_changed {
            self.mark_changed(key);
        }
    }

    /// Records that an engine sent what is no report. It is read again ever later, so that it costs
    /// others little.
    pub fn apply_invalid_report(&mut self, now: MonoTime, key: UpstreamKey) {
        if let Some(state) = self.upstreams.get_mut(key) {
            state.record_invalid_report(now);
        }
    }

    /// Applies the answer to an order; `None` if there was none.
    pub fn apply_answer(&mut self, now: MonoTime, key: UpstreamKey, answer: Option<OrderAnswer>) {
        let Some(state) = self.upstreams.get_mut(key) else {
            return;
        };
        let OrderState::Sent { need, source, .. } = &state.order_state else {
            return;
        };
        let config = self
            .catalog
            .as_ref()
            .and_then(|catalog| engine_config(catalog, state));
        let model_config = config.and_then(|config| config.models.get(&need.model));
        let load_ms = model_config.map_or(0, |model| match source {
            LoadSource::Local => model.disk_load_ms,
            LoadSource::Store => model.store_load_ms,
        });
        let is_used = self.demand.running(&state.target.id, &need.model) > 0;
        let is_changed = state.apply_answer(now, answer, load_ms, is_used);
        if state.is_loading_from_store() && !self.capacity.is_running(key) {
            self.capacity.begin(now, key, load_ms);
        }
        if is_changed {
            self.mark_changed(key);
        }
    }

    /// Records that an engine's load from the weight store has ended, if its report shows it. A load
    /// that left no model behind has failed; its duration shows nothing.
    fn record_load_end(&mut self, now: MonoTime, key: UpstreamKey) {
        let state = &self.upstreams[key];
        if !self.capacity.is_running(key) || state.is_loading_from_store() {
            return;
        }
        if !state.has_completed_load {
            self.capacity.abandon(now, key);
        } else if self.capacity.complete(now, key) {
            let full_speed_loads = self.capacity.learned();
            log::info!(full_speed_loads; "capacity of the weight store learned");
        }
    }

    /// Limits of the weight store: no more loads than run at full speed, once that is known.
    pub(super) fn store_policy(&self, now: MonoTime) -> PlannerPolicy {
        let limit = self.capacity.load_limit(now);
        limit.map_or(self.policy, |limit| self.policy.with_store_limit(limit))
    }

    /// Holdings that changed since a version; all holdings if the epoch is a different one.
    #[must_use]
    pub fn update_since(&self, epoch: u64, version: u64) -> PlacementUpdate {
        let since = if epoch == self.epoch { version } else { 0 };
        let changed = self
            .upstreams
            .values()
            .filter(|state| state.changed_version > since);
        PlacementUpdate {
            epoch: self.epoch,
            version: self.version,
            holdings: changed.map(UpstreamState::holdings).collect(),
        }
    }

    /// Version of the newest change of holdings.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Advances the planner to `now` and returns the calls to make. Before `orders_from`, or
    /// without a catalog, it only reads engines.
    pub fn tick(&mut self, now: MonoTime) -> Vec<PlannerAction> {
        let keys: Vec<UpstreamKey> = self.upstreams.keys().collect();
        for key in keys {
            if self.upstreams[key].advance(now) {
                self.mark_changed(key);
            }
        }
        self.demand.drop_silent_entries(now);
        self.read_stale(now);
        let catalog = self.catalog.clone().filter(|_| now >= self.orders_from);
        let Some(catalog) = catalog else {
            return std::mem::take(&mut self.actions);
        };
        self.find_short_services(&catalog);
        self.count_copies();
        self.index.collect_local(self.upstreams.iter());
        self.index.drop_facts();
        let wants = self.demand.wants().clone();
        let wanted: HashSet<&ModelName> = wants.keys().map(|need| &need.model).collect();
        let view = TickView {
            now,
            catalog: &catalog,
            wants: &wants,
            wanted: &wanted,
        };
        let short = self.short_services.clone();
        // Where room is short, the value of a load decides, whatever the rank.
        let is_first =
            |total: &WaitingTotal| total.rank == MOST_URGENT_RANK || short.contains(&total.service);
        self.continue_planned_loads(view);
        self.load_waiting_adapters(view);
        self.load_waiting_models(view, is_first);
        self.add_copies(view);
        self.load_waiting_models(view, |total| !is_first(total));
        self.prefetch(view);
        self.log_useless_loads(view);
        std::mem::take(&mut self.actions)
    }

    fn read_stale(&mut self, now: MonoTime) {
        for (key, state) in &mut self.upstreams {
            let is_due =
                matches!(state.order_state, OrderState::Stale { read_at } if now >= read_at);
            if is_due {
                state.order_state = OrderState::Reading;
                let target = state.target.clone();
                self.actions.push(PlannerAction::Read { key, target });
            }
        }
    }

    pub(super) fn issue_order(
        &mut self,
        now: MonoTime,
        key: UpstreamKey,
        order: NextOrder,
        reason: &'static str,
    ) {
        let model = &order.need.model;
        let upstreams = self.upstreams.values();
        let basis = OrderBasis {
            reason,
            source: order.source,
            rate_per_s: self.demand.rate(now, model),
            copies: self.copies(model),
            store_loads: upstreams
                .filter(|state| state.has_pending_store_load())
                .count(),
            store_limit: self.capacity.load_limit(now),
            value: self.wanted_value(now, model).map(LoadValue::thousandths),
        };
        let state = &mut self.upstreams[key];
        state.record_sent(order.verb, order.need.clone(), order.source);
        self.actions.push(PlannerAction::Order {
            key,
            target: state.target.clone(),
            verb: order.verb,
            need: order.need,
            precondition: state.order_count,
            basis,
        });
        self.index.drop_facts();
        if order.verb == OrderVerb::Unload {
            self.mark_changed(key);
            self.count_copies();
        }
    }

    /// Number of usable copies of a model.
    pub(super) fn copies(&self, model: &ModelName) -> usize {
        self.index.total(model).copies
    }

    fn count_copies(&mut self) {
        self.index
            .count_copies(self.upstreams.values(), &self.demand);
    }

    fn mark_changed(&mut self, key: UpstreamKey) {
        self.version += 1;
        if let Some(state) = self.upstreams.get_mut(key) {
            state.changed_version = self.version;
        }
    }
}

/// Engine configuration of the service that an upstream belongs to.
pub(super) fn engine_config<'a>(
    catalog: &'a FleetCatalog,
    state: &UpstreamState,
) -> Option<&'a EngineConfig> {
    catalog.service(&state.service)?.engine.as_ref()
}
