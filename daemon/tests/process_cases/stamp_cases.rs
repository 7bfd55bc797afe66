//! Non-idempotent calls during faults.

use futures_util::future::join;
use quetzalpin::prelude::*;
use quetzalpin_standins::{CallOutcome, FaultConfig, ServiceCall};

use super::FaultCase;

fn refusal_outcome(outcome: &CallOutcome) -> Option<RefusalOutcome> {
    outcome.refusal().map(|document| document.refusal().outcome)
}

/// The table's responses are lost after its transactions took effect. Each call must still run
/// exactly once, and a refusal that says `not_run` must be true.
pub async fn a_stamp_runs_once_when_table_responses_are_lost(case: FaultCase) {
    for number in 0..6 {
        let batch = format!("lost-{number}");
        case.fleet.platform.state.table_faults.set(FaultConfig {
            lose_answers: 1 + number % 3,
            ..FaultConfig::default()
        });
        let outcome = case.send_stamp(0, &batch).await;
        if !outcome.is_answer() {
            assert_eq!(
                refusal_outcome(&outcome),
                Some(RefusalOutcome::NotRun),
                "{outcome:?}"
            );
            assert_eq!(
                case.fleet.stamps(&batch),
                0,
                "reported as not run, but it ran"
            );
        }
        case.wait_until("the resend is answered", async || {
            case.send_stamp(1, &batch).await.is_answer()
        })
        .await;
        assert_eq!(case.fleet.stamps(&batch), 1);
    }
}

/// Without the table no call is sent to the service; the resend runs once the table is back.
pub async fn a_stamp_is_refused_while_the_table_is_down_and_runs_later(case: FaultCase) {
    let faults = &case.fleet.platform.state.table_faults;
    faults.set(FaultConfig {
        down: true,
        ..FaultConfig::default()
    });
    let refused = case.send_stamp(0, "outage").await;
    assert_eq!(
        refusal_outcome(&refused),
        Some(RefusalOutcome::NotRun),
        "{refused:?}"
    );
    assert_eq!(case.fleet.stamps("outage"), 0);
    faults.set(FaultConfig::default());
    case.wait_until("the resend runs", async || {
        case.send_stamp(1, "outage").await.is_answer()
    })
    .await;
    assert_eq!(case.fleet.stamps("outage"), 1);
}

/// The agents of a service die while it runs a call. The call must run at most once however often
/// it is resent, and its outcome is reported as unknown.
pub async fn a_stamp_whose_agent_dies_never_runs_twice(mut case: FaultCase) {
    let caller = case.callers[0].clone();
    let call = FaultCase::stamp("death");
    let sending = compio::runtime::spawn(async move { caller.service(&call).await });
    case.wait_until("the service runs it", async || {
        case.fleet.stamps("death") == 1
    })
    .await;
    for agent in &mut case.fleet.agents[3..] {
        agent.kill();
    }
    let first = sending.await.expect("the task ends").expect("an outcome");
    assert_eq!(
        refusal_outcome(&first),
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
    assert!(!again.is_answer(), "no response was stored: {again:?}");
    assert_eq!(refusal_outcome(&again), Some(RefusalOutcome::Unknown));
    assert_eq!(case.fleet.stamps("death"), 1);
    let other = case.send_stamp(1, "life").await;
    assert!(other.is_answer(), "{other:?}");
}

/// The same call sent to two entries at once runs once, and both return its response.
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
