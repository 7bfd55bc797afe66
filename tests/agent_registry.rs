//! What an entry knows of agents between their reports.

use quetzalpin::entry::{AgentRegistry, EntryLocation, RequestNeeds};
use quetzalpin::prelude::*;
use quetzalpin::routing::{RouteChoice, RouteChooser, RouteContext, RouteReason};
use quetzalpin::rpc::{AgentReport, RankWait, ReplicaReport, ReplicaState};

/// Service time of a request in milliseconds.
const SERVICE_MS: u64 = 200;

/// Load time of the model in milliseconds.
const LOAD_MS: u64 = 400;

fn report(instance: &str, sequence: u64) -> AgentReport {
    AgentReport {
        instance: InstanceName::from(instance),
        start_id: 1,
        sequence,
        address: ([127, 0, 0, 1], 1).into(),
        zone: ZoneName::from("zone"),
        region: RegionName::from("region"),
        service: None,
        leaving: false,
        healthy: true,
        boot_id: Some(1),
        memory_mb: 200_000,
        settings_revision: 1,
        running: 0,
        // The limit of an agent on a busy machine.
        limit: 1,
        first_ms: SERVICE_MS,
        token_us: 0,
        mean_ms: SERVICE_MS,
        ranks: vec![RankWait {
            rank: RankName::from("normal"),
            wait_ms: 0,
        }],
        replicas: vec![ReplicaReport {
            replica: ReplicaName::from("m2@1"),
            state: ReplicaState::Granted,
            ready_ms: LOAD_MS,
            running: 0,
            waiting: 0,
            arrived: 0,
        }],
        cached: Vec::new(),
        crashes: Vec::new(),
    }
}

fn registry() -> AgentRegistry {
    let mut registry = AgentRegistry::open(EntryLocation {
        zone: ZoneName::from("zone"),
        region: RegionName::from("region"),
    });
    for instance in ["worker-0", "worker-1"] {
        registry.record_report(MonoTime::default(), report(instance, 1));
    }
    registry
}

/// Chooses an upstream for a request and records that it was sent there.
fn send(registry: &mut AgentRegistry, now: MonoTime) -> (InstanceName, RouteChoice) {
    let replica = ReplicaName::from("m2@1");
    let rank = RankName::from("normal");
    let needs = RequestNeeds {
        rank: &rank,
        is_stream: false,
        tokens: 4,
    };
    let targets = registry.replica_targets(now, &replica, needs);
    let context = RouteContext {
        remaining_ms: 10_000,
        affinity_key: "",
        wake_key: replica.as_str(),
        suspect_key: None,
    };
    let choice = RouteChooser.choose(&targets, context).expect("a choice");
    let instance = targets[choice.index].instance.clone();
    registry.note_sent(&instance, SERVICE_MS);
    if choice.reason == RouteReason::Wake {
        registry.note_woken(now, &instance, &replica);
    }
    (instance, choice)
}

/// A burst for an idle model goes to the upstream that the first request of the burst wakes. The
/// waits that pile up there before its agent reports the load must not wake a second one.
#[test]
fn a_burst_wakes_one_upstream() {
    let mut registry = registry();
    let now = MonoTime::from_millis(10);
    let (first, _) = send(&mut registry, now);
    for _ in 0..10 {
        assert_eq!(send(&mut registry, now).0, first);
    }
    // A report that was made before the requests arrived changes nothing.
    registry.record_report(now, report(first.as_str(), 2));
    assert_eq!(send(&mut registry, now).0, first);
}

/// A load that the agent never reports is not waited for.
#[test]
fn a_wake_is_forgotten_after_some_time() {
    let mut registry = registry();
    let (first, _) = send(&mut registry, MonoTime::from_millis(10));
    for _ in 0..10 {
        registry.note_sent(&first, SERVICE_MS);
    }
    let later = MonoTime::from_millis(2_100);
    assert_ne!(send(&mut registry, later).0, first);
}
