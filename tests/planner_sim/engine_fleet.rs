//! Simulated engines, a planner, and an entry that reports demand to it.

use std::collections::BTreeMap;
use std::rc::Rc;

use quetzalpin::fleet::{
    CallerLimits, EngineConfig, FeedVersion, FleetCatalog, HeldModel, ModelConfig, ModelNeed,
    ServiceConfig, UpstreamChange, UpstreamEntry, UpstreamKey, UpstreamPhase, UpstreamRoster,
    UpstreamUpdate,
};
use quetzalpin::orders::{
    ArrivedRequests, EntryDemand, OrderPlanner, PlannerAction, PlannerPolicy, WaitingRequests,
};
use quetzalpin::prelude::*;
use quetzalpin::upstream_speed::DurationFactor;

use super::sim_engine::{
    ADAPTER_MB, ADAPTER_SLOTS, DISK_LOAD_MS, ENGINE_MB, STORE_LOAD_MS, SimEngine,
};

/// Milliseconds between reports of the entry.
const REPORT_MS: u64 = 100;

/// Sizes in megabytes that the simulated models take in turn.
const SIZES_MB: [f64; 4] = [72_700.0, 65_500.0, 34_300.0, 65_100.0];

/// Initial state and faults of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetSetup {
    pub engines: usize,
    pub models: usize,
    /// Requests that each engine runs at a time.
    pub slots: u32,
    /// Number of models that each engine holds at the start, as far as they fit.
    pub held: usize,
    pub seed: u64,
    /// Percent of order answers that are lost; about half of these orders are carried out.
    pub loss_percent: u8,
    /// Time from which the planner may send orders.
    pub orders_from_ms: u64,
}

impl Default for FleetSetup {
    fn default() -> Self {
        Self {
            engines: 1,
            models: 1,
            slots: 32,
            held: 0,
            seed: 1,
            loss_percent: 0,
            orders_from_ms: 0,
        }
    }
}

/// Simulated engines driven by a planner and the demand of one entry.
pub struct EngineFleet {
    planner: OrderPlanner,
    engines: Vec<(UpstreamKey, UpstreamId, SimEngine)>,
    config: EngineConfig,
    service: ServiceName,
    now_ms: u64,
    demand: EntryDemand,
    random: fastrand::Rng,
    loss_percent: u8,
    next_loss: Option<bool>,
    reported_at_ms: u64,
}

impl EngineFleet {
    /// Creates a fleet and registers its engines with the planner.
    pub fn open(setup: FleetSetup) -> Self {
        let service = ServiceName::from("engines");
        let config = engine_config(setup.models, setup.slots);
        let names: Vec<ModelName> = config.models.keys().cloned().collect();
        let mut roster = UpstreamRoster::open();
        let mut engines = Vec::new();
        for number in 0..setup.engines {
            let mut engine = SimEngine::default();
            for index in 0..setup.held {
                let model = names[(number * setup.held + index) % names.len()].clone();
                let room_mb = ENGINE_MB - engine.used_mb(|name| config.models[name].memory_mb);
                if config.models[&model].memory_mb <= room_mb {
                    engine.on_disk.insert(model.clone());
                    engine.models.entry(model).or_default();
                }
            }
            engines.push((UpstreamId::from(format!("i-{number}").as_str()), engine));
        }
        let changes = engines
            .iter()
            .map(|(id, engine)| UpstreamChange::Listed(upstream_entry(id, &service, engine)));
        let update = UpstreamUpdate {
            version: FeedVersion::in_first_era(1),
            newest_change: FeedVersion::in_first_era(1),
            is_snapshot: true,
            changes: changes.collect(),
        };
        roster.apply(MonoTime::default(), update);
        let mut planner = OrderPlanner::open(
            PlannerPolicy::default(),
            1,
            MonoTime::from_millis(setup.orders_from_ms),
        );
        let limits = CallerLimits { body_bytes: 1 };
        let services = vec![ServiceConfig {
            name: service.clone(),
            engine: Some(config.clone()),
        }];
        planner.set_catalog(Rc::new(FleetCatalog::open(1, limits, Vec::new(), services)));
        planner.apply_roster(MonoTime::default(), &roster);
        let keyed = engines.into_iter().map(|(id, engine)| {
            let key = roster.key_of(&id).expect("a listed engine");
            (key, id, engine)
        });
        Self {
            planner,
            engines: keyed.collect(),
            config,
            service,
            now_ms: 0,
            demand: EntryDemand::default(),
            random: fastrand::Rng::with_seed(setup.seed),
            loss_percent: setup.loss_percent,
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

    /// Number of engines that hold a model.
    pub fn copies(&self, model: &ModelName) -> usize {
        self.engines
            .iter()
            .filter(|(_, _, engine)| engine.models.contains_key(model))
            .count()
    }

    /// Number of loads from the weight store in progress.
    pub fn store_loads(&self) -> usize {
        let running = self
            .engines
            .iter()
            .filter_map(|(_, _, engine)| engine.running.as_ref());
        running.filter(|running| running.3).count()
    }

    /// Whether an order for a model is in progress at any engine.
    pub fn is_loading(&self, model: &ModelName) -> bool {
        let mut running = self
            .engines
            .iter()
            .filter_map(|(_, _, engine)| engine.running.as_ref());
        running.any(|running| running.1 == *model)
    }

    /// Whether an order is in progress at an engine.
    pub fn is_loading_at(&self, engine: usize) -> bool {
        self.engines[engine].2.running.is_some()
    }

    /// Adds arrived requests for a model to the next report.
    pub fn add_arrivals(&mut self, model: &ModelName, count: u32) {
        self.demand
            .asked
            .push(ArrivedRequests(model.clone(), count));
    }

    /// Adds one arrived request for a model every `period_ms`.
    pub fn add_arrival_every(&mut self, model: &ModelName, period_ms: u64) {
        if self.now_ms.is_multiple_of(period_ms) {
            self.add_arrivals(model, 1);
        }
    }

    /// Reports a request that waits for a model, or one that arrived if an engine has the model.
    pub fn wait_for_model(&mut self, model: &ModelName, rank: u8) {
        self.wait_for_need(model, None, rank);
    }

    /// Reports a request that waits for an adapter, or one that arrived if an engine has it.
    pub fn wait_for_adapter(&mut self, model: &ModelName, adapter: &AdapterName) {
        self.wait_for_need(model, Some(adapter.clone()), 1);
    }

    /// Disconnects an engine: it answers no calls, and the entry reports it as unreachable.
    pub fn disconnect(&mut self, engine: usize) {
        self.engines[engine].2.is_disconnected = true;
        let id = self.engines[engine].1.clone();
        self.demand.unreachable.push(id);
    }

    /// Whether a load of a model from the weight store is in progress.
    pub fn is_store_loading(&self, model: &ModelName) -> bool {
        let mut running = self
            .engines
            .iter()
            .filter_map(|(_, _, engine)| engine.running.as_ref());
        running.any(|running| running.3 && running.1 == *model)
    }

    /// Removes a model from an engine without an order.
    pub fn drop_model(&mut self, engine: usize, model: &ModelName) {
        self.engines[engine].2.models.remove(model);
    }

    /// Reports an engine that lacks a model which it should have.
    pub fn report_lacking(&mut self, engine: usize) {
        let id = self.engines[engine].1.clone();
        self.demand.lacking.push(id);
    }

    /// Puts a copy on an engine's disk that the upstream list does not state.
    pub fn put_on_disk(&mut self, engine: usize, model: &ModelName) {
        self.engines[engine].2.on_disk.insert(model.clone());
    }

    /// Tells the planner how long work takes at an engine, relative to its peers.
    pub fn set_duration(&mut self, engine: usize, factor: f64) {
        let duration = DurationFactor::clamped(factor);
        let durations = [(&self.engines[engine].1, duration)].into_iter().collect();
        self.planner.set_durations(&durations);
    }

    /// Number of orders that engines accepted.
    pub fn orders(&self) -> u64 {
        let engines = self.engines.iter();
        engines.map(|(_, _, engine)| engine.order_count).sum()
    }

    /// Number of orders that engines refused because another one was in progress.
    pub fn overlapping_orders(&self) -> u64 {
        let engines = self.engines.iter();
        engines
            .map(|(_, _, engine)| engine.overlapping_orders)
            .sum()
    }

    /// Milliseconds until the planner expects a model to be usable.
    pub fn forecast_ms(&self, model: &ModelName) -> u64 {
        let need = ModelNeed::whole(model.clone());
        self.planner
            .forecast_ms(MonoTime::from_millis(self.now_ms), &need)
    }

    /// Drops the answer to the next order, which the engine carries out or never receives.
    pub const fn lose_next_answer(&mut self, is_carried_out: bool) {
        self.next_loss = Some(is_carried_out);
    }

    /// Adds random demand for a model or adapter, or none.
    pub fn random_demand(&mut self) {
        let names: Vec<ModelName> = self.config.models.keys().cloned().collect();
        let model = names[self.random.usize(..names.len())].clone();
        match self.random.u8(..4) {
            0 => self.add_arrivals(&model, 3),
            1 => {
                let rank = self.random.u8(..3);
                self.wait_for_model(&model, rank);
            }
            2 => {
                let adapter = format!("a{}", self.random.u8(..12));
                self.wait_for_adapter(&model, &AdapterName::from(adapter.as_str()));
            }
            _ => {}
        }
    }

    /// Runs the fleet without new demand.
    pub fn run(&mut self, duration_ms: u64, step_ms: u64) {
        for _ in 0..duration_ms / step_ms {
            self.step(step_ms);
        }
    }

    /// Whether `duration_ms` have passed since the start.
    pub const fn has_run_ms(&self, duration_ms: u64) -> bool {
        self.now_ms >= duration_ms
    }

    /// Advances time by `step_ms`, reports demand if due, and carries out the planner's calls.
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
                .apply_demand(now, InstanceName::from("entry"), demand);
        }
        for action in self.planner.tick(now) {
            self.perform(now, action);
        }
    }

    /// Asserts that no engine exceeds its memory or adapter slots.
    pub fn assert_within_limits(&self) {
        for (_, id, engine) in &self.engines {
            let used_mb = engine.used_mb(|model| self.config.models[model].memory_mb);
            assert!(used_mb <= ENGINE_MB, "{id} holds {used_mb} MB");
            assert!(
                engine.adapter_count() <= ADAPTER_SLOTS,
                "{id} holds too many adapters"
            );
        }
    }

    fn wait_for_need(&mut self, model: &ModelName, adapter: Option<AdapterName>, rank: u8) {
        let need = ModelNeed {
            model: model.clone(),
            adapter,
            software: None,
        };
        let is_loaded = self.engines.iter().any(|(_, _, engine)| {
            let adapters = engine.models.get(model);
            let has = |name: &AdapterName| adapters.is_some_and(|held| held.contains(name));
            !engine.is_disconnected && adapters.is_some() && need.adapter.as_ref().is_none_or(has)
        });
        if is_loaded {
            self.add_arrivals(model, 1);
            return;
        }
        self.demand.wants.retain(|waiting| waiting.need != need);
        self.demand.wants.push(WaitingRequests {
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
                let report = (!engine.is_disconnected).then(|| engine.report());
                self.planner.apply_report(now, key, report.as_ref());
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
                if engine.is_disconnected || loss == Some(false) {
                    self.planner.apply_answer(now, key, None);
                    return;
                }
                let answer = engine.order(now_ms, verb, &need, precondition);
                self.planner
                    .apply_answer(now, key, loss.is_none().then_some(answer));
            }
        }
    }

    /// `None` if the next answer arrives, otherwise whether its order is carried out.
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
    let names = fleet.config.models.keys();
    names
        .filter(|model| fleet.copies(model) == 0)
        .cloned()
        .collect()
}

fn engine_config(models: usize, slots: u32) -> EngineConfig {
    let configs = (0..models).map(|number| {
        let config = ModelConfig {
            memory_mb: SIZES_MB[number % SIZES_MB.len()],
            adapter_count: 0,
            adapter_mb: ADAPTER_MB,
            store_load_ms: STORE_LOAD_MS,
            disk_load_ms: DISK_LOAD_MS,
        };
        (ModelName::from(format!("m{number:02}").as_str()), config)
    });
    EngineConfig {
        slots,
        memory_mb: ENGINE_MB,
        adapter_slots: ADAPTER_SLOTS,
        loads_per_s: 10.0,
        models: configs.collect::<BTreeMap<_, _>>(),
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
        software: None,
        address: ([127, 0, 0, 1], 1).into(),
        zone: ZoneName::from("zone"),
        slots: 32,
        phase: UpstreamPhase::Ready,
        models: models.collect(),
        local_copies: engine.on_disk.iter().cloned().collect(),
    }
}
