//! Engines that start again under their ID before the list of upstreams tells.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use quetzalpin::fleet::{
    CallerLimits, EngineConfig, FeedVersion, FleetCatalog, HeldModel, ServiceConfig,
    UpstreamChange, UpstreamEntry, UpstreamKey, UpstreamPhase, UpstreamRoster, UpstreamUpdate,
};
use quetzalpin::orders::{EngineReport, OrderPlanner, PlannerPolicy};
use quetzalpin::prelude::*;

const LISTED_START_MS: u64 = 5;

fn held() -> Vec<HeldModel> {
    vec![HeldModel {
        model: ModelName::from("m1"),
        version: 1,
        adapters: Vec::new(),
    }]
}

fn roster() -> (UpstreamRoster, UpstreamKey) {
    let id = UpstreamId::from("i-1");
    let entry = UpstreamEntry {
        id: id.clone(),
        started_at_ms: LISTED_START_MS,
        service: ServiceName::from("engines"),
        software: Some(SoftwareVersion::from("1")),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        zone: ZoneName::from("zone"),
        slots: 4,
        phase: UpstreamPhase::Ready,
        models: held(),
        local_copies: Vec::new(),
    };
    let mut roster = UpstreamRoster::open();
    let update = UpstreamUpdate {
        version: FeedVersion::in_first_era(1),
        newest_change: FeedVersion::in_first_era(1),
        is_snapshot: true,
        changes: vec![UpstreamChange::Listed(entry)],
    };
    roster.apply(MonoTime::from_millis(0), update);
    let key = roster.key_of(&id).expect("a listed upstream");
    (roster, key)
}

/// Models that entries may use at the engine after it has reported a start.
fn usable_models(reported_start_ms: Option<u64>) -> usize {
    let now = MonoTime::from_millis(1_000);
    let (roster, key) = roster();
    let mut planner = OrderPlanner::open(PlannerPolicy::default(), 1, now);
    planner.set_catalog(Rc::new(catalog()));
    planner.apply_roster(now, &roster);
    let report = EngineReport {
        started_at_ms: reported_start_ms,
        order_count: 0,
        is_busy: false,
        models: held(),
        local_copies: Vec::new(),
    };
    planner.apply_report(now, key, Some(&report));
    let update = planner.update_since(0, 0);
    update.holdings.iter().map(|held| held.models.len()).sum()
}

/// Guards against ORDER: an engine that started again, perhaps with other software, gets streams of its
/// earlier start while the list of upstreams lags behind.
#[test]
fn a_start_that_the_list_does_not_name_is_not_used() {
    assert_eq!(usable_models(Some(LISTED_START_MS)), 1);
    assert_eq!(usable_models(None), 1);
    assert_eq!(usable_models(Some(LISTED_START_MS + 1)), 0);
}

fn catalog() -> FleetCatalog {
    let limits = CallerLimits {
        body_bytes: 1 << 20,
    };
    let engine = EngineConfig {
        slots: 4,
        memory_mb: 100.0,
        adapter_slots: 1,
        loads_per_s: 1.0,
        models: BTreeMap::new(),
    };
    let service = ServiceConfig {
        name: ServiceName::from("engines"),
        engine: Some(engine),
    };
    FleetCatalog::open(1, limits, Vec::new(), vec![service])
}
