//! Engines, a planner, and one entry that reports demand.

use std::collections::BTreeMap;
use std::rc::Rc;

use quetzalpin::fleet::{
    CallerLimits, EngineConfig, FeedVersion, FleetCatalog, HeldModel, ModelConfig, ModelNeed,
    ServiceConfig, UpstreamChange, UpstreamEntry, UpstreamKey, UpstreamPhase, UpstreamRoster,
    UpstreamUpdate,
};
use quetzalpin::orders::{
    AskedLine, EntryDemand, OrderPlanner, PlannerAction, PlannerPolicy, WantLine,
};
use quetzalpin::prelude::*;

use super::sim_engine::{
    ADAPTER_MB, ADAPTER_PLACES, DISK_LOAD_MS, ENGINE_MB, STORE_LOAD_MS, SimEngine,
};

/// Milliseconds between two reports of the entry.
const REPORT_MS: u64 = 100;

/// Sizes of the simulated models in megabytes, in turn.
const SIZES_MB: [f64; 4] = [72_700.0, 65_500.0, 34_300.0, 65_100.0];

/// How a fleet begins.
#[derive(Debug, Clone, Copy)]
pub struct FleetShape {
    pub engines: usize,
    pub models: usize,
    /// Models that each engine holds at the start.
    pub held: usize,
    pub seed: u64,
    /// Percent of answers that are lost, half of them of orders that are carried out.
    pub loss_percent: u8,
    /// When orders may be given.
    pub orders_from_ms: u64,
}

impl Default for FleetShape {
    fn default() -> Self {
        Self {
            engines: 1,
            models: 1,
            held: 0,
            seed: 1,
            loss_percent: 0,
            orders_from_ms: 0,
        }
    }
}

/// A simulated fleet.
pub struct EngineFleet {
    planner: OrderPlanner,
    engines: Vec<(UpstreamKey, UpstreamId, SimEngine)>,
    plan: EngineConfig,
    service: ServiceName,
    now_ms: u64,
    demand: EntryDemand,
    random: fastrand::Rng,
    loss_percent: u8,
    next_loss: Option<bool>,
    reported_at_ms: u64,
}

impl EngineFleet {
    /// Opens a fleet.
    pub fn open(shape: FleetShape) -> Self {
        let service = ServiceName::from("engines");
        let plan = engine_plan(shape.models);
        let names: Vec<ModelName> = plan.models.keys().cloned().collect();
        let mut roster = UpstreamRoster::open();
        let mut engines = Vec::new();
        for number in 0..shape.engines {
            let mut engine = SimEngine::default();
            for index in 0..shape.held {
                let model = names[(number * shape.held + index) % names.len()].clone();
                let room_mb = ENGINE_MB - engine.used_mb(|name| plan.models[name].memory_mb);
                if plan.models[&model].memory_mb <= room_mb {
                    engine.on_disk.insert(model.clone());
                    engine.models.entry(model).or_default();
                }
            }
            engines.push((UpstreamId::from(format!("i-{number}").as_str()), engine));
        }
        let changes = engines
            .iter()
            .map(|(id, engine)| UpstreamChange::Listed(upstream_entry(id, &service, engine)));
        let news = UpstreamUpdate {
            version: FeedVersion(1),
            is_snapshot: true,
            changes: changes.collect(),
        };
        roster.apply(MonoTime::default(), news);
        let mut planner = OrderPlanner::open(
            PlannerPolicy::default(),
            1,
            MonoTime::from_millis(shape.orders_from_ms),
        );
        let limits = CallerLimits { body_bytes: 1 };
        let services = vec![ServiceConfig {
            name: service.clone(),
            engine: Some(plan.clone()),
        }];
        planner.take_catalog(Rc::new(FleetCatalog::open(1, limits, Vec::new(), services)));
        planner.take_roster(MonoTime::default(), &roster);
        let keyed = engines.into_iter().map(|(id, engine)| {
            let key = roster.key_of(&id).expect("a listed engine");
            (key, id, engine)
        });
        Self {
            planner,
            engines: keyed.collect(),
            plan,
            service,
            now_ms: 0,
            demand: EntryDemand::default(),
            random: fastrand::Rng::with_seed(shape.seed),
            loss_percent: shape.loss_percent,
            next_loss: None,
            reported_at_ms: 0,
        }
    }

    /// Models that an engine holds.
    pub fn held_at(&self, engine: usize) -> Vec<ModelName> {
        self.engines[engine].2.models.keys().cloned().collect()
    }

    /// Whether an engine holds an adapter.
    pub fn has_adapter(&self, engine: usize, model: &ModelName, adapter: &AdapterName) -> bool {
        let models = &self.engines[engine].2.models;
        models
            .get(model)
            .is_some_and(|adapters| adapters.contains(adapter))
    }

    /// Engines that hold a model.
    pub fn copies(&self, model: &ModelName) -> usize {
        self.engines
            .iter()
            .filter(|(_, _, engine)| engine.models.contains_key(model))
            .count()
    }

    /// Loads from the weight store that run now.
    pub fn store_loads(&self) -> usize {
        let running = self
            .engines
            .iter()
            .filter_map(|(_, _, engine)| engine.running.as_ref());
        running.filter(|running| running.3).count()
    }

    /// Whether a model is being loaded anywhere.
    pub fn is_loading(&self, model: &ModelName) -> bool {
        let mut running = self
            .engines
            .iter()
            .filter_map(|(_, _, engine)| engine.running.as_ref());
        running.any(|running| running.1 == *model)
    }

    /// Whether an engine loads a model.
    pub fn is_loading_at(&self, engine: usize) -> bool {
        self.engines[engine].2.running.is_some()
    }

    /// Counts requests for a model.
    pub fn ask(&mut self, model: &ModelName, count: u32) {
        self.demand.asked.push(AskedLine(model.clone(), count));
    }

    /// Counts one request in so many milliseconds.
    pub fn ask_each(&mut self, model: &ModelName, period_ms: u64) {
        if self.now_ms.is_multiple_of(period_ms) {
            self.ask(model, 1);
        }
    }

    /// Lets a request wait for a model.
    pub fn want(&mut self, model: &ModelName, rank: u8) {
        self.want_need(model, None, rank);
    }

    /// Lets a request wait for an adapter.
    pub fn want_adapter(&mut self, model: &ModelName, adapter: &AdapterName) {
        self.want_need(model, Some(adapter.clone()), 1);
    }

    /// Cuts an engine off; entries cannot reach it.
    pub fn cut(&mut self, engine: usize) {
        self.engines[engine].2.is_cut = true;
        let id = self.engines[engine].1.clone();
        self.demand.unreachable.push(id);
    }

    /// Whether a model is being loaded from the weight store.
    pub fn is_store_loading(&self, model: &ModelName) -> bool {
        let mut running = self
            .engines
            .iter()
            .filter_map(|(_, _, engine)| engine.running.as_ref());
        running.any(|running| running.3 && running.1 == *model)
    }

    /// Drops a model without an order.
    pub fn drop_model(&mut self, engine: usize, model: &ModelName) {
        self.engines[engine].2.models.remove(model);
    }

    /// Lets an engine deny a model to the entry.
    pub fn deny(&mut self, engine: usize) {
        let id = self.engines[engine].1.clone();
        self.demand.lacking.push(id);
    }

    /// Puts a copy on an engine's disk that the list does not tell.
    pub fn put_on_disk(&mut self, engine: usize, model: &ModelName) {
        self.engines[engine].2.on_disk.insert(model.clone());
    }

    /// Orders that engines accepted.
    pub fn orders(&self) -> u64 {
        let engines = self.engines.iter();
        engines.map(|(_, _, engine)| engine.order_count).sum()
    }

    /// Orders that engines refused because another one ran.
    pub fn early_orders(&self) -> u64 {
        let engines = self.engines.iter();
        engines.map(|(_, _, engine)| engine.early_orders).sum()
    }

    /// The planner's forecast for a model.
    pub fn forecast_ms(&self, model: &ModelName) -> u64 {
        let need = ModelNeed {
            model: model.clone(),
            adapter: None,
        };
        self.planner
            .forecast_ms(MonoTime::from_millis(self.now_ms), &need)
    }

    /// Loses the answer to the next order.
    pub const fn lose_next_answer(&mut self, is_carried_out: bool) {
        self.next_loss = Some(is_carried_out);
    }

    /// Asks for random models and adapters.
    pub fn random_demand(&mut self) {
        let names: Vec<ModelName> = self.plan.models.keys().cloned().collect();
        let model = names[self.random.usize(..names.len())].clone();
        match self.random.u8(..4) {
            0 => self.ask(&model, 3),
            1 => {
                let rank = self.random.u8(..3);
                self.want(&model, rank);
            }
            2 => {
                let adapter = format!("a{}", self.random.u8(..12));
                self.want_adapter(&model, &AdapterName::from(adapter.as_str()));
            }
            _ => {}
        }
    }

    /// Runs steps without new demand.
    pub fn run(&mut self, duration_ms: u64, step_ms: u64) {
        for _ in 0..duration_ms / step_ms {
            self.step(step_ms);
        }
    }

    /// Whether so many milliseconds have passed.
    pub const fn has_run_ms(&self, duration_ms: u64) -> bool {
        self.now_ms >= duration_ms
    }

    /// Moves time on and carries out what the planner decides.
    pub fn step(&mut self, step_ms: u64) {
        self.now_ms += step_ms;
        let now = MonoTime::from_millis(self.now_ms);
        for (_, _, engine) in &mut self.engines {
            engine.advance(self.now_ms);
        }
        if self.now_ms >= self.reported_at_ms + REPORT_MS {
            self.reported_at_ms = self.now_ms;
            let mut demand = std::mem::take(&mut self.demand);
            self.demand.unreachable.clone_from(&demand.unreachable);
            demand.wants.dedup_by(|left, right| left.need == right.need);
            self.planner
                .take_demand(now, InstanceName::from("entry"), demand);
        }
        for action in self.planner.tick(now) {
            self.perform(now, action);
        }
    }

    /// Checks that no engine holds more than it can.
    pub fn check(&self) {
        for (_, id, engine) in &self.engines {
            let used_mb = engine.used_mb(|model| self.plan.models[model].memory_mb);
            assert!(used_mb <= ENGINE_MB, "{id} holds {used_mb} MB");
            assert!(
                engine.adapter_count() <= ADAPTER_PLACES,
                "{id} holds too many adapters"
            );
        }
    }

    fn want_need(&mut self, model: &ModelName, adapter: Option<AdapterName>, rank: u8) {
        let need = ModelNeed {
            model: model.clone(),
            adapter,
        };
        let is_known = self.engines.iter().any(|(_, _, engine)| {
            let adapters = engine.models.get(model);
            let has = |name: &AdapterName| adapters.is_some_and(|held| held.contains(name));
            !engine.is_cut && adapters.is_some() && need.adapter.as_ref().is_none_or(has)
        });
        if is_known {
            self.ask(model, 1);
            return;
        }
        self.demand.wants.retain(|line| line.need != need);
        self.demand.wants.push(WantLine {
            need,
            service: self.service.clone(),
            count: 1,
            rank,
            waited_ms: 0,
        });
    }

    fn perform(&mut self, now: MonoTime, action: PlannerAction) {
        match action {
            PlannerAction::Read { key, .. } => {
                let engine = self.engine(key);
                let report = (!engine.is_cut).then(|| engine.report());
                self.planner.take_report(now, key, report.as_ref());
            }
            PlannerAction::Order {
                key,
                verb,
                need,
                precondition,
                ..
            } => {
                let loss = self.draw_loss();
                let now_ms = self.now_ms;
                let engine = self.engine(key);
                if engine.is_cut || loss == Some(false) {
                    self.planner.take_answer(now, key, None);
                    return;
                }
                let answer = engine.order(now_ms, verb, &need, precondition);
                self.planner
                    .take_answer(now, key, loss.is_none().then_some(answer));
            }
        }
    }

    /// Whether the next answer is lost, and if so, whether its order is carried out.
    fn draw_loss(&mut self) -> Option<bool> {
        if let Some(is_carried_out) = self.next_loss.take() {
            return Some(is_carried_out);
        }
        let is_lost = self.random.u8(..100) < self.loss_percent;
        is_lost.then(|| self.random.bool())
    }

    fn engine(&mut self, key: UpstreamKey) -> &mut SimEngine {
        let found = self.engines.iter_mut().find(|(known, _, _)| *known == key);
        &mut found.expect("an engine of the fleet").2
    }
}

/// Models that no engine holds.
pub fn rare_models(fleet: &EngineFleet) -> Vec<ModelName> {
    let names = fleet.plan.models.keys();
    names
        .filter(|model| fleet.copies(model) == 0)
        .cloned()
        .collect()
}

fn engine_plan(models: usize) -> EngineConfig {
    let plans = (0..models).map(|number| {
        let plan = ModelConfig {
            memory_mb: SIZES_MB[number % SIZES_MB.len()],
            adapter_count: 0,
            adapter_mb: ADAPTER_MB,
            store_load_ms: STORE_LOAD_MS,
            disk_load_ms: DISK_LOAD_MS,
        };
        (ModelName::from(format!("m{number:02}").as_str()), plan)
    });
    EngineConfig {
        slots: 32,
        memory_mb: ENGINE_MB,
        adapter_slots: ADAPTER_PLACES,
        loads_per_s: 10.0,
        models: plans.collect::<BTreeMap<_, _>>(),
    }
}

fn upstream_entry(id: &UpstreamId, service: &ServiceName, engine: &SimEngine) -> UpstreamEntry {
    let models = engine.models.keys().map(|model| HeldModel {
        model: model.clone(),
        version: 1,
        adapters: Vec::new(),
    });
    UpstreamEntry {
        id: id.clone(),
        started_at_ms: 1,
        service: service.clone(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: ZoneName::from("zone"),
        slots: 32,
        phase: UpstreamPhase::Ready,
        models: models.collect(),
        local_copies: engine.on_disk.iter().cloned().collect(),
    }
}
