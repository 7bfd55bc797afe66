//! Requests that crash engines, and broken connections without a crash.

use futures_util::future::join_all;
use quetzalpin::prelude::*;
use quetzalpin_standins::{EngineStandin, POISON_WORD};

use super::FaultCase;

fn crashes(case: &FaultCase) -> u32 {
    case.fleet
        .engines()
        .map(|engine| engine.audit().crashes)
        .sum()
}

/// A request that crashes every engine is quarantined after at most two crashes, also if its
/// caller resends it to another entry. Other requests in flight at the crashes are answered.
pub async fn a_crashing_request_is_quarantined(case: FaultCase) {
    case.ask(0, &FaultCase::question("m0", "wake")).await;
    let poison = FaultCase::question("m0", &format!("do {POISON_WORD} please"));
    let neighbours = (0..6).map(|number| {
        let call = FaultCase::question("m0", &format!("neighbour {number}"));
        let caller = &case.callers[number % 2];
        async move { caller.chat(&call).await.expect("an outcome") }
    });
    let poisoned = case.callers[0].chat(&poison);
    let (refused, answered) = futures_util::future::join(poisoned, join_all(neighbours)).await;
    assert!(!refused.expect("an outcome").is_answer());
    assert!(crashes(&case) <= 2, "{} engines crashed", crashes(&case));
    for outcome in &answered {
        assert!(outcome.is_answer(), "{outcome:?}");
    }
    for round in 0..3 {
        for entry in 0..2 {
            let outcome = case.callers[entry].chat(&poison).await.expect("an outcome");
            assert!(!outcome.is_answer(), "round {round}: {outcome:?}");
        }
    }
    assert!(crashes(&case) <= 2, "{} engines crashed", crashes(&case));
    case.wait_until("the fleet serves on", async || {
        let call = FaultCase::question("m0", "after");
        case.callers[1]
            .chat(&call)
            .await
            .is_ok_and(|outcome| outcome.is_answer())
    })
    .await;
    let last = case.callers[1].chat(&poison).await.expect("an outcome");
    let reason = last.refusal().map(|document| document.reason);
    assert_eq!(reason, Some(RefusalReason::Quarantined));
}

/// Copies of a crashing request arrive at both entries in quick succession. All are refused, and
/// together they crash at most two engines.
pub async fn copies_of_a_crashing_request_crash_at_most_two_engines(case: FaultCase) {
    case.ask(0, &FaultCase::question("m0", "wake")).await;
    let poison = FaultCase::question("m0", &format!("again {POISON_WORD}"));
    let first = case.callers[0].chat(&poison);
    let later = (0..6).map(|number| {
        let caller = &case.callers[number % 2];
        let poison = &poison;
        async move {
            let pause = std::time::Duration::from_millis(400 + 150 * number as u64);
            compio::time::sleep(pause).await;
            caller.chat(poison).await.expect("an outcome")
        }
    });
    let (first, later) = futures_util::future::join(first, join_all(later)).await;
    assert!(!first.expect("an outcome").is_answer());
    assert!(later.iter().all(|outcome| !outcome.is_answer()));
    assert!(crashes(&case) <= 2, "{} engines crashed", crashes(&case));
}

/// A broken connection to a running engine must not count as a crash of the requests in flight.
pub async fn a_lost_engine_connection_is_not_a_crash(case: FaultCase) {
    case.ask(0, &FaultCase::question("m0", "wake")).await;
    for round in 0..4 {
        let call = FaultCase::question("m0", &format!("cut {round}"));
        let caller = case.callers[0].clone();
        let asking = compio::runtime::spawn(async move { caller.chat(&call).await });
        case.wait_until("the engine runs it", async || {
            let audits = case.fleet.engines().map(EngineStandin::audit);
            audits.map(|audit| audit.runs.len()).sum::<usize>() >= 2 + round
        })
        .await;
        for proxy in &case.fleet.upstream_proxies {
            proxy.close_connections();
        }
        let outcome = asking.await.expect("the task ends").expect("an outcome");
        assert!(outcome.is_answer(), "{outcome:?}");
    }
    let status = case.status(0).await.expect("a status");
    assert!(status.quarantined.is_empty());
    assert_eq!(crashes(&case), 0);
}
