//! How long requests can still wait for a model, from the gateway's registry to the planner's totals.
//! Load: requests with different deadlines wait for the same models at several gateways.

use quetzalpin::fleet::ModelNeed;
use quetzalpin::gateway::WaitRegistry;
use quetzalpin::orders::{DemandAggregator, EntryDemand};
use quetzalpin::prelude::*;

fn need(name: &str) -> ModelNeed {
    ModelNeed::whole(ModelName::from(name))
}

/// Demand of a gateway at 1 s with a waiting request for `m` for each of the times.
fn demand_until(limits_ms: &[u64]) -> EntryDemand {
    let registry = WaitRegistry::open();
    let service = ServiceName::from("engines");
    let arrived_at = MonoTime::from_millis(500);
    let registrations: Vec<_> = limits_ms
        .iter()
        .map(|limit_ms| {
            let until = MonoTime::from_millis(*limit_ms);
            registry.register(need("m"), &service, 1, arrived_at, until)
        })
        .collect();
    let now = MonoTime::from_millis(1_000);
    let demand = EntryDemand {
        wants: registry.wants(now),
        left_ms: registry.left_ms(now),
        ..EntryDemand::default()
    };
    drop(registrations);
    assert!(registry.left_ms(now).is_empty(), "a request is left behind");
    demand
}

/// Guards against a load that is not begun although the most patient request still gains from it.
#[test]
fn the_last_request_of_all_gateways_counts() {
    let now = MonoTime::from_millis(1_000);
    let mut aggregator = DemandAggregator::default();
    aggregator.record(
        now,
        InstanceName::from("a"),
        demand_until(&[3_000, 9_000, 2_000]),
    );
    aggregator.record(now, InstanceName::from("b"), demand_until(&[6_000]));
    let total = &aggregator.wants()[&need("m")];
    assert_eq!(total.usable_until, Some(MonoTime::from_millis(9_000)));
    assert!(total.gains_at(MonoTime::from_millis(9_000)));
    assert!(!total.gains_at(MonoTime::from_millis(9_001)));
}

/// Guards against refusals for requests of a gateway of an older version, which doesn't say how long
/// its requests can wait, while gateways are replaced one after the other.
#[test]
fn a_report_without_limits_counts_as_patient() {
    let now = MonoTime::from_millis(1_000);
    let mut aggregator = DemandAggregator::default();
    aggregator.record(now, InstanceName::from("new"), demand_until(&[2_000]));
    let old = EntryDemand {
        left_ms: Vec::new(),
        ..demand_until(&[2_000])
    };
    let text = serde_json::to_string(&old).expect("a report");
    assert!(!text.contains("\"p\""), "{text}");
    let old: EntryDemand = serde_json::from_str(&text).expect("a report");
    aggregator.record(now, InstanceName::from("old"), old);
    let total = &aggregator.wants()[&need("m")];
    assert!(total.gains_at(MonoTime::from_millis(60_000)));
}

/// Guards against a refusal by a forecast that the planner made before it knew of a more urgent
/// request for the same model.
#[test]
fn a_more_urgent_request_is_a_new_want() {
    let registry = WaitRegistry::open();
    let service = ServiceName::from("engines");
    let at = MonoTime::from_millis(500);
    let register = |rank| registry.register(need("m"), &service, rank, at, at + 5_000);
    let first = register(1);
    let same = register(1);
    let urgent = register(0);
    let news = [
        first.is_new_want(),
        same.is_new_want(),
        urgent.is_new_want(),
    ];
    assert_eq!(news, [true, false, true]);
}
