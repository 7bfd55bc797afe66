//! `quetzalpin bench cold`: cold-start latency in a burst over many idle models.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use quetzalpin::placement::HoldingPolicy;
use quetzalpin_standins::{
    CallOutcome, CallerClient, ChatCall, StandinError, StandinFleet, WeightLimits,
};

use super::example_fleet::{ChatRank, ExampleFleet};
use super::fleet_thread::{FleetAddresses, FleetThread};
use super::latency_histogram::{LatencyHistogram, millis_text};
use crate::errors::ToolError;
use crate::flags::Cold;

/// Idle models in the burst without `--models`.
const DEFAULT_MODELS: usize = 30;

/// Requests per model without `--requests`.
const DEFAULT_REQUESTS: usize = 5;

/// Seconds to wait after the burst for idle replicas to be unloaded, without `--tail`.
const DEFAULT_TAIL_S: u64 = 20;

/// Deadline of each request in milliseconds.
const DEADLINE_MS: u64 = 30_000;

/// Time to load one megabyte from the weight store in microseconds; matches the stand-in engine.
const LOAD_US_PER_MB: u64 = 50;

/// Parameters of a burst.
#[derive(Debug, Clone, Copy)]
struct BurstPlan {
    example: ExampleFleet,
    rank: ChatRank,
    model_count: usize,
    requests_per_model: usize,
    tail_s: u64,
}

/// Result of one run.
struct ColdResult {
    cold: LatencyHistogram,
    answered: usize,
    sent: usize,
    store_bound: LatencyHistogram,
    usage: FleetUsage,
}

/// Resources that the fleet used during a run.
struct FleetUsage {
    loads: u64,
    max_concurrent_loads: u32,
    held_mb_ms: u64,
    commits: u64,
}

/// Runs the burst, and the baseline if requested, and prints the results.
pub async fn run(flags: &Cold) -> Result<ExitCode, ToolError> {
    let example = ExampleFleet::parse(flags.fleet.as_deref())?;
    let model_count = flags
        .models
        .unwrap_or(DEFAULT_MODELS)
        .min(example.model_count());
    let requests_per_model = flags.requests.unwrap_or(DEFAULT_REQUESTS).max(1);
    println!(
        "burst over {model_count} idle models, {requests_per_model} requests each, at all entries at once"
    );
    let burst = BurstPlan {
        example,
        rank: ChatRank::parse(flags.rank.as_deref())?,
        model_count,
        requests_per_model,
        tail_s: flags.tail.unwrap_or(DEFAULT_TAIL_S),
    };
    let result = measure(burst, HoldingPolicy::Slots).await?;
    print_result("replica slots", &result);
    if flags.baselines {
        let baseline = measure(burst, HoldingPolicy::AlwaysLoaded).await?;
        print_result("never unloaded", &baseline);
        let share = result.usage.held_mb_ms * 100 / baseline.usage.held_mb_ms.max(1);
        println!("accelerator memory held, of the baseline's: {share} %");
    }
    Ok(ExitCode::SUCCESS)
}

fn print_result(name: &str, result: &ColdResult) {
    println!("{name}: {} of {} answered", result.answered, result.sent);
    println!("  first of each model   {}", result.cold.line());
    println!("  bound of the store    {}", result.store_bound.line());
    let p99 = result.cold.micros_at(99.0) * 100 / result.store_bound.micros_at(99.0).max(1);
    println!("  p99 against the bound: {}.{:02}", p99 / 100, p99 % 100);
    println!(
        "  loads {}, most at once {}, table commits {}, memory held {} GB s",
        result.usage.loads,
        result.usage.max_concurrent_loads,
        result.usage.commits,
        result.usage.held_mb_ms / 1_000_000
    );
    println!("  longest {} ms", millis_text(result.cold.micros_at(100.0)));
}

async fn measure(burst: BurstPlan, holding: HoldingPolicy) -> Result<ColdResult, ToolError> {
    let example = burst.example;
    let mut plan = example.plan(example.current_size());
    plan.agent.holding_policy = holding;
    let weights = plan.weights;
    let fleet = FleetThread::spawn(plan, example.model_count(), fleet_usage)?;
    let outcomes = send_burst(burst, &fleet.addresses).await?;
    compio::time::sleep(Duration::from_secs(burst.tail_s)).await;
    let usage = fleet.finish()?;
    let answered = outcomes.iter().flatten().filter(|o| o.is_answer()).count();
    let mut cold = LatencyHistogram::new();
    for model in &outcomes {
        if let Some(longest) = model
            .iter()
            .filter(|o| o.is_answer())
            .map(|o| o.first)
            .max()
        {
            cold.add(longest);
        }
    }
    Ok(ColdResult {
        cold,
        answered,
        sent: burst.model_count * burst.requests_per_model,
        store_bound: store_bound(&example.model_memories_mb()[..burst.model_count], weights),
        usage,
    })
}

fn fleet_usage(fleet: &StandinFleet) -> FleetUsage {
    let (max_concurrent_loads, loads) = fleet.platform.state.weights.counts();
    let (commits, _) = fleet.platform.state.table.call_counts();
    FleetUsage {
        loads,
        max_concurrent_loads,
        held_mb_ms: fleet
            .engines()
            .map(|engine| engine.audit().held_mb_ms)
            .sum(),
        commits,
    }
}

async fn send_burst(
    burst: BurstPlan,
    addresses: &FleetAddresses,
) -> Result<Vec<Vec<CallOutcome>>, ToolError> {
    let (credential, kind) = burst.example.credential_and_kind(burst.rank);
    let models = burst.example.model_names();
    let mut callers = Vec::new();
    for entry in &addresses.entries {
        callers.push(CallerClient::open(*entry)?);
    }
    let began_at = Instant::now();
    let model_calls = models.iter().take(burst.model_count).map(|model| {
        let calls = (0..burst.requests_per_model).map(|number| {
            let caller = &callers[number % callers.len()];
            let call = ChatCall {
                credential: credential.to_owned(),
                kind: kind.to_owned(),
                model: model.clone(),
                adapter: None,
                prompt: format!("burst {number} at {model}"),
                tokens: 2,
                stream: true,
                deadline_ms: Some(DEADLINE_MS),
                id: String::new(),
            };
            async move { caller.chat(&call).await }
        });
        join_all(calls)
    });
    let outcomes = join_all(model_calls).await;
    println!("  burst over after {} ms", began_at.elapsed().as_millis());
    let outcomes: Result<Vec<Vec<CallOutcome>>, StandinError> = outcomes
        .into_iter()
        .map(|model_outcomes| model_outcomes.into_iter().collect())
        .collect();
    Ok(outcomes?)
}

/// Completion times of the loads if only the weight store limited them: `loads_at_once` loads in
/// parallel at full speed, started within the rate limit, shortest first.
fn store_bound(memories_mb: &[u64], limits: WeightLimits) -> LatencyHistogram {
    let mut sorted = memories_mb.to_vec();
    sorted.sort_unstable();
    let gap_us = 1_000_000_000 / limits.loads_per_ks.max(1);
    let mut free_at_us = vec![0; limits.loads_at_once as usize];
    let mut bound = LatencyHistogram::new();
    for (number, memory_mb) in sorted.iter().enumerate() {
        free_at_us.sort_unstable();
        let start_us = free_at_us[0].max(number as u64 * gap_us);
        let end_us = start_us + memory_mb * LOAD_US_PER_MB;
        free_at_us[0] = end_us;
        bound.add(Duration::from_micros(end_us));
    }
    bound
}
