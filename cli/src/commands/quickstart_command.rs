//! `quetzalpin quickstart`: a small fleet in one process.

use std::process::ExitCode;
use std::time::Instant;

use quetzalpin_standins::{
    CallOutcome, CallerClient, ChatCall, ServiceCall, StandinFleet, answer_word,
};

use crate::bench::example_fleet::{ExampleFleet, FleetSize};
use crate::errors::{CheckFailure, ToolError};
use crate::output::say;

/// Milliseconds for the fleet's start.
const START_MS: u64 = 30_000;

/// Engines of the small fleet.
const ENGINES: usize = 3;

/// Runs the fleet and shows what it does.
pub async fn run() -> Result<ExitCode, ToolError> {
    let example = ExampleFleet::Office;
    let began_at = Instant::now();
    let plan = example.plan(FleetSize {
        engines: ENGINES,
        services: 1,
        entries: 2,
    });
    let fleet = StandinFleet::spawn(&plan).await?;
    fleet.wait_ready(example.model_count(), START_MS).await?;
    say!(
        "fleet: 2 entries, {ENGINES} engines and 1 service, each with an agent; {} idle models; \
         ready after {} ms",
        example.model_count(),
        began_at.elapsed().as_millis()
    );
    let caller = CallerClient::open(fleet.entry_address(0))?;
    show_cold(&caller).await?;
    show_stream(&caller).await?;
    show_stamp(&fleet, &caller).await?;
    show_refusal(&caller).await?;
    say!("done");
    Ok(ExitCode::SUCCESS)
}

fn question(prompt: &str) -> ChatCall {
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

fn require(is_shown: bool, failure: CheckFailure) -> Result<(), ToolError> {
    if is_shown {
        Ok(())
    } else {
        Err(ToolError::CheckFailed(failure))
    }
}

async fn show_cold(caller: &CallerClient) -> Result<(), ToolError> {
    let prompt = "Is this glaze food safe?";
    let outcome = caller.chat(&question(prompt)).await?;
    let first_word = answer_word(prompt, 0);
    let is_own = outcome.text.contains(&first_word);
    require(outcome.is_answer() && is_own, CheckFailure::ColdAnswer)?;
    say!(
        "1. cold model glaze-0 answered in {} ms: {}",
        millis(&outcome),
        outcome.text
    );
    let warm = caller.chat(&question(prompt)).await?;
    say!("   asked again, now loaded: {} ms", millis(&warm));
    Ok(())
}

async fn show_stream(caller: &CallerClient) -> Result<(), ToolError> {
    let mut call = question("Firing notes, please.");
    call.stream = true;
    let outcome = caller.chat(&call).await?;
    let is_ended = outcome.text.contains("[DONE]");
    require(outcome.is_answer() && is_ended, CheckFailure::StreamEnd)?;
    let events = outcome.text.matches("data: {").count();
    say!(
        "2. stream: {events} tokens, the first after {} ms, the last after {} ms",
        outcome.first.as_millis(),
        millis(&outcome)
    );
    Ok(())
}

async fn show_stamp(fleet: &StandinFleet, caller: &CallerClient) -> Result<(), ToolError> {
    let call = ServiceCall {
        credential: "inspectors-secret".to_owned(),
        kind: "stamp".to_owned(),
        path: "registry/stamp".to_owned(),
        key: "batch-17".to_owned(),
        body: r#"{"batch":"batch-17"}"#.to_owned(),
        id: String::new(),
    };
    let first = caller.service(&call).await?;
    let second = caller.service(&call).await?;
    let runs: u32 = fleet
        .services()
        .filter_map(|service| service.audit().stamps.get("batch-17").copied())
        .sum();
    let is_once = runs == 1 && first.is_answer() && first.text == second.text;
    require(is_once, CheckFailure::StampOnce)?;
    say!(
        "3. stamp sent twice with one key: run {runs} time, both answered {}",
        first.text
    );
    Ok(())
}

async fn show_refusal(caller: &CallerClient) -> Result<(), ToolError> {
    let call = ChatCall {
        model: "kiln-3".to_owned(),
        deadline_ms: Some(50),
        ..question("In a hurry.")
    };
    let outcome = caller.chat(&call).await?;
    let refusal = outcome.refusal();
    let is_honest = refusal.is_some_and(|document| {
        document.refusal().outcome == quetzalpin::prelude::RefusalOutcome::NotRun
    });
    require(is_honest, CheckFailure::HonestRefusal)?;
    say!(
        "4. cold model, 50 ms to the deadline: request {} refused after {} ms: {}",
        outcome.id,
        millis(&outcome),
        outcome.text
    );
    Ok(())
}

const fn millis(outcome: &CallOutcome) -> u128 {
    outcome.total.as_millis()
}
