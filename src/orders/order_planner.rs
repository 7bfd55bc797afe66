//! Decides which engine loads and unloads what.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;

use slotmap::SecondaryMap;

use super::bring_purpose::MOST_URGENT_RANK;
use super::demand_book::WantSum;
use super::upstream_ledger::{REPORT_LAG_MS, UpstreamLedger};
use super::{
    DemandBook, EngineReport, EntryDemand, LoadSource, OrderAnswer, OrderBasis, OrderStep,
    OrderVerb, PlacementNews, PlannerAction, PlannerPolicy,
};
use crate::fleet::{
    EngineConfig, FleetCatalog, ModelNeed, UpstreamKey, UpstreamPhase, UpstreamRoster,
};
use crate::prelude::*;

/// What one step of the planner looks at.
#[derive(Clone, Copy)]
pub(super) struct PlanView<'a> {
    pub now: MonoTime,
    pub catalog: &'a FleetCatalog,
    pub wants: &'a BTreeMap<ModelNeed, WantSum>,
    /// Models that any of the wants needs.
    pub wanted: &'a HashSet<&'a ModelName>,
}

/// An order before it is sent.
pub(super) struct NextOrder {
    verb: OrderVerb,
    need: ModelNeed,
    source: LoadSource,
}

impl NextOrder {
    /// Loads a model or adapter.
    pub(super) const fn load(need: ModelNeed, source: LoadSource) -> Self {
        Self {
            verb: OrderVerb::Load,
            need,
            source,
        }
    }

    /// Unloads a model or adapter.
    pub(super) const fn unload(need: ModelNeed) -> Self {
        Self {
            verb: OrderVerb::Unload,
            need,
            source: LoadSource::Local,
        }
    }
}

/// Holds one ledger for each engine and gives one order at a time to each.
#[derive(Debug, Default)]
pub struct OrderPlanner {
    pub(super) policy: PlannerPolicy,
    pub(super) catalog: Option<Rc<FleetCatalog>>,
    pub(super) ledgers: SecondaryMap<UpstreamKey, UpstreamLedger>,
    pub(super) demand: DemandBook,
    /// Starts of loads from the weight store, newest last.
    pub(super) store_starts: VecDeque<MonoTime>,
    /// Usable copies of each model over all engines; counted at the start of a step and after
    /// each order.
    copies: HashMap<ModelName, usize>,
    /// Calls decided in this step.
    actions: Vec<PlannerAction>,
    /// No order goes out before this time: an earlier holder's last order must be long past.
    pub(super) orders_from: MonoTime,
    epoch: u64,
    version: u64,
}

impl OrderPlanner {
    /// Opens a planner that knows nothing yet and may give orders from a time on.
    #[must_use]
    pub fn open(policy: PlannerPolicy, epoch: u64, orders_from: MonoTime) -> Self {
        Self {
            policy,
            orders_from,
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
        let gone: Vec<UpstreamKey> = self
            .ledgers
            .keys()
            .filter(|key| roster.get(*key).is_none())
            .collect();
        for key in gone {
            self.ledgers.remove(key);
        }
        let Some(catalog) = self.catalog.clone() else {
            return;
        };
        for (key, entry) in roster.iter() {
            let engine = catalog
                .service(&entry.service)
                .and_then(|plan| plan.engine.as_ref());
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
    pub fn take_demand(&mut self, now: MonoTime, entry: InstanceName, demand: EntryDemand) {
        let doubted = self
            .ledgers
            .values_mut()
            .filter(|ledger| demand.lacking.contains(&ledger.target.id));
        for ledger in doubted {
            ledger.doubt(now);
        }
        self.demand.take(now, entry, demand);
    }

    /// Takes an engine's own state; `None` where it did not answer.
    pub fn take_report(&mut self, now: MonoTime, key: UpstreamKey, report: Option<&EngineReport>) {
        let Some(ledger) = self.ledgers.get_mut(key) else {
            return;
        };
        let is_changed = if let Some(report) = report {
            ledger.take_report(now, report)
        } else {
            let read_at = now + 2 * REPORT_LAG_MS;
            ledger.step = OrderStep::Stale { read_at };
            false
        };
        if is_changed {
            self.mark_changed(key);
        }
    }

    /// Takes the answer to an order; `None` where there was none.
    pub fn take_answer(&mut self, now: MonoTime, key: UpstreamKey, answer: Option<OrderAnswer>) {
        let Some(ledger) = self.ledgers.get_mut(key) else {
            return;
        };
        let OrderStep::Sent { need, source, .. } = &ledger.step else {
            return;
        };
        let plan = self
            .catalog
            .as_ref()
            .and_then(|catalog| engine_plan(catalog, ledger));
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
        let changed = self
            .ledgers
            .values()
            .filter(|ledger| ledger.changed_in > since);
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

    /// Moves on with time and returns the calls to make. Before orders may be given, it only
    /// reads engines.
    pub fn tick(&mut self, now: MonoTime) -> Vec<PlannerAction> {
        let keys: Vec<UpstreamKey> = self.ledgers.keys().collect();
        for key in keys {
            if self.ledgers[key].advance(now) {
                self.mark_changed(key);
            }
        }
        self.demand.forget_old(now);
        self.read_stale(now);
        let catalog = self.catalog.clone().filter(|_| now >= self.orders_from);
        let Some(catalog) = catalog else {
            return std::mem::take(&mut self.actions);
        };
        self.count_copies();
        let wants = self.demand.wants().clone();
        let wanted: HashSet<&ModelName> = wants.keys().map(|need| &need.model).collect();
        let view = PlanView {
            now,
            catalog: &catalog,
            wants: &wants,
            wanted: &wanted,
        };
        let is_urgent = |rank: u8| rank == MOST_URGENT_RANK;
        self.continue_goals(view);
        self.serve_adapters(view);
        self.serve_models(view, is_urgent);
        self.add_copies(view);
        self.serve_models(view, |rank| !is_urgent(rank));
        self.prefetch(view);
        std::mem::take(&mut self.actions)
    }

    fn read_stale(&mut self, now: MonoTime) {
        for (key, ledger) in &mut self.ledgers {
            let is_due = matches!(ledger.step, OrderStep::Stale { read_at } if now >= read_at);
            if is_due {
                ledger.step = OrderStep::Reading;
                let target = ledger.target.clone();
                self.actions.push(PlannerAction::Read { key, target });
            }
        }
    }

    pub(super) fn send(
        &mut self,
        now: MonoTime,
        key: UpstreamKey,
        order: NextOrder,
        reason: &'static str,
    ) {
        let model = &order.need.model;
        let ledgers = self.ledgers.values();
        let basis = OrderBasis {
            reason,
            source: order.source,
            rate_per_s: self.demand.rate(now, model),
            copies: self.copies(model),
            store_loads: ledgers.filter(|ledger| ledger.is_store_loading()).count(),
        };
        let ledger = &mut self.ledgers[key];
        ledger.order_sent(order.verb, order.need.clone(), order.source);
        self.actions.push(PlannerAction::Order {
            key,
            target: ledger.target.clone(),
            verb: order.verb,
            need: order.need,
            precondition: ledger.order_count,
            basis,
        });
        if order.verb == OrderVerb::Unload {
            self.mark_changed(key);
            self.count_copies();
        }
    }

    /// Usable copies of a model.
    pub(super) fn copies(&self, model: &ModelName) -> usize {
        self.copies.get(model).copied().unwrap_or(0)
    }

    fn count_copies(&mut self) {
        self.copies.clear();
        for ledger in self.ledgers.values() {
            for model in ledger.models.keys().filter(|model| ledger.can_serve(model)) {
                *self.copies.entry(model.clone()).or_default() += 1;
            }
        }
    }

    fn mark_changed(&mut self, key: UpstreamKey) {
        self.version += 1;
        if let Some(ledger) = self.ledgers.get_mut(key) {
            ledger.changed_in = self.version;
        }
    }
}

/// What the engines of a ledger's service have in common.
pub(super) fn engine_plan<'a>(
    catalog: &'a FleetCatalog,
    ledger: &UpstreamLedger,
) -> Option<&'a EngineConfig> {
    catalog.service(&ledger.service)?.engine.as_ref()
}
