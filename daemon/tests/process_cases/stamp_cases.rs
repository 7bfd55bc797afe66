//! Non-idempotent calls under faults.

use futures_util::future::join;
use quetzalpin::prelude::*;
use quetzalpin_standins::{CallOutcome, FaultConfig, ServiceCall};

use super::FaultCase;

fn outcome_of(outcome: &CallOutcome) -> Option<RefusalOutcome> {
    outcome.refusal().map(|document| document.refusal().outcome)
}

/// Every table answer is lost once in a while, after it took effect.
pub async fn a_stamp_runs_once_through_lost_table_answers(case: FaultCase) {
    for number in 0..6 {
        let batch = format!("lost-{number}");
        case.fleet.platform.state.table_faults.set(FaultConfig {
            lose_answers: 1 + number % 3,
            ..FaultConfig::default()
        });
        let outcome = case.send_stamp(0, &batch).await;
        if !outcome.is_answer() {
            assert_eq!(
                outcome_of(&outcome),
                Some(RefusalOutcome::NotRun),
                "{outcome:?}"
            );
            assert_eq!(case.fleet.stamps(&batch), 0, "not run was said of a run");
        }
        case.until("the resend is answered", async || {
            case.send_stamp(1, &batch).await.is_answer()
        })
        .await;
        assert_eq!(case.fleet.stamps(&batch), 1);
    }
}

/// Without the table no stamp is handed over; the resend runs once the table is back.
pub async fn a_stamp_is_refused_while_the_table_is_down_and_runs_later(case: FaultCase) {
    let faults = &case.fleet.platform.state.table_faults;
    faults.set(FaultConfig {
        down: true,
        ..FaultConfig::default()
    });
    let refused = case.send_stamp(0, "outage").await;
    assert_eq!(
        outcome_of(&refused),
        Some(RefusalOutcome::NotRun),
        "{refused:?}"
    );
    assert_eq!(case.fleet.stamps("outage"), 0);
    faults.set(FaultConfig::default());
    case.until("the resend runs", async || {
        case.send_stamp(1, "outage").await.is_answer()
    })
    .await;
    assert_eq!(case.fleet.stamps("outage"), 1);
}

/// The agent dies while the service runs the call; whatever the callers are told, and
/// however often they resend, the stamp lands at most once and no false word is said.
pub async fn a_stamp_whose_agent_dies_never_runs_twice(mut case: FaultCase) {
    let caller = case.callers[0].clone();
    let call = FaultCase::stamp("death");
    let sending = compio::runtime::spawn(async move { caller.service(&call).await });
    case.until("the service runs it", async || {
        case.fleet.stamps("death") == 1
    })
    .await;
    for agent in &mut case.fleet.agents[3..] {
        agent.kill();
    }
    let first = sending.await.expect("the task ends").expect("an outcome");
    assert_eq!(
        outcome_of(&first),
        Some(RefusalOutcome::Unknown),
        "{first:?}"
    );
    for agent in &mut case.fleet.agents[3..] {
        agent.start().expect("the agent starts");
    }
    case.fleet
        .wait_ready(1, 30_000)
        .await
        .expect("a ready fleet");
    let again = case.send_stamp(1, "death").await;
    assert!(!again.is_answer(), "nobody knows the answer: {again:?}");
    assert_eq!(outcome_of(&again), Some(RefusalOutcome::Unknown));
    assert_eq!(case.fleet.stamps("death"), 1);
    let other = case.send_stamp(1, "life").await;
    assert!(other.is_answer(), "{other:?}");
}

/// The same call at two entries at once runs once, and both get its answer.
pub async fn two_entries_get_the_same_stamp_at_once(case: FaultCase) {
    for number in 0..5 {
        let batch = format!("twin-{number}");
        let both = join(case.send_stamp(0, &batch), case.send_stamp(1, &batch));
        let (first, second) = both.await;
        assert!(
            first.is_answer() && second.is_answer(),
            "{first:?} {second:?}"
        );
        assert_eq!(first.text, second.text);
        assert_eq!(case.fleet.stamps(&batch), 1);
    }
    let changed = ServiceCall {
        body: r#"{"batch":"another"}"#.to_owned(),
        ..FaultCase::stamp("twin-0")
    };
    let outcome = case.callers[0].service(&changed).await.expect("an outcome");
    let reason = outcome.refusal().map(|document| document.reason);
    assert_eq!(reason, Some(RefusalReason::KeyReused));
    assert_eq!(case.fleet.stamps("another"), 0);
}
