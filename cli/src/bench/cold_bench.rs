//! `quetzalpin bench cold`: a burst over many idle models.

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

/// Idle models in the burst where no number is given.
const DEFAULT_MODELS: usize = 30;

/// Requests per model where no number is given.
const DEFAULT_REQUESTS: usize = 5;

/// Seconds after the burst during which idle replicas may leave the accelerators, where no
/// number is given.
const DEFAULT_TAIL_S: u64 = 20;

/// Milliseconds that callers of the burst wait.
const DEADLINE_MS: u64 = 30_000;

/// Microseconds per megabyte from the weight store, as the stand-in engine loads.
const LOAD_US_PER_MB: u64 = 50;

/// What a burst consists of.
#[derive(Debug, Clone, Copy)]
struct BurstPlan {
    example: ExampleFleet,
    rank: ChatRank,
    models: usize,
    requests: usize,
    tail_s: u64,
}

/// What a run showed.
struct ColdResult {
    cold: LatencyHistogram,
    answered: usize,
    asked: usize,
    bound: LatencyHistogram,
    usage: FleetUsage,
}

/// What the fleet used.
struct FleetUsage {
    loads: u64,
    most_loads_at_once: u32,
    held_mb_ms: u64,
    commits: u64,
}

/// Runs the burst.
pub async fn run(flags: &Cold) -> Result<ExitCode, ToolError> {
    let example = ExampleFleet::named(flags.fleet.as_deref())?;
    let models = flags
        .models
        .unwrap_or(DEFAULT_MODELS)
        .min(example.model_count());
    let requests = flags.requests.unwrap_or(DEFAULT_REQUESTS).max(1);
    println!("burst over {models} idle models, {requests} requests each, at all entries at once");
    let plan = BurstPlan {
        example,
        rank: ChatRank::named(flags.rank.as_deref())?,
        models,
        requests,
        tail_s: flags.tail.unwrap_or(DEFAULT_TAIL_S),
    };
    let result = measure(plan, HoldingPolicy::Slots).await?;
    print_result("replica slots", &result);
    if flags.baselines {
        let baseline = measure(plan, HoldingPolicy::AlwaysLoaded).await?;
        print_result("never unloaded", &baseline);
        let share = result.usage.held_mb_ms * 100 / baseline.usage.held_mb_ms.max(1);
        println!("accelerator memory held, of the baseline's: {share} %");
    }
    Ok(ExitCode::SUCCESS)
}

fn print_result(name: &str, result: &ColdResult) {
    println!("{name}: {} of {} answered", result.answered, result.asked);
    println!("  first of each model   {}", result.cold.line());
    println!("  bound of the store    {}", result.bound.line());
    let p99 = result.cold.micros_at(99.0) * 100 / result.bound.micros_at(99.0).max(1);
    println!("  p99 against the bound: {}.{:02}", p99 / 100, p99 % 100);
    println!(
        "  loads {}, most at once {}, table commits {}, memory held {} GB s",
        result.usage.loads,
        result.usage.most_loads_at_once,
        result.usage.commits,
        result.usage.held_mb_ms / 1_000_000
    );
    println!("  longest {} ms", millis_text(result.cold.micros_at(100.0)));
}

async fn measure(burst: BurstPlan, holding: HoldingPolicy) -> Result<ColdResult, ToolError> {
    let example = burst.example;
    let mut plan = example.plan(example.size_of_today());
    plan.agent.holding_policy = holding;
    let weights = plan.weights;
    let fleet = FleetThread::spawn(plan, example.model_count(), usage)?;
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
        asked: burst.models * burst.requests,
        bound: store_bound(&example.memories()[..burst.models], weights),
        usage,
    })
}

fn usage(fleet: &StandinFleet) -> FleetUsage {
    let (most_loads_at_once, loads) = fleet.platform.state.weights.counts();
    let (commits, _) = fleet.platform.state.table.call_counts();
    FleetUsage {
        loads,
        most_loads_at_once,
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
    let (credential, kind) = burst.example.work_of_rank(burst.rank);
    let models = burst.example.models();
    let mut callers = Vec::new();
    for entry in &addresses.entries {
        callers.push(CallerClient::open(*entry)?);
    }
    let began_at = Instant::now();
    let waves = models.iter().take(burst.models).map(|model| {
        let calls = (0..burst.requests).map(|number| {
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
    let outcomes = join_all(waves).await;
    println!("  burst over after {} ms", began_at.elapsed().as_millis());
    let whole: Result<Vec<Vec<CallOutcome>>, StandinError> = outcomes
        .into_iter()
        .map(|wave| wave.into_iter().collect())
        .collect();
    Ok(whole?)
}

/// Times at which the store alone could have ended the loads: `loads_at_once` at full speed,
/// started within its rate, shortest first.
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
