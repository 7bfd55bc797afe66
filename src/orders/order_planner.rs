//! Decides which engine loads and unloads what.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use slotmap::SecondaryMap;

use super::demand_book::WantSum;
use super::swap_choice::{SwapOption, SwapView, load_source, swap_option};
use super::upstream_ledger::{REPORT_LAG_MS, UpstreamLedger};
use super::{
    DemandBook, EdgeDemand, EngineReport, LoadSource, OrderAnswer, OrderStep, OrderVerb,
    PlacementNews, PlannerPolicy, UpstreamTarget,
};
use crate::fleet::{
    EnginePlan, FleetCatalog, ModelNeed, UpstreamKey, UpstreamPhase, UpstreamRoster,
};
use crate::prelude::*;

/// Milliseconds over which loads from the weight store are counted against its rate.
const STORE_WINDOW_MS: u64 = 5_000;

/// Milliseconds after which an unfinished goal of an engine is given up.
const GOAL_LIFE_MS: u64 = 6_000;

/// Milliseconds that an adapter stays loaded after its order.
const ADAPTER_HOLD_MS: u64 = 600;

/// Milliseconds that a local swap takes with its messages, for forecasts.
const SWAP_FORECAST_MS: u64 = 900;

/// Least gain of a model that requests wait for, in requests a second.
const WANTED_GAIN_PER_S: f64 = 0.6;

/// Gain of a model that is loaded ahead, in requests a second.
const PREFETCH_GAIN_PER_S: f64 = 0.35;

/// Rank of the most urgent requests.
const MOST_URGENT_RANK: u8 = 0;

/// Why a model is brought to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BringPurpose {
    /// Requests wait for it.
    Wanted {
        /// The most urgent rank among them.
        rank: u8,
    },
    /// Its copies are crowded.
    Copy,
    /// No engine has a copy yet.
    Prefetch,
    /// Room is being made for it already.
    Goal,
}

impl BringPurpose {
    const fn reason(self) -> &'static str {
        match self {
            Self::Wanted { .. } => "wanted",
            Self::Copy => "crowded",
            Self::Prefetch => "prefetch",
            Self::Goal => "continue",
        }
    }

    /// Loads from the weight store that may run at once, this one included.
    const fn store_loads(self, policy: &PlannerPolicy) -> usize {
        match self {
            Self::Wanted { rank } if rank == MOST_URGENT_RANK => {
                policy.store_loads + policy.urgent_loads
            }
            Self::Wanted { .. } | Self::Copy => policy.store_loads,
            Self::Prefetch => policy.store_loads.saturating_sub(policy.reserved_loads),
            // Its place was taken when the goal was set.
            Self::Goal => usize::MAX,
        }
    }
}

/// What an order was decided from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OrderBasis {
    /// Purpose of the order.
    pub reason: &'static str,
    /// Where a load takes the weights from.
    pub source: LoadSource,
    /// Requests a second for the model.
    pub rate_per_s: f64,
    /// Engines that can serve the model.
    pub copies: usize,
    /// Loads from the weight store under way.
    pub store_loads: usize,
}

/// A call that the planner wants made now.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerAction {
    /// Give an order.
    Order {
        /// The engine.
        key: UpstreamKey,
        /// Whom it is meant for.
        target: UpstreamTarget,
        /// What to do.
        verb: OrderVerb,
        /// With what.
        need: ModelNeed,
        /// Orders that the engine must have accepted.
        precondition: u64,
        /// Why, for the log.
        basis: OrderBasis,
    },
    /// Read the engine's state.
    Read {
        /// The engine.
        key: UpstreamKey,
        /// Whom it is meant for.
        target: UpstreamTarget,
    },
}

/// Holds one ledger for each engine and gives one order at a time to each.
#[derive(Debug, Default)]
pub struct OrderPlanner {
    policy: PlannerPolicy,
    catalog: Option<Rc<FleetCatalog>>,
    ledgers: SecondaryMap<UpstreamKey, UpstreamLedger>,
    demand: DemandBook,
    /// Starts of loads from the weight store, newest last.
    store_starts: VecDeque<MonoTime>,
    epoch: u64,
    version: u64,
}

impl OrderPlanner {
    /// Opens a planner that knows nothing yet.
    #[must_use]
    pub fn open(policy: PlannerPolicy, epoch: u64) -> Self {
        Self {
            policy,
            epoch,
            ..Self::default()
        }
    }

    /// Takes the configuration in force.
    pub fn take_catalog(&mut self, catalog: Rc<FleetCatalog>) {
        self.catalog = Some(catalog);
    }

    /// Takes the list of upstreams.
    pub fn take_roster(&mut self, now: MonoTime, roster: &UpstreamRoster) {
        let gone: Vec<UpstreamKey> =
            self.ledgers.keys().filter(|key| roster.get(*key).is_none()).collect();
        for key in gone {
            self.ledgers.remove(key);
        }
        let Some(catalog) = self.catalog.clone() else { return };
        for (key, entry) in roster.iter() {
            let engine = catalog.service(&entry.service).and_then(|plan| plan.engine.as_ref());
            if engine.is_none() {
                continue;
            }
            let is_ready = entry.phase == UpstreamPhase::Ready;
            let is_changed = if let Some(ledger) = self.ledgers.get_mut(key) {
                let was_ready = std::mem::replace(&mut ledger.is_ready, is_ready);
                ledger.take_entry(now, entry);
                was_ready != is_ready
            } else {
                let mut ledger = UpstreamLedger::open(now, entry);
                ledger.is_ready = is_ready;
                self.ledgers.insert(key, ledger);
                true
            };
            if is_changed {
                self.mark_changed(key);
            }
        }
    }

    /// Takes an entry's report.
    pub fn take_demand(&mut self, now: MonoTime, edge: InstanceName, demand: EdgeDemand) {
        self.demand.take(now, edge, demand);
    }

    /// Takes an engine's own state; `None` where it did not answer.
    pub fn take_report(&mut self, now: MonoTime, key: UpstreamKey, report: Option<&EngineReport>) {
        let Some(ledger) = self.ledgers.get_mut(key) else { return };
        let is_changed = match report {
            Some(report) => ledger.take_report(now, report),
            None => {
                ledger.step = OrderStep::Stale { read_at: now + 2 * REPORT_LAG_MS };
                false
            }
        };
        if is_changed {
            self.mark_changed(key);
        }
    }

    /// Takes the answer to an order; `None` where there was none.
    pub fn take_answer(&mut self, now: MonoTime, key: UpstreamKey, answer: Option<OrderAnswer>) {
        let Some(ledger) = self.ledgers.get_mut(key) else { return };
        let OrderStep::Sent { need, source, .. } = &ledger.step else { return };
        let plan = self.catalog.as_ref().and_then(|catalog| engine_plan(catalog, ledger));
        let known = plan.and_then(|plan| plan.models.get(&need.model));
        let load_ms = known.map_or(0, |model| match source {
            LoadSource::Local => model.disk_load_ms,
            LoadSource::Store => model.store_load_ms,
        });
        let is_used = self.demand.running(&ledger.target.id, &need.model) > 0;
        if ledger.order_answered(now, answer, load_ms, is_used) {
            self.mark_changed(key);
        }
    }

    /// Changes of holdings since a version; all of them for another epoch.
    #[must_use]
    pub fn news_since(&self, epoch: u64, version: u64) -> PlacementNews {
        let since = if epoch == self.epoch { version } else { 0 };
        let changed = self.ledgers.values().filter(|ledger| ledger.changed_in > since);
        PlacementNews {
            epoch: self.epoch,
            version: self.version,
            holdings: changed.map(UpstreamLedger::holdings).collect(),
        }
    }

    /// Version of the newest change.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Milliseconds until a missing model should be usable.
    #[must_use]
    pub fn forecast_ms(&self, now: MonoTime, need: &ModelNeed) -> u64 {
        let is_reached =
            |ledger: &&UpstreamLedger| !self.demand.is_unreachable(&ledger.target.id);
        let ledgers = || self.ledgers.values().filter(is_reached);
        if ledgers().any(|ledger| ledger.can_serve(&need.model)) {
            return 0;
        }
        let running = ledgers()
            .filter_map(|ledger| ledger.running.as_ref())
            .find(|order| order.verb == OrderVerb::Load && order.model == need.model);
        if let Some(order) = running {
            return order.due_at.millis_since(now);
        }
        let has_copy = |ledger: &&UpstreamLedger| {
            ledger.is_ready && ledger.local_copies.contains(&need.model)
        };
        if ledgers().any(|ledger| has_copy(&ledger)) {
            return SWAP_FORECAST_MS;
        }
        self.store_forecast_ms(now, need)
    }

    /// Moves on with time and returns the calls to make.
    pub fn tick(&mut self, now: MonoTime) -> Vec<PlannerAction> {
        let keys: Vec<UpstreamKey> = self.ledgers.keys().collect();
        for key in keys {
            if self.ledgers[key].advance(now) {
                self.mark_changed(key);
            }
        }
        self.demand.forget_old(now);
        let mut actions = self.reads(now);
        let Some(catalog) = self.catalog.clone() else { return actions };
        self.continue_goals(now, &catalog, &mut actions);
        let wants = self.demand.wants();
        self.serve_adapters(now, &catalog, &wants, &mut actions);
        let is_urgent = |rank: u8| rank == MOST_URGENT_RANK;
        self.serve_models(now, &catalog, &wants, is_urgent, &mut actions);
        self.add_copies(now, &catalog, &wants, &mut actions);
        self.serve_models(now, &catalog, &wants, |rank| !is_urgent(rank), &mut actions);
        self.prefetch(now, &catalog, &wants, &mut actions);
        actions
    }

    fn store_forecast_ms(&self, now: MonoTime, need: &ModelNeed) -> u64 {
        let plan = self.catalog.as_ref().and_then(|catalog| {
            let mut plans = catalog.services().filter_map(|plan| plan.engine.as_ref());
            plans.find_map(|plan| plan.models.get(&need.model))
        });
        let load_ms = plan.map_or(0, |model| model.store_load_ms);
        let loads = self.ledgers.values().filter_map(|ledger| ledger.running.as_ref());
        let mut due_ms: Vec<u64> = loads
            .filter(|order| order.source == LoadSource::Store && order.verb == OrderVerb::Load)
            .map(|order| order.due_at.millis_since(now))
            .collect();
        due_ms.sort_unstable();
        let wants = self.demand.wants();
        let rank = wants.get(need).map(|sum| (sum.rank, sum.since));
        let is_ahead = |(other, sum): &(&ModelNeed, &WantSum)| {
            let has_copy =
                |ledger: &UpstreamLedger| ledger.local_copies.contains(&other.model);
            rank.is_none_or(|rank| (sum.rank, sum.since) < rank)
                && !self.ledgers.values().any(has_copy)
        };
        let ahead = wants.iter().filter(is_ahead).count();
        let slots = self.policy.store_loads.max(1);
        let round = u64::try_from(ahead / slots).unwrap_or(u64::MAX);
        let next_ms = if due_ms.len() < slots { 0 } else { due_ms[ahead % slots] };
        next_ms + load_ms.saturating_mul(round + 1)
    }

    fn reads(&mut self, now: MonoTime) -> Vec<PlannerAction> {
        let mut actions = Vec::new();
        for (key, ledger) in &mut self.ledgers {
            let is_due =
                matches!(ledger.step, OrderStep::Stale { read_at } if now >= read_at);
            if is_due {
                ledger.step = OrderStep::Reading;
                let target = ledger.target.clone();
                actions.push(PlannerAction::Read { key, target });
            }
        }
        actions
    }

    fn continue_goals(
        &mut self,
        now: MonoTime,
        catalog: &FleetCatalog,
        actions: &mut Vec<PlannerAction>,
    ) {
        let goals: Vec<(UpstreamKey, ModelName)> = self
            .ledgers
            .iter()
            .filter(|(_, ledger)| ledger.is_free() && ledger.running.is_none())
            .filter_map(|(key, ledger)| Some((key, ledger.goal.clone()?)))
            .collect();
        for (key, model) in goals {
            let is_old = now.millis_since(self.ledgers[key].goal_at) > GOAL_LIFE_MS;
            let purpose = BringPurpose::Goal;
            let option = self.option_at(now, catalog, key, &model, &BTreeMap::new(), purpose);
            match option.filter(|_| !is_old) {
                Some(option) => {
                    self.pursue(now, key, &model, &option, purpose.reason(), actions);
                }
                None => self.ledgers[key].goal = None,
            }
        }
    }

    fn serve_models(
        &mut self,
        now: MonoTime,
        catalog: &FleetCatalog,
        wants: &BTreeMap<ModelNeed, WantSum>,
        is_turn: impl Fn(u8) -> bool,
        actions: &mut Vec<PlannerAction>,
    ) {
        let mut missing: Vec<(&ModelNeed, &WantSum)> =
            wants.iter().filter(|(_, sum)| is_turn(sum.rank)).collect();
        missing.sort_by_key(|(_, sum)| (sum.rank, sum.since));
        for (need, sum) in missing {
            let is_served = |ledger: &UpstreamLedger| {
                let has_it = ledger.can_serve(&need.model) || ledger.is_bringing(&need.model);
                has_it && !self.demand.is_unreachable(&ledger.target.id)
            };
            if self.ledgers.values().any(is_served) {
                continue;
            }
            let purpose = BringPurpose::Wanted { rank: sum.rank };
            self.bring(now, catalog, &sum.service, &need.model, wants, purpose, actions);
        }
    }

    /// Gives crowded models a further copy.
    fn add_copies(
        &mut self,
        now: MonoTime,
        catalog: &FleetCatalog,
        wants: &BTreeMap<ModelNeed, WantSum>,
        actions: &mut Vec<PlannerAction>,
    ) {
        let crowded: Vec<(ServiceName, ModelName)> = catalog
            .services()
            .filter_map(|service| Some((service, service.engine.as_ref()?)))
            .flat_map(|(service, plan)| {
                let names = plan.models.keys().filter(|model| self.is_crowded(now, plan, model));
                names.map(|model| (service.name.clone(), model.clone())).collect::<Vec<_>>()
            })
            .collect();
        for (service, model) in crowded {
            let is_coming = self.ledgers.values().any(|ledger| ledger.is_bringing(&model));
            if !is_coming {
                let purpose = BringPurpose::Copy;
                self.bring(now, catalog, &service, &model, wants, purpose, actions);
            }
        }
    }

    fn is_crowded(&self, now: MonoTime, plan: &EnginePlan, model: &ModelName) -> bool {
        let mut copies = 0;
        let mut running = 0;
        for ledger in self.ledgers.values().filter(|ledger| ledger.can_serve(model)) {
            copies += 1;
            running += self.demand.running(&ledger.target.id, model);
        }
        let rate = self.demand.rate(now, model);
        let is_busy = running * 100 > copies * plan.slots * self.policy.crowded_percent;
        copies > 0 && (is_busy || rate > f64::from(copies) * self.policy.copy_rate_per_s)
    }

    /// Loads models that no engine has a copy of, while the weight store has nothing to do.
    fn prefetch(
        &mut self,
        now: MonoTime,
        catalog: &FleetCatalog,
        wants: &BTreeMap<ModelNeed, WantSum>,
        actions: &mut Vec<PlannerAction>,
    ) {
        if !self.may_load_from_store(now, catalog, BringPurpose::Prefetch) {
            return;
        }
        let mut missing: Vec<(f64, ServiceName, ModelName)> = Vec::new();
        for service in catalog.services() {
            let Some(plan) = &service.engine else { continue };
            for model in plan.models.keys() {
                let has_copy = |ledger: &UpstreamLedger| {
                    ledger.local_copies.contains(model) || ledger.is_bringing(model)
                };
                if !self.ledgers.values().any(has_copy) {
                    let rate = self.demand.rate(now, model) + adapter_hint(plan, model);
                    missing.push((rate, service.name.clone(), model.clone()));
                }
            }
        }
        missing.sort_by(|left, right| right.0.total_cmp(&left.0));
        for (_, service, model) in missing {
            if !self.may_load_from_store(now, catalog, BringPurpose::Prefetch) {
                return;
            }
            let purpose = BringPurpose::Prefetch;
            self.bring(now, catalog, &service, &model, wants, purpose, actions);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn bring(
        &mut self,
        now: MonoTime,
        catalog: &FleetCatalog,
        service: &ServiceName,
        model: &ModelName,
        wants: &BTreeMap<ModelNeed, WantSum>,
        purpose: BringPurpose,
        actions: &mut Vec<PlannerAction>,
    ) {
        let may_store = self.may_load_from_store(now, catalog, purpose);
        let free: Vec<UpstreamKey> = self
            .ledgers
            .iter()
            .filter(|(_, ledger)| ledger.service == *service)
            .filter(|(_, ledger)| !self.demand.is_unreachable(&ledger.target.id))
            .filter(|(_, ledger)| ledger.is_free() && ledger.running.is_none())
            .filter(|(_, ledger)| ledger.goal.is_none() && !ledger.models.contains_key(model))
            .filter(|(_, ledger)| may_store || load_source(ledger, model) == LoadSource::Local)
            .map(|(key, _)| key)
            .collect();
        let options = free.into_iter().filter_map(|key| {
            let option = self.option_at(now, catalog, key, model, wants, purpose)?;
            Some((key, option))
        });
        let best = options.min_by(|left, right| left.1.cost_ms.total_cmp(&right.1.cost_ms));
        if let Some((key, option)) = best {
            self.pursue(now, key, model, &option, purpose.reason(), actions);
        }
    }

    fn option_at(
        &self,
        now: MonoTime,
        catalog: &FleetCatalog,
        key: UpstreamKey,
        model: &ModelName,
        wants: &BTreeMap<ModelNeed, WantSum>,
        purpose: BringPurpose,
    ) -> Option<SwapOption> {
        let ledger = self.ledgers.get(key)?;
        let copies = |name: &ModelName| {
            self.ledgers.values().filter(|ledger| ledger.can_serve(name)).count()
        };
        let wanted = |name: &ModelName| wants.keys().any(|need| need.model == *name);
        let view = SwapView {
            now,
            plan: engine_plan(catalog, ledger)?,
            demand: &self.demand,
            policy: self.policy,
            copies: &copies,
            wanted: &wanted,
            gain_per_s: self.gain_per_s(now, model, copies(model), purpose),
        };
        swap_option(&view, ledger, model)
    }

    /// Requests a second that a copy brought for a purpose would serve.
    #[allow(clippy::cast_precision_loss)]
    fn gain_per_s(
        &self,
        now: MonoTime,
        model: &ModelName,
        copies: usize,
        purpose: BringPurpose,
    ) -> f64 {
        let rate = self.demand.rate(now, model);
        match purpose {
            BringPurpose::Wanted { .. } | BringPurpose::Goal => rate.max(WANTED_GAIN_PER_S),
            BringPurpose::Copy => rate / (copies as f64 + 1.0),
            BringPurpose::Prefetch => PREFETCH_GAIN_PER_S,
        }
    }

    fn pursue(
        &mut self,
        now: MonoTime,
        key: UpstreamKey,
        model: &ModelName,
        option: &SwapOption,
        reason: &'static str,
        actions: &mut Vec<PlannerAction>,
    ) {
        let (verb, name) = match option.victims.first() {
            Some(victim) => (OrderVerb::Unload, victim),
            None => (OrderVerb::Load, model),
        };
        let ledger = &mut self.ledgers[key];
        if ledger.goal.as_ref() != Some(model) {
            ledger.goal = Some(model.clone());
            ledger.goal_at = now;
        }
        if verb == OrderVerb::Load && option.source == LoadSource::Store {
            self.store_starts.push_back(now);
        }
        let need = ModelNeed {
            model: name.clone(),
            adapter: None,
        };
        self.send(now, key, verb, need, option.source, reason, actions);
    }

    fn serve_adapters(
        &mut self,
        now: MonoTime,
        catalog: &FleetCatalog,
        wants: &BTreeMap<ModelNeed, WantSum>,
        actions: &mut Vec<PlannerAction>,
    ) {
        for need in wants.keys().filter(|need| need.adapter.is_some()) {
            let is_usable = self.ledgers.values().any(|ledger| {
                ledger.can_serve_need(need) && !self.demand.is_unreachable(&ledger.target.id)
            });
            let is_ordered = self.ledgers.values().any(|ledger| {
                matches!(&ledger.step, OrderStep::Sent { need: sent, verb: OrderVerb::Load, .. }
                    if sent == need)
            });
            if is_usable || is_ordered {
                continue;
            }
            let hosts = self
                .ledgers
                .iter()
                .filter(|(_, ledger)| ledger.is_free() && ledger.running.is_none())
                .filter(|(_, ledger)| !self.demand.is_unreachable(&ledger.target.id))
                .filter(|(_, ledger)| ledger.can_serve(&need.model));
            let best = hosts.min_by_key(|(_, ledger)| {
                let running = self.demand.running(&ledger.target.id, &need.model);
                (ledger.adapter_count(), running)
            });
            if let Some(key) = best.map(|(key, _)| key) {
                self.order_adapter(now, catalog, key, need, wants, actions);
            }
        }
    }

    fn order_adapter(
        &mut self,
        now: MonoTime,
        catalog: &FleetCatalog,
        key: UpstreamKey,
        need: &ModelNeed,
        wants: &BTreeMap<ModelNeed, WantSum>,
        actions: &mut Vec<PlannerAction>,
    ) {
        let ledger = &self.ledgers[key];
        let Some(plan) = engine_plan(catalog, ledger) else { return };
        let adapter_mb = plan.models.get(&need.model).map_or(0.0, |model| model.adapter_mb);
        let has_place = ledger.adapter_count() < plan.adapter_slots;
        let has_room = ledger.used_mb(plan) + adapter_mb <= plan.memory_mb;
        if has_place && has_room {
            self.send(
                now,
                key,
                OrderVerb::Load,
                need.clone(),
                LoadSource::Local,
                "wanted",
                actions,
            );
            return;
        }
        let oldest = ledger
            .models
            .iter()
            .flat_map(|(model, held)| {
                held.adapters.iter().map(move |(adapter, at)| (*at, model, adapter))
            })
            .filter(|(at, model, adapter)| {
                let victim = ModelNeed {
                    model: (*model).clone(),
                    adapter: Some((*adapter).clone()),
                };
                now.millis_since(*at) >= ADAPTER_HOLD_MS && !wants.contains_key(&victim)
            })
            .min();
        if let Some((_, model, adapter)) = oldest {
            let victim = ModelNeed {
                model: model.clone(),
                adapter: Some(adapter.clone()),
            };
            self.send(
                now,
                key,
                OrderVerb::Unload,
                victim,
                LoadSource::Local,
                "make room",
                actions,
            );
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn send(
        &mut self,
        now: MonoTime,
        key: UpstreamKey,
        verb: OrderVerb,
        need: ModelNeed,
        source: LoadSource,
        reason: &'static str,
        actions: &mut Vec<PlannerAction>,
    ) {
        let basis = OrderBasis {
            reason,
            source,
            rate_per_s: self.demand.rate(now, &need.model),
            copies: self.ledgers.values().filter(|ledger| ledger.can_serve(&need.model)).count(),
            store_loads: self.ledgers.values().filter(|ledger| ledger.is_store_loading()).count(),
        };
        let ledger = &mut self.ledgers[key];
        ledger.order_sent(verb, need.clone(), source);
        actions.push(PlannerAction::Order {
            key,
            target: ledger.target.clone(),
            verb,
            need,
            precondition: ledger.order_count,
            basis,
        });
        if verb == OrderVerb::Unload {
            self.mark_changed(key);
        }
    }

    fn may_load_from_store(
        &mut self,
        now: MonoTime,
        catalog: &FleetCatalog,
        purpose: BringPurpose,
    ) -> bool {
        let is_old = |at: &MonoTime| now.millis_since(*at) > STORE_WINDOW_MS;
        while self.store_starts.front().is_some_and(is_old) {
            self.store_starts.pop_front();
        }
        let plans = catalog.services().filter_map(|service| service.engine.as_ref());
        let per_s = plans.map(|plan| plan.loads_per_s).fold(f64::INFINITY, f64::min);
        #[allow(clippy::cast_precision_loss)]
        let in_window = self.store_starts.len() as f64;
        #[allow(clippy::cast_precision_loss)]
        let window_s = STORE_WINDOW_MS as f64 / 1_000.0;
        let loading = self.ledgers.values().filter(|ledger| ledger.is_store_loading()).count();
        loading < purpose.store_loads(&self.policy) && in_window + 1.0 <= per_s * window_s
    }

    fn mark_changed(&mut self, key: UpstreamKey) {
        self.version += 1;
        if let Some(ledger) = self.ledgers.get_mut(key) {
            ledger.changed_in = self.version;
        }
    }
}

fn engine_plan<'a>(catalog: &'a FleetCatalog, ledger: &UpstreamLedger) -> Option<&'a EnginePlan> {
    catalog.service(&ledger.service)?.engine.as_ref()
}

/// Operators add adapters to models that are used: such models are loaded ahead of others.
fn adapter_hint(plan: &EnginePlan, model: &ModelName) -> f64 {
    let has_adapters = plan.models.get(model).is_some_and(|known| known.adapter_count > 0);
    if has_adapters { 1.0 } else { 0.0 }
}
