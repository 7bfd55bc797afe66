//! `quetzalpin bench planner`: processor time of the order planner by fleet size.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use quetzalpin::fleet::{
    CallerLimits, EngineConfig, FeedVersion, FleetCatalog, HeldModel, ModelConfig, ModelNeed,
    ServiceConfig, UpstreamChange, UpstreamEntry, UpstreamPhase, UpstreamRoster, UpstreamUpdate,
};
use quetzalpin::orders::{
    ArrivedRequests, EngineReport, EntryDemand, OrderAnswer, OrderPlanner, PlannerAction,
    PlannerPolicy, RunningRequests, WaitingRequests,
};
use quetzalpin::prelude::*;

use crate::flags::Planner;

/// Number of engines without `--engines`.
const DEFAULT_ENGINES: usize = 117;

/// Number of entries without `--entries`.
const DEFAULT_ENTRIES: usize = 68;

/// Models for each engine of the fleet.
const MODELS_PER_ENGINE: usize = 3;

/// Models that an engine has loaded.
const LOADED_MODELS: usize = 3;

/// Models that an engine has copies of on its disk.
const LOCAL_MODELS: usize = 8;

/// Models that requests wait for, per engine of the fleet, as a divisor.
const ENGINES_PER_WANT: usize = 4;

/// Engines to which an entry sends requests at a time.
const RUNS_PER_ENTRY: usize = 12;

/// Time between two ticks in milliseconds.
const TICK_MS: u64 = 20;

/// Ticks between two reports of an entry.
const TICKS_PER_REPORT: u64 = 12;

/// Simulated milliseconds.
const DURATION_MS: u64 = 10_000;

/// A planner with synthetic engines and entries.
struct PlannerLoad {
    planner: OrderPlanner,
    upstreams: Vec<UpstreamEntry>,
    models: Vec<ModelName>,
    random: fastrand::Rng,
}

/// Time and number of the steps of one kind.
#[derive(Debug, Default)]
struct StepTime {
    total: Duration,
    count: u32,
}

impl StepTime {
    fn measure<T>(&mut self, step: impl FnOnce() -> T) -> T {
        let started_at = Instant::now();
        let result = step();
        self.total += started_at.elapsed();
        self.count += 1;
        result
    }

    fn mean_us(&self) -> f64 {
        self.total.as_secs_f64() * 1e6 / f64::from(self.count.max(1))
    }
}

/// Measures reports and ticks of a planner, without any input or output.
pub fn run(flags: &Planner) -> ExitCode {
    let engines = flags.engines.unwrap_or(DEFAULT_ENGINES).max(1);
    let entries = flags.entries.unwrap_or(DEFAULT_ENTRIES).max(1);
    let mut load = PlannerLoad::open(engines);
    let mut reporting = StepTime::default();
    let mut ticking = StepTime::default();
    let mut orders = 0;
    for tick in 1..=DURATION_MS / TICK_MS {
        let now = MonoTime::from_millis(tick * TICK_MS);
        let is_due = |entry: &usize| (*entry as u64 + tick).is_multiple_of(TICKS_PER_REPORT);
        for entry in (0..entries).filter(is_due) {
            let demand = load.demand();
            let name = InstanceName::from(format!("entry-{entry}").as_str());
            reporting.measure(|| load.planner.apply_demand(now, name, demand));
        }
        let actions = ticking.measure(|| load.planner.tick(now));
        orders += load.perform(now, actions);
    }
    let duration = Duration::from_millis(DURATION_MS);
    let share = (reporting.total + ticking.total).as_secs_f64() / duration.as_secs_f64();
    println!("{engines} engines, {entries} entries, {orders} orders in {duration:?}");
    println!(
        "report  {:8.1} us each, {}",
        reporting.mean_us(),
        reporting.count
    );
    println!(
        "tick    {:8.1} us each, {}",
        ticking.mean_us(),
        ticking.count
    );
    println!("share   {:8.1} % of a core", share * 100.0);
    ExitCode::SUCCESS
}

impl PlannerLoad {
    fn open(engines: usize) -> Self {
        let models: Vec<ModelName> = (0..engines * MODELS_PER_ENGINE)
            .map(|number| ModelName::from(format!("model{number:05}").as_str()))
            .collect();
        let upstreams: Vec<UpstreamEntry> = (0..engines)
            .map(|number| upstream_entry(number, &models))
            .collect();
        let mut roster = UpstreamRoster::open();
        let update = UpstreamUpdate {
            version: FeedVersion::in_first_era(1),
            newest_change: FeedVersion::in_first_era(1),
            is_snapshot: true,
            changes: upstreams
                .iter()
                .cloned()
                .map(UpstreamChange::Listed)
                .collect(),
        };
        roster.apply(MonoTime::default(), update);
        let mut planner = OrderPlanner::open(PlannerPolicy::default(), 1, MonoTime::default());
        planner.set_catalog(Rc::new(catalog(&models)));
        planner.apply_roster(MonoTime::default(), &roster);
        Self {
            planner,
            upstreams,
            models,
            random: fastrand::Rng::with_seed(1),
        }
    }

    /// Report of one entry: requests in flight at some engines, and a few that wait.
    fn demand(&mut self) -> EntryDemand {
        let mut demand = EntryDemand::default();
        for _ in 0..RUNS_PER_ENTRY {
            let upstream = &self.upstreams[self.random.usize(..self.upstreams.len())];
            let held = &upstream.models[self.random.usize(..LOADED_MODELS)];
            let runs = RunningRequests(upstream.id.clone(), held.model.clone(), 1);
            demand.runs.push(runs);
            if demand.asked.is_empty() {
                demand.asked.push(ArrivedRequests(held.model.clone(), 1));
            }
        }
        let wants = (self.upstreams.len() / ENGINES_PER_WANT).max(1);
        for _ in 0..2 {
            let model = self.models[self.models.len() - 1 - self.random.usize(..wants)].clone();
            demand.wants.push(WaitingRequests {
                need: ModelNeed::whole(model),
                service: ServiceName::from("engines"),
                count: 1,
                rank: self.random.u8(..3),
                waited_ms: 500,
            });
        }
        demand
    }

    /// Answers reads from the list and accepts orders. Returns the number of orders.
    fn perform(&mut self, now: MonoTime, actions: Vec<PlannerAction>) -> u32 {
        let mut orders = 0;
        for action in actions {
            match action {
                PlannerAction::Read { key, target } => {
                    let listed = self.upstreams.iter().find(|entry| entry.id == target.id);
                    let report = listed.map(|entry| EngineReport {
                        started_at_ms: None,
                        order_count: 0,
                        is_busy: false,
                        models: entry.models.clone(),
                        local_copies: entry.local_copies.clone(),
                    });
                    self.planner.apply_report(now, key, report.as_ref());
                }
                PlannerAction::Order { key, .. } => {
                    orders += 1;
                    let answer = Some(OrderAnswer::Accepted);
                    self.planner.apply_answer(now, key, answer);
                }
            }
        }
        orders
    }
}

fn upstream_entry(number: usize, models: &[ModelName]) -> UpstreamEntry {
    let model_at =
        |index: usize| models[(number * LOADED_MODELS / 2 + index) % models.len()].clone();
    let held = (0..LOADED_MODELS).map(|index| HeldModel {
        model: model_at(index),
        version: 1,
        adapters: Vec::new(),
    });
    UpstreamEntry {
        id: UpstreamId::from(format!("i-{number:08x}").as_str()),
        started_at_ms: 1,
        service: ServiceName::from("engines"),
        software: None,
        address: ([127, 0, 0, 1], 1).into(),
        zone: ZoneName::from("zone"),
        slots: 12,
        phase: UpstreamPhase::Ready,
        models: held.collect(),
        local_copies: (0..LOCAL_MODELS).map(model_at).collect(),
    }
}

fn catalog(models: &[ModelName]) -> FleetCatalog {
    let configs = models.iter().map(|model| {
        let config = ModelConfig {
            memory_mb: 60_000.0,
            adapter_count: 2,
            adapter_mb: 50.0,
            store_load_ms: 7_800,
            disk_load_ms: 500,
        };
        (model.clone(), config)
    });
    let engine = EngineConfig {
        slots: 12,
        memory_mb: 200_000.0,
        adapter_slots: 8,
        loads_per_s: 51.0,
        models: configs.collect::<BTreeMap<_, _>>(),
    };
    let service = ServiceConfig {
        name: ServiceName::from("engines"),
        engine: Some(engine),
    };
    FleetCatalog::open(1, CallerLimits { body_bytes: 1 }, Vec::new(), vec![service])
}
