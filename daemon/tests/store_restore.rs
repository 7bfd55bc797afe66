//! A store that comes back from an older copy, whose version then passes the position of a gateway
//! that did not read meanwhile.

use std::path::Path;
use std::time::{Duration, Instant};

use quetzalpin_platform_soak::{
    CallOutcome, FleetSize, SoakCall, SoakFleet, StoreRows, WorkerKind, call_gateway,
    encode_catalog,
};

const SIZE: FleetSize = FleetSize {
    gateways: 1,
    engines: 1,
    plain_workers: 2,
};

/// A fleet in which one gateway plans and another one can reach the store for it.
const SIZE_WITH_PEER: FleetSize = FleetSize {
    gateways: 2,
    ..SIZE
};

/// Term of the planner's lease in the fleet.
const LEASE_TERM: Duration = Duration::from_secs(5);

/// Log line of a gateway that begins to plan.
const PLANNING_BEGUN: &str = "\"planning begun\"";

/// Longest time that a test waits for an event.
const EVENT_LIMIT: Duration = Duration::from_secs(20);

/// Time between two checks of a condition.
const POLL: Duration = Duration::from_millis(50);

/// Time after which a gateway has read up to the newest version.
const READ_TIME: Duration = Duration::from_secs(3);

/// Number of versions by which the copy is older.
const LOST_VERSIONS: u64 = 40;

/// Table whose rows nobody reads.
const OTHER_TABLE: &str = "other";

/// Version of the configuration that is written after the return.
const NEW_CATALOG: u64 = 2;

/// Runs a case on a fleet whose store has since had `LOST_VERSIONS` more versions than the copy
/// that the case gets.
fn with_older_copy(case: impl AsyncFnOnce(&SoakFleet, StoreRows)) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let daemon = Path::new(env!("CARGO_BIN_EXE_quetzalpind"));
        let spawning = SoakFleet::spawn_ready(daemon, SIZE);
        let fleet = spawning.await.expect("a ready fleet");
        let copy = fleet.store.state.rows.borrow().clone();
        advance_store(&fleet, LOST_VERSIONS);
        compio::time::sleep(READ_TIME).await;
        case(&fleet, copy).await;
    });
}

/// Writes rows that nobody reads, so that the store's version rises.
fn advance_store(fleet: &SoakFleet, versions: u64) {
    for number in 0..versions {
        let store = &fleet.store.state;
        store.put(OTHER_TABLE, &format!("row-{number}"), String::new());
    }
}

async fn probe(fleet: &SoakFleet) -> CallOutcome {
    call_gateway(
        fleet.gateways[0].process.address,
        &SoakCall::probe(NEW_CATALOG),
    )
    .await
}

/// Guards against CONFIG: a configuration that was written after the return, below the position of
/// a gateway, never comes into force there.
#[test]
fn a_configuration_written_below_the_position_after_a_restore_comes_into_force() {
    with_older_copy(async |fleet, copy| {
        let store = &fleet.store.state;
        store.restore(copy);
        store.put("op", "config", encode_catalog(NEW_CATALOG));
        advance_store(fleet, 4 * LOST_VERSIONS);
        let deadline = Instant::now() + EVENT_LIMIT;
        loop {
            let outcome = probe(fleet).await;
            if matches!(outcome, CallOutcome::Answer(_)) {
                break;
            }
            assert!(Instant::now() < deadline, "not served: {outcome:?}");
            compio::time::sleep(POLL).await;
        }
    });
}

/// Guards against DRAIN: the removal of an upstream that was written after the return, below the
/// position of a gateway, is never read there.
#[test]
fn a_removal_written_below_the_position_after_a_restore_is_noticed() {
    with_older_copy(async |fleet, copy| {
        let store = &fleet.store.state;
        let plain = fleet.workers.iter().map(|worker| &worker.worker.state);
        let removed = plain
            .into_iter()
            .find(|worker| worker.kind == WorkerKind::Plain)
            .expect("a plain worker");
        store.restore(copy);
        store.remove("servers", &removed.id);
        advance_store(fleet, 4 * LOST_VERSIONS);
        let gone = format!("\"upstream gone\",\"upstream\":\"{}\"", removed.id);
        let deadline = Instant::now() + EVENT_LIMIT;
        while !fleet.gateways[0].process.log().contains(&gone) {
            assert!(Instant::now() < deadline, "the upstream is still known");
            compio::time::sleep(POLL).await;
        }
    });
}

/// Runs a case on a fleet of two gateways, of which the first given one plans.
fn with_planner(case: impl AsyncFnOnce(&SoakFleet, usize)) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let daemon = Path::new(env!("CARGO_BIN_EXE_quetzalpind"));
        let spawning = SoakFleet::spawn_ready(daemon, SIZE_WITH_PEER);
        let fleet = spawning.await.expect("a ready fleet");
        compio::time::sleep(READ_TIME).await;
        let planner = usize::from(plans(&fleet, 1) > 0);
        case(&fleet, planner).await;
    });
}

/// How often a gateway has begun to plan.
fn plans(fleet: &SoakFleet, gateway: usize) -> usize {
    let log = fleet.gateways[gateway].process.log();
    log.matches(PLANNING_BEGUN).count()
}

fn cut_from_store(fleet: &SoakFleet, gateway: usize) {
    let proxy = &fleet.gateways[gateway].store_proxy;
    proxy.set_refusing(true);
    proxy.close_connections();
}

/// Puts the store back to a copy that lacks nothing.
fn restore_store(fleet: &SoakFleet) {
    let store = &fleet.store.state;
    let copy = store.rows.borrow().clone();
    store.restore(copy);
    fleet.rewrite_catalog();
}

/// Waits until a gateway plans after the restore.
async fn wait_for_planner(fleet: &SoakFleet) {
    let deadline = Instant::now() + EVENT_LIMIT;
    while plans(fleet, 0) + plans(fleet, 1) < 2 {
        assert!(Instant::now() < deadline, "nobody plans");
        compio::time::sleep(POLL).await;
    }
}

/// Guards against a fleet without a planner: the planner cannot reach the store when it comes back,
/// loses its lease and still answers, so that no other gateway looks for a free lease.
#[test]
fn a_planner_that_lost_its_lease_to_a_restore_has_a_successor() {
    with_planner(async |fleet, planner| {
        cut_from_store(fleet, planner);
        fleet.gateways[planner].process.pause();
        restore_store(fleet);
        // The planner is back after its lease has ended and before another gateway may take it.
        compio::time::sleep(LEASE_TERM * 9 / 10).await;
        fleet.gateways[planner].process.resume();
        wait_for_planner(fleet).await;
    });
}

/// Guards against a fleet without a planner for a term: the planner cannot reach the store when it
/// comes back, and loses its lease although another gateway could read and write it.
#[test]
fn a_planner_that_is_cut_off_from_a_restored_store_goes_on_by_way_of_a_peer() {
    with_planner(async |fleet, planner| {
        cut_from_store(fleet, planner);
        restore_store(fleet);
        wait_for_planner(fleet).await;
        assert_eq!(plans(fleet, planner), 2, "another gateway plans");
    });
}
