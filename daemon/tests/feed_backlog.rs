//! Gateways that have missed changes of the platform, on a slow link.

use std::path::Path;
use std::time::{Duration, Instant};

use quetzalpin_platform_soak::{
    CallOutcome, FleetSize, SoakCall, SoakFleet, call_gateway, encode_wide_catalog,
};

const SIZE: FleetSize = FleetSize {
    gateways: 1,
    engines: 1,
    plain_workers: 2,
};

/// Milliseconds that the link takes for each 16 KiB: about 680 KB a second.
const LINK_DELAY_MS: u64 = 24;

/// Time for which the gateway does not reach the store.
const AWAY: Duration = Duration::from_secs(2);

/// Longest time until the newest configuration is in force.
const EVENT_LIMIT: Duration = Duration::from_secs(20);

/// Time between two checks of a condition.
const POLL: Duration = Duration::from_millis(100);

/// Runs a case on a fleet whose gateway cannot reach the store, and then reaches it by a slow link.
/// The newest configuration that the case writes must come into force.
fn with_slow_link(write_changes: impl FnOnce(&SoakFleet) -> u64) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let daemon = Path::new(env!("CARGO_BIN_EXE_quetzalpind"));
        let spawning = SoakFleet::spawn_ready(daemon, SIZE);
        let fleet = spawning.await.expect("a ready fleet");
        let link = &fleet.gateways[0].store_proxy;
        link.set_refusing(true);
        link.close_connections();
        let version = write_changes(&fleet);
        compio::time::sleep(AWAY).await;
        link.set_delay(LINK_DELAY_MS);
        link.set_refusing(false);
        wait_in_force(&fleet, version).await;
    });
}

async fn wait_in_force(fleet: &SoakFleet, version: u64) {
    let deadline = Instant::now() + EVENT_LIMIT;
    loop {
        let outcome = probe(fleet, version).await;
        if matches!(outcome, CallOutcome::Answer(_)) {
            return;
        }
        let is_late = Instant::now() >= deadline;
        assert!(!is_late, "not served: {outcome:?}\n{}", failed_reads(fleet));
        compio::time::sleep(POLL).await;
    }
}

/// What the gateway logged of its reads.
fn failed_reads(fleet: &SoakFleet) -> String {
    let log = fleet.gateways[0].process.log();
    let lines = log.lines().filter(|line| line.contains("read failed"));
    lines.collect::<Vec<_>>().join("\n")
}

/// Calls the route that a version added.
async fn probe(fleet: &SoakFleet, version: u64) -> CallOutcome {
    call_gateway(fleet.gateways[0].process.address, &SoakCall::probe(version)).await
}

/// Guards against CONFIG: a gateway that has missed versions asks for each of them, their answer takes
/// longer than a call may, and the gateway falls further behind with each version.
#[test]
fn a_gateway_that_missed_many_versions_reads_the_newest() {
    with_slow_link(|fleet| {
        let newest = 12;
        for version in 2..=newest {
            let catalog = encode_wide_catalog(version, 1_400);
            fleet.store.state.put("op", "config", catalog);
        }
        newest
    });
}

/// Guards against CONFIG: a configuration that takes longer to arrive than the limit of a call is given
/// up and begun again for ever, although its parts keep arriving.
#[test]
fn a_configuration_that_keeps_arriving_is_read_to_its_end() {
    with_slow_link(|fleet| {
        let catalog = encode_wide_catalog(2, 4_200);
        fleet.store.state.put("op", "config", catalog);
        2
    });
}

/// Guards against CONFIG: a gateway that cannot read the configuration refuses a route that has been
/// added with 404, which tells the caller that there is none.
#[test]
fn a_missing_route_is_not_refused_for_good_while_the_configuration_cannot_be_read() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let daemon = Path::new(env!("CARGO_BIN_EXE_quetzalpind"));
        let spawning = SoakFleet::spawn_ready(daemon, SIZE);
        let fleet = spawning.await.expect("a ready fleet");
        assert_eq!(probe(&fleet, 2).await, CallOutcome::Status(404));
        let link = &fleet.gateways[0].store_proxy;
        link.set_refusing(true);
        link.close_connections();
        fleet
            .wait_for_log("\"read failed\",\"dependency\":\"configuration\"", 2)
            .await;
        fleet.change_catalog();
        assert_eq!(probe(&fleet, 2).await, CallOutcome::Status(503));
        link.set_refusing(false);
        wait_in_force(&fleet, 2).await;
        fleet
            .wait_for_log(
                "\"dependency regained\",\"dependency\":\"configuration\"",
                1,
            )
            .await;
        assert_eq!(probe(&fleet, 3).await, CallOutcome::Status(404));
    });
}
