//! `quetzalpin bench warm`: latency that entry and agent add to a request on a loaded model.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use quetzalpin_standins::{CallerClient, ChatCall, EngineOptions, UpstreamPlan};

use super::example_fleet::{ExampleFleet, FleetSize};
use super::fleet_thread::FleetThread;
use super::latency_histogram::{LatencyHistogram, millis_text};
use crate::errors::{CheckFailure, ToolError};
use crate::flags::Warm;

/// Requests per second without `--rate`.
const DEFAULT_RATE_PER_S: u32 = 200;

/// Duration in seconds without `--seconds`.
const DEFAULT_DURATION_S: u64 = 10;

/// Model that serves all requests.
const MODEL: &str = "glaze-0";

/// Sends requests alternately to the engine and through the entry, and compares the latencies.
pub async fn run(flags: &Warm) -> Result<ExitCode, ToolError> {
    let rate = flags.rate.unwrap_or(DEFAULT_RATE_PER_S).max(1);
    let seconds = flags.seconds.unwrap_or(DEFAULT_DURATION_S);
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
    let via_entry = CallerClient::open(fleet.addresses.entries[0])?;
    let direct = CallerClient::open(fleet.addresses.upstreams[0])?;
    warm_up(&via_entry).await?;
    let (direct_latencies, via_entry_latencies) =
        measure(&direct, &via_entry, rate, Duration::from_secs(seconds)).await?;
    println!("{rate} requests/s for {seconds} s, half of them straight to the engine");
    println!("engine alone        {}", direct_latencies.line());
    println!("entry, agent, engine {}", via_entry_latencies.line());
    for percentile in [50.0, 99.0] {
        let added = via_entry_latencies.micros_at(percentile);
        let added = added.saturating_sub(direct_latencies.micros_at(percentile));
        println!("added at p{percentile}: {} ms", millis_text(added));
    }
    fleet.finish()?;
    Ok(ExitCode::SUCCESS)
}

fn chat_call(model: &str) -> ChatCall {
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

async fn warm_up(via_entry: &CallerClient) -> Result<(), ToolError> {
    let outcome = via_entry.chat(&chat_call(MODEL)).await?;
    if outcome.is_answer() {
        Ok(())
    } else {
        Err(ToolError::CheckFailed(CheckFailure::ColdAnswer))
    }
}

async fn measure(
    direct: &CallerClient,
    via_entry: &CallerClient,
    rate: u32,
    duration: Duration,
) -> Result<(LatencyHistogram, LatencyHistogram), ToolError> {
    let mut direct_latencies = LatencyHistogram::new();
    let mut via_entry_latencies = LatencyHistogram::new();
    let gap = Duration::from_secs(1) / rate;
    let began_at = Instant::now();
    let mut number = 0;
    while began_at.elapsed() < duration {
        compio::time::sleep_until(began_at + gap * number).await;
        let (client, histogram, model) = if number % 2 == 0 {
            (direct, &mut direct_latencies, "glaze-0@1")
        } else {
            (via_entry, &mut via_entry_latencies, MODEL)
        };
        let outcome = client.chat(&chat_call(model)).await?;
        if outcome.is_answer() {
            histogram.add(outcome.total);
        }
        number += 1;
    }
    Ok((direct_latencies, via_entry_latencies))
}
