//! A planner with engines that have too little room for their models, and a weight store that slows
//! down under concurrent loads. No sockets.
#![allow(dead_code, reason = "each test file uses another part")]

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use quetzalpin::fleet::{
    CallerLimits, EngineConfig, FeedVersion, FleetCatalog, HeldModel, ModelConfig, ModelNeed,
    ServiceConfig, UpstreamChange, UpstreamEntry, UpstreamKey, UpstreamPhase, UpstreamRoster,
    UpstreamUpdate,
};
use quetzalpin::orders::{
    ArrivedRequests, EngineReport, EntryDemand, LoadSource, OrderAnswer, OrderPlanner, OrderVerb,
    PlannerAction, PlannerPolicy, WaitingRequests,
};
use quetzalpin::prelude::*;

const STEP_MS: u64 = 50;
const REPORT_MS: u64 = 500;
const ENGINE_MB: f64 = 230_000.0;
const MODEL_MB: f64 = 70_000.0;
const STORE_LOAD_MS: u64 = 13_200;
const DISK_LOAD_MS: u64 = 1_000;
const UNLOAD_MS: f64 = 40.0;

/// Size of a fleet. Each engine has room for three models and holds its first ones at the start.
#[derive(Debug, Clone, Copy)]
pub struct RoomSetup {
    pub engines: usize,
    pub models: usize,
    /// Models that each engine holds at the start.
    pub held: usize,
    /// Loads that the store carries at full speed.
    pub full_speed: usize,
}

impl Default for RoomSetup {
    fn default() -> Self {
        Self {
            engines: 6,
            models: 36,
            held: 1,
            full_speed: 1,
        }
    }
}

#[derive(Debug)]
struct RoomEngine {
    id: UpstreamId,
    order_count: u64,
    models: BTreeSet<ModelName>,
    on_disk: BTreeSet<ModelName>,
    /// Verb, model, milliseconds of work left, and whether the store does the work.
    running: Option<(OrderVerb, ModelName, f64, bool)>,
}

/// Engines, their planner, and one entry that reports demand.
pub struct RoomFleet {
    planner: OrderPlanner,
    engines: Vec<(UpstreamKey, RoomEngine)>,
    names: Vec<ModelName>,
    demand: EntryDemand,
    now_ms: u64,
    setup: RoomSetup,
    /// Store loads begun, by model.
    pub store_loads_of: BTreeMap<ModelName, u32>,
}

impl RoomFleet {
    pub fn open(setup: RoomSetup) -> Self {
        let names: Vec<ModelName> = (0..setup.models)
            .map(|number| ModelName::from(format!("m{number:03}").as_str()))
            .collect();
        let engines: Vec<RoomEngine> = (0..setup.engines)
            .map(|number| {
                let held = (0..setup.held).map(|slot| names[number * setup.held + slot].clone());
                let models: BTreeSet<ModelName> = held.collect();
                RoomEngine {
                    id: UpstreamId::from(format!("i-{number}").as_str()),
                    order_count: 0,
                    on_disk: models.clone(),
                    models,
                    running: None,
                }
            })
            .collect();
        let mut roster = UpstreamRoster::open();
        let changes = engines
            .iter()
            .map(|engine| UpstreamChange::Listed(entry_of(engine)));
        let update = UpstreamUpdate {
            version: FeedVersion::in_first_era(1),
            newest_change: FeedVersion::in_first_era(1),
            is_snapshot: true,
            changes: changes.collect(),
        };
        roster.apply(MonoTime::default(), update);
        let mut planner = OrderPlanner::open(PlannerPolicy::default(), 1, MonoTime::default());
        planner.set_catalog(Rc::new(catalog(&names)));
        planner.apply_roster(MonoTime::default(), &roster);
        let keyed = engines.into_iter().map(|engine| {
            let key = roster.key_of(&engine.id).expect("a listed engine");
            (key, engine)
        });
        Self {
            planner,
            engines: keyed.collect(),
            names,
            demand: EntryDemand::default(),
            now_ms: 0,
            setup,
            store_loads_of: BTreeMap::new(),
        }
    }

    pub const fn now_ms(&self) -> u64 {
        self.now_ms
    }

    pub fn copies(&self, model: usize) -> usize {
        let engines = self.engines.iter();
        let holders = engines.filter(|(_, engine)| engine.models.contains(&self.names[model]));
        holders.count()
    }

    /// Loads from the weight store in progress.
    pub fn store_loads(&self) -> usize {
        let running = self
            .engines
            .iter()
            .filter_map(|(_, engine)| engine.running.as_ref());
        running.filter(|running| running.3).count()
    }

    pub fn is_loading(&self, model: usize) -> bool {
        let mut running = self
            .engines
            .iter()
            .filter_map(|(_, engine)| engine.running.as_ref());
        running.any(|running| running.0 == OrderVerb::Load && running.1 == self.names[model])
    }

    /// Loads of a model from the store that were begun.
    pub fn begun_store_loads(&self, model: usize) -> u32 {
        let begun = self.store_loads_of.get(&self.names[model]);
        begun.copied().unwrap_or(0)
    }

    pub fn forecast_ms(&self, model: usize) -> u64 {
        let need = ModelNeed::whole(self.names[model].clone());
        self.planner
            .forecast_ms(MonoTime::from_millis(self.now_ms), &need)
    }

    /// Adds requests that arrived and run, if an engine has the model.
    pub fn add_arrivals(&mut self, model: usize, count: u32) {
        let name = self.names[model].clone();
        self.demand.asked.push(ArrivedRequests(name, count));
    }

    /// Reports requests that wait for a model no engine has. `left_ms` is how long the last of them
    /// can still wait.
    pub fn wait_for_model(&mut self, model: usize, rank: u8, left_ms: u32) {
        self.wait_for(model, rank, 1, left_ms);
    }

    pub fn wait_for(&mut self, model: usize, rank: u8, count: u32, left_ms: u32) {
        let need = ModelNeed::whole(self.names[model].clone());
        let is_known = self.demand.wants.iter().any(|waiting| waiting.need == need);
        if self.copies(model) > 0 || is_known {
            return;
        }
        self.demand.wants.push(WaitingRequests {
            need,
            service: ServiceName::from("engines"),
            count,
            rank,
            waited_ms: 0,
        });
        self.demand.left_ms.push(left_ms);
    }

    /// Advances time, reports demand if due, and carries out the planner's calls.
    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.advance_engines();
        let now = MonoTime::from_millis(self.now_ms);
        if self.now_ms.is_multiple_of(REPORT_MS) {
            let demand = std::mem::take(&mut self.demand);
            self.planner
                .apply_demand(now, InstanceName::from("entry"), demand);
        }
        for action in self.planner.tick(now) {
            self.perform(now, action);
        }
    }

    pub fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / STEP_MS {
            self.step();
        }
    }

    /// Lets loads from the store share its speed.
    #[allow(clippy::cast_precision_loss)]
    fn advance_engines(&mut self) {
        let concurrent = self.store_loads().max(1) as f64;
        let speed = (self.setup.full_speed as f64 / concurrent).min(1.0);
        for (_, engine) in &mut self.engines {
            let Some((verb, model, left_ms, is_store)) = engine.running.take() else {
                continue;
            };
            let work_ms = STEP_MS as f64 * if is_store { speed } else { 1.0 };
            if left_ms > work_ms {
                engine.running = Some((verb, model, left_ms - work_ms, is_store));
            } else if verb == OrderVerb::Load {
                engine.on_disk.insert(model.clone());
                engine.models.insert(model);
            } else {
                engine.models.remove(&model);
            }
        }
    }

    fn perform(&mut self, now: MonoTime, action: PlannerAction) {
        match action {
            PlannerAction::Read { key, .. } => {
                let report = self.engine(key).report();
                self.planner.apply_report(now, key, Some(&report));
            }
            PlannerAction::Order {
                key,
                verb,
                need,
                precondition,
                basis,
                ..
            } => {
                let engine = self.engine(key);
                if precondition != engine.order_count || engine.running.is_some() {
                    self.planner
                        .apply_answer(now, key, Some(OrderAnswer::Conflict));
                    return;
                }
                engine.order_count += 1;
                let is_store = verb == OrderVerb::Load && basis.source == LoadSource::Store;
                engine.running =
                    Some((verb, need.model.clone(), work_ms(verb, is_store), is_store));
                if is_store {
                    *self.store_loads_of.entry(need.model).or_default() += 1;
                }
                self.planner
                    .apply_answer(now, key, Some(OrderAnswer::Accepted));
            }
        }
    }

    fn engine(&mut self, key: UpstreamKey) -> &mut RoomEngine {
        let found = self.engines.iter_mut().find(|(known, _)| *known == key);
        &mut found.expect("an engine of the fleet").1
    }
}

impl RoomEngine {
    fn held(&self) -> Vec<HeldModel> {
        let models = self.models.iter().map(|model| HeldModel {
            model: model.clone(),
            version: 1,
            adapters: Vec::new(),
        });
        models.collect()
    }

    fn report(&self) -> EngineReport {
        EngineReport {
            started_at_ms: None,
            order_count: self.order_count,
            is_busy: self.running.is_some(),
            models: self.held(),
            local_copies: self.on_disk.iter().cloned().collect(),
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn work_ms(verb: OrderVerb, is_store: bool) -> f64 {
    match verb {
        OrderVerb::Load if is_store => STORE_LOAD_MS as f64,
        OrderVerb::Load => DISK_LOAD_MS as f64,
        OrderVerb::Unload => UNLOAD_MS,
    }
}

fn entry_of(engine: &RoomEngine) -> UpstreamEntry {
    UpstreamEntry {
        id: engine.id.clone(),
        started_at_ms: 1,
        service: ServiceName::from("engines"),
        software: None,
        address: ([127, 0, 0, 1], 1).into(),
        zone: ZoneName::from("zone"),
        slots: 32,
        phase: UpstreamPhase::Ready,
        models: engine.held(),
        local_copies: engine.on_disk.iter().cloned().collect(),
    }
}

fn catalog(names: &[ModelName]) -> FleetCatalog {
    let configs = names.iter().map(|name| {
        let config = ModelConfig {
            memory_mb: MODEL_MB,
            adapter_count: 0,
            adapter_mb: 0.0,
            store_load_ms: STORE_LOAD_MS,
            disk_load_ms: DISK_LOAD_MS,
        };
        (name.clone(), config)
    });
    let service = ServiceConfig {
        name: ServiceName::from("engines"),
        engine: Some(EngineConfig {
            slots: 32,
            memory_mb: ENGINE_MB,
            adapter_slots: 8,
            loads_per_s: 29.0,
            models: configs.collect(),
        }),
    };
    FleetCatalog::open(1, CallerLimits { body_bytes: 1 }, Vec::new(), vec![service])
}
