//! `quetzalpin quickstart`: demonstrates a cold start, a stream, an idempotent request and a
//! refusal on a small fleet in one process.

use std::process::ExitCode;
use std::time::Instant;

use quetzalpin_standins::{
    CallOutcome, CallerClient, ChatCall, ServiceCall, StandinFleet, answer_word,
};

use crate::bench::example_fleet::{ExampleFleet, FleetSize};
use crate::errors::{CheckFailure, ToolError};
use crate::output::outln;

/// Limit for the fleet to become ready, in milliseconds.
const START_TIMEOUT_MS: u64 = 30_000;

/// Model engines in the fleet.
const ENGINE_COUNT: usize = 3;

/// Starts the fleet and runs the demonstrations; fails at the first check that does not hold.
pub async fn run() -> Result<ExitCode, ToolError> {
    let example = ExampleFleet::Office;
    let began_at = Instant::now();
    let plan = example.plan(FleetSize {
        engines: ENGINE_COUNT,
        services: 1,
        entries: 2,
    });
    let fleet = StandinFleet::spawn(&plan).await?;
    fleet
        .wait_ready(example.model_count(), START_TIMEOUT_MS)
        .await?;
    outln!(
        "fleet: 2 entries, {ENGINE_COUNT} engines and 1 service, each with an agent; {} idle models; \
         ready after {} ms",
        example.model_count(),
        began_at.elapsed().as_millis()
    );
    let caller = CallerClient::open(fleet.entry_address(0))?;
    show_cold_start(&caller).await?;
    show_stream(&caller).await?;
    show_idempotent_call(&fleet, &caller).await?;
    show_refusal(&caller).await?;
    outln!("done");
    Ok(ExitCode::SUCCESS)
}

fn question_call(prompt: &str) -> ChatCall {
    ChatCall {
        credential: "potters-secret".to_owned(),
        kind: "question".to_owned(),
        model: "glaze-0".to_owned(),
        adapter: None,
        prompt: prompt.to_owned(),
        tokens: 8,
        stream: false,
        deadline_ms: None,
        id: String::new(),
    }
}

fn require(is_met: bool, failure: CheckFailure) -> Result<(), ToolError> {
    if is_met {
        Ok(())
    } else {
        Err(ToolError::CheckFailed(failure))
    }
}

async fn show_cold_start(caller: &CallerClient) -> Result<(), ToolError> {
    let prompt = "Is this glaze food safe?";
    let outcome = caller.chat(&question_call(prompt)).await?;
    let first_word = answer_word(prompt, 0);
    let has_first_word = outcome.text.contains(&first_word);
    require(
        outcome.is_answer() && has_first_word,
        CheckFailure::ColdAnswer,
    )?;
    outln!(
        "1. cold model glaze-0 answered in {} ms: {}",
        total_ms(&outcome),
        outcome.text
    );
    let warm = caller.chat(&question_call(prompt)).await?;
    outln!("   asked again, now loaded: {} ms", total_ms(&warm));
    Ok(())
}

async fn show_stream(caller: &CallerClient) -> Result<(), ToolError> {
    let mut call = question_call("Firing notes, please.");
    call.stream = true;
    let outcome = caller.chat(&call).await?;
    let is_ended = outcome.text.contains("[DONE]");
    require(outcome.is_answer() && is_ended, CheckFailure::StreamEnd)?;
    let events = outcome.text.matches("data: {").count();
    outln!(
        "2. stream: {events} tokens, the first after {} ms, the last after {} ms",
        outcome.first.as_millis(),
        total_ms(&outcome)
    );
    Ok(())
}

async fn show_idempotent_call(
    fleet: &StandinFleet,
    caller: &CallerClient,
) -> Result<(), ToolError> {
    let call = ServiceCall {
        credential: "inspectors-secret".to_owned(),
        kind: "stamp".to_owned(),
        path: "registry/stamp".to_owned(),
        key: "batch-17".to_owned(),
        body: r#"{"batch":"batch-17"}"#.to_owned(),
        deadline_ms: None,
        id: String::new(),
    };
    let first = caller.service(&call).await?;
    let second = caller.service(&call).await?;
    let run_count: u32 = fleet
        .services()
        .filter_map(|service| service.audit().stamps.get("batch-17").copied())
        .sum();
    let is_run_once = run_count == 1 && first.is_answer() && first.text == second.text;
    require(is_run_once, CheckFailure::StampOnce)?;
    outln!(
        "3. stamp sent twice with one key: run {run_count} time, both answered {}",
        first.text
    );
    Ok(())
}

async fn show_refusal(caller: &CallerClient) -> Result<(), ToolError> {
    let call = ChatCall {
        model: "kiln-3".to_owned(),
        deadline_ms: Some(50),
        ..question_call("In a hurry.")
    };
    let outcome = caller.chat(&call).await?;
    let refusal = outcome.refusal();
    let is_not_run = refusal.is_some_and(|document| {
        document.refusal().outcome == quetzalpin::prelude::RefusalOutcome::NotRun
    });
    require(is_not_run, CheckFailure::NotRunRefusal)?;
    outln!(
        "4. cold model, 50 ms to the deadline: request {} refused after {} ms: {}",
        outcome.id,
        total_ms(&outcome),
        outcome.text
    );
    Ok(())
}

const fn total_ms(outcome: &CallOutcome) -> u128 {
    outcome.total.as_millis()
}
