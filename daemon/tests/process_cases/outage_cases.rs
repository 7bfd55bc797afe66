//! Cold starts, in a burst and during an outage of the table.

use futures_util::future::join_all;
use quetzalpin_standins::{CallOutcome, EngineStandin, FaultConfig};

use super::FaultCase;

fn loads(case: &FaultCase, replica: &str) -> usize {
    let audits = case.fleet.engines().map(EngineStandin::audit);
    audits
        .flat_map(|audit| audit.changes)
        .filter(|change| change.is_held && change.unit.to_string() == replica)
        .count()
}

/// A burst of first requests for a model at all entries must load it only once.
pub async fn a_burst_at_all_entries_makes_one_load(case: FaultCase) {
    let calls = (0..20).map(|number| {
        let call = FaultCase::question("m2", &format!("burst {number}"));
        let caller = &case.callers[number % case.callers.len()];
        async move { caller.chat(&call).await.expect("an outcome") }
    });
    let outcomes = join_all(calls).await;
    assert!(outcomes.iter().all(CallOutcome::is_answer), "{outcomes:?}");
    assert_eq!(loads(&case, "m2@1"), 1);
}

/// Routing and cold starts must work without the table and never overcommit an engine's memory.
pub async fn cold_starts_work_while_the_table_is_down(case: FaultCase) {
    case.ask(0, &FaultCase::question("m0", "before")).await;
    case.fleet.platform.state.table_faults.set(FaultConfig {
        down: true,
        ..FaultConfig::default()
    });
    for model in ["m0", "m1", "m2", "m3"] {
        for entry in 0..2 {
            case.ask(entry, &FaultCase::question(model, "during")).await;
        }
    }
    for engine in case.fleet.engines() {
        assert_eq!(engine.audit().overcommits, 0);
    }
}
