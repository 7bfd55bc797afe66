//! `quetzalpin bench warm`: what entry and agent add to a request on a loaded model.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use quetzalpin_standins::{CallerClient, ChatCall, EngineOptions, UpstreamPlan};

use super::example_fleet::{ExampleFleet, FleetSize};
use super::fleet_thread::FleetThread;
use super::latency_table::{LatencyTable, millis_text};
use crate::errors::{CheckFailure, ToolError};
use crate::flags::Warm;

/// Requests per second where none are given.
const DEFAULT_RATE: u32 = 200;

/// Seconds where none are given.
const DEFAULT_SECONDS: u64 = 10;

/// Model under load.
const MODEL: &str = "glaze-0";

/// Measures both ways in one run, in turn.
pub async fn run(flags: &Warm) -> Result<ExitCode, ToolError> {
    let rate = flags.rate.unwrap_or(DEFAULT_RATE).max(1);
    let seconds = flags.seconds.unwrap_or(DEFAULT_SECONDS);
    let example = ExampleFleet::Office;
    let mut plan = example.plan(FleetSize {
        engines: 1,
        services: 0,
        entries: 1,
    });
    plan.upstreams = vec![UpstreamPlan::Engine(EngineOptions {
        first_ms: 0,
        token_us: 0,
        batching_overhead_us: 0,
        max_batch: 64,
        ..EngineOptions::default()
    })];
    let fleet = FleetThread::spawn(plan, example.model_count(), |_| ())?;
    let through = CallerClient::open(fleet.addresses.entries[0])?;
    let direct = CallerClient::open(fleet.addresses.upstreams[0])?;
    wake(&through).await?;
    let (direct_table, through_table) =
        measure(&direct, &through, rate, Duration::from_secs(seconds)).await?;
    println!("{rate} requests/s for {seconds} s, half of them straight to the engine");
    println!("engine alone        {}", direct_table.line());
    println!("entry, agent, engine {}", through_table.line());
    for percentile in [50.0, 99.0] {
        let added = through_table.micros_at(percentile);
        let added = added.saturating_sub(direct_table.micros_at(percentile));
        println!("added at p{percentile}: {} ms", millis_text(added));
    }
    fleet.finish()?;
    Ok(ExitCode::SUCCESS)
}

fn call(model: &str) -> ChatCall {
    ChatCall {
        credential: "potters-secret".to_owned(),
        kind: "question".to_owned(),
        model: model.to_owned(),
        adapter: None,
        prompt: "How hot?".to_owned(),
        tokens: 1,
        stream: false,
        deadline_ms: None,
        id: String::new(),
    }
}

async fn wake(through: &CallerClient) -> Result<(), ToolError> {
    let outcome = through.chat(&call(MODEL)).await?;
    if outcome.is_answer() {
        Ok(())
    } else {
        Err(ToolError::CheckFailed(CheckFailure::ColdAnswer))
    }
}

async fn measure(
    direct: &CallerClient,
    through: &CallerClient,
    rate: u32,
    duration: Duration,
) -> Result<(LatencyTable, LatencyTable), ToolError> {
    let mut direct_table = LatencyTable::open();
    let mut through_table = LatencyTable::open();
    let gap = Duration::from_secs(1) / rate;
    let began_at = Instant::now();
    let mut number = 0;
    while began_at.elapsed() < duration {
        compio::time::sleep_until(began_at + gap * number).await;
        let (client, table, model) = if number % 2 == 0 {
            (direct, &mut direct_table, "glaze-0@1")
        } else {
            (through, &mut through_table, MODEL)
        };
        let outcome = client.chat(&call(model)).await?;
        if outcome.is_answer() {
            table.add(outcome.total);
        }
        number += 1;
    }
    Ok((direct_table, through_table))
}
