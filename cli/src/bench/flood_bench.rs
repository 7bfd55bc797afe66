//! `quetzalpin bench flood`: service by rank before, during and after an overload.

use std::cell::{Cell, RefCell};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use quetzalpin::admission::QueuePolicy;
use quetzalpin::prelude::RefusalOutcome;
use quetzalpin_standins::{CallOutcome, CallerClient, ChatCall, EngineOptions, UpstreamPlan};

use super::example_fleet::{ChatRank, ExampleFleet, FleetSize};
use super::fleet_thread::FleetThread;
use super::flood_report::{FloodPhase, FloodReport, RankCounts};
use crate::errors::ToolError;
use crate::flags::Flood;

/// Rate of the flood as a multiple of the capacity, without `--times`.
const DEFAULT_CAPACITY_MULTIPLE: u32 = 10;

/// Duration of each phase in seconds, without `--seconds`.
const DEFAULT_PHASE_S: u64 = 10;

/// Model engines in the fleet.
const ENGINE_COUNT: usize = 4;

/// Maximum requests in one engine batch.
const MAX_BATCH: u32 = 8;

/// Tokens in each answer.
const TOKENS_PER_ANSWER: u32 = 32;

/// Models that receive requests; all are loaded before the first phase.
const MODEL_COUNT: usize = 4;

/// Request rate outside the flood in percent of the capacity, by rank.
const BASE_LOAD_PERCENT: [(ChatRank, u32); 3] = [
    (ChatRank::Urgent, 15),
    (ChatRank::Normal, 30),
    (ChatRank::Background, 18),
];

/// Deadline of a request by rank, in milliseconds.
const fn deadline_ms(rank: ChatRank) -> u64 {
    match rank {
        ChatRank::Urgent => 2_000,
        ChatRank::Normal => 4_000,
        ChatRank::Background => 8_000,
    }
}

/// Delay before the single retry of a refused request, in milliseconds.
const RETRY_DELAY_MS: u64 = 500;

/// Wait for outstanding answers after the last phase, in milliseconds.
const SETTLE_MS: u64 = 9_000;

/// Parameters of the flood.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FloodPlan {
    has_urgent_flood: bool,
    has_background_flood: bool,
    capacity_multiple: u32,
    phase_s: u64,
}

fn engine_options() -> EngineOptions {
    EngineOptions {
        max_batch: MAX_BATCH,
        ..EngineOptions::default()
    }
}

/// Capacity of the engines in requests per 1000 s.
fn capacity_per_ks() -> u64 {
    let options = engine_options();
    let token_us = options.token_us + options.batching_overhead_us * u64::from(MAX_BATCH - 1);
    let service_us = options.first_ms * 1_000 + token_us * u64::from(TOKENS_PER_ANSWER);
    ENGINE_COUNT as u64 * u64::from(MAX_BATCH) * 1_000_000_000 / service_us
}

/// Runs the flood, and the baselines if requested, and prints the reports.
pub async fn run(flags: &Flood) -> Result<ExitCode, ToolError> {
    let ranks = flags.of.as_deref().unwrap_or("background");
    let flood = FloodPlan {
        has_urgent_flood: matches!(ranks, "urgent" | "both"),
        has_background_flood: matches!(ranks, "background" | "both"),
        capacity_multiple: flags.times.unwrap_or(DEFAULT_CAPACITY_MULTIPLE),
        phase_s: flags.seconds.unwrap_or(DEFAULT_PHASE_S),
    };
    if !flood.has_urgent_flood && !flood.has_background_flood {
        return Err(ToolError::UnknownRank(ranks.to_owned()));
    }
    println!(
        "capacity {} requests/s; flood of {ranks} work at {} times the capacity for {} s",
        capacity_per_ks() / 1_000,
        flood.capacity_multiple,
        flood.phase_s
    );
    let mut policies = vec![("rank floors", QueuePolicy::RankFloors)];
    if flags.baselines {
        policies.push(("first come first served", QueuePolicy::ArrivalOrder));
        policies.push(("strict ranks", QueuePolicy::StrictRanks));
        policies.push(("round robin", QueuePolicy::RoundRobin));
    }
    for (name, policy) in policies {
        let report = measure(flood, policy).await?;
        println!("\n{name}");
        report.print(capacity_per_ks());
    }
    Ok(ExitCode::SUCCESS)
}

async fn measure(flood: FloodPlan, policy: QueuePolicy) -> Result<FloodReport, ToolError> {
    let example = ExampleFleet::Office;
    let mut plan = example.plan(FleetSize {
        engines: ENGINE_COUNT,
        services: 0,
        entries: 2,
    });
    plan.upstreams = vec![UpstreamPlan::Engine(engine_options()); ENGINE_COUNT];
    plan.agent.queue_policy = policy;
    plan.agent.queue_capacity = 256;
    let fleet = FleetThread::spawn(plan, example.model_count(), |_| ())?;
    let mut callers = Vec::new();
    for entry in &fleet.addresses.entries {
        callers.push(CallerClient::open(*entry)?);
    }
    let bench = Rc::new(FloodBench {
        example,
        callers,
        models: example
            .model_names()
            .into_iter()
            .take(MODEL_COUNT)
            .collect(),
        report: RefCell::new(FloodReport::new(flood.phase_s)),
        phase: Cell::new(FloodPhase::Calm),
    });
    bench.warm_up().await?;
    for phase in [FloodPhase::Calm, FloodPhase::Flood, FloodPhase::Recovery] {
        bench.run_phase(phase, flood).await;
    }
    compio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
    fleet.finish()?;
    let report = bench.report.borrow().clone();
    Ok(report)
}

/// Load generator and its results.
struct FloodBench {
    example: ExampleFleet,
    callers: Vec<CallerClient>,
    models: Vec<String>,
    report: RefCell<FloodReport>,
    /// Current phase.
    phase: Cell<FloodPhase>,
}

impl FloodBench {
    /// Loads each model on all instances that hold it, and lets the agents learn how long requests
    /// run.
    async fn warm_up(&self) -> Result<(), ToolError> {
        for round in 0..8 {
            let calls = self.models.iter().map(|model| {
                let call = self.call(ChatRank::Normal, model, round);
                async move { self.callers[0].chat(&call).await }
            });
            for outcome in futures_util::future::join_all(calls).await {
                outcome?;
            }
        }
        Ok(())
    }

    async fn run_phase(self: &Rc<Self>, phase: FloodPhase, flood: FloodPlan) {
        self.phase.set(phase);
        let phase_end = Instant::now() + Duration::from_secs(flood.phase_s);
        let mut senders = Vec::new();
        for (rank, percent) in BASE_LOAD_PERCENT {
            let mut rate_per_ks = capacity_per_ks() * u64::from(percent) / 100;
            let is_flooding = match rank {
                ChatRank::Urgent => flood.has_urgent_flood,
                ChatRank::Normal => false,
                ChatRank::Background => flood.has_background_flood,
            };
            if is_flooding && phase == FloodPhase::Flood {
                rate_per_ks += capacity_per_ks() * u64::from(flood.capacity_multiple);
            }
            let bench = Rc::clone(self);
            senders.push(bench.send_at_rate(phase, rank, rate_per_ks, phase_end));
        }
        futures_util::future::join_all(senders).await;
    }

    /// Sends requests as a Poisson process with the given mean rate until the phase ends.
    async fn send_at_rate(
        self: Rc<Self>,
        phase: FloodPhase,
        rank: ChatRank,
        rate_per_ks: u64,
        phase_end: Instant,
    ) {
        let mut next_send = Instant::now();
        let mut number = 0;
        loop {
            let mean_us = 1_000_000_000 / rate_per_ks.max(1);
            next_send += Duration::from_micros(exponential_us(mean_us));
            if next_send >= phase_end {
                return;
            }
            compio::time::sleep_until(next_send).await;
            let bench = Rc::clone(&self);
            number += 1;
            compio::runtime::spawn(async move { bench.send_one(phase, rank, number).await })
                .detach();
        }
    }

    /// Sends one request and retries it once if it is refused as not run.
    async fn send_one(&self, phase: FloodPhase, rank: ChatRank, number: usize) {
        let model = &self.models[number % self.models.len()];
        let call = self.call(rank, model, number);
        let caller = &self.callers[number % self.callers.len()];
        self.update_counts(phase, rank, RankCounts::count_sent);
        let mut outcome = caller.chat(&call).await.ok();
        if outcome.as_ref().is_some_and(is_not_run) {
            self.count_refusal(phase, rank, outcome.as_ref());
            compio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            outcome = caller.chat(&call).await.ok();
        }
        match outcome {
            Some(outcome) if outcome.is_answer() => {
                let is_in_time = outcome.total.as_millis() <= u128::from(deadline_ms(rank));
                self.update_counts(phase, rank, |counts| {
                    counts.count_answer(&outcome, is_in_time);
                });
                if is_in_time {
                    self.update_counts(self.phase.get(), rank, RankCounts::count_served);
                }
            }
            Some(outcome) if is_not_run(&outcome) => {
                self.count_refusal(phase, rank, Some(&outcome));
                self.update_counts(phase, rank, RankCounts::count_given_up);
            }
            _ => self.update_counts(phase, rank, RankCounts::count_lost),
        }
    }

    fn count_refusal(&self, phase: FloodPhase, rank: ChatRank, outcome: Option<&CallOutcome>) {
        if let Some(outcome) = outcome {
            self.update_counts(phase, rank, |counts| counts.count_refusal(outcome.total));
        }
    }

    fn update_counts(
        &self,
        phase: FloodPhase,
        rank: ChatRank,
        change: impl FnOnce(&mut RankCounts),
    ) {
        change(self.report.borrow_mut().counts(phase, rank));
    }

    fn call(&self, rank: ChatRank, model: &str, number: usize) -> ChatCall {
        let (credential, kind) = self.example.credential_and_kind(rank);
        ChatCall {
            credential: credential.to_owned(),
            kind: kind.to_owned(),
            model: model.to_owned(),
            adapter: None,
            prompt: format!("{number} of {kind} {}", fastrand::u64(..)),
            tokens: TOKENS_PER_ANSWER,
            stream: false,
            deadline_ms: Some(deadline_ms(rank)),
            id: String::new(),
        }
    }
}

fn is_not_run(outcome: &CallOutcome) -> bool {
    let document = outcome.refusal();
    document.is_some_and(|document| document.outcome == RefusalOutcome::NotRun)
}

/// Draws an exponentially distributed interval in microseconds.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
fn exponential_us(mean_us: u64) -> u64 {
    let uniform = fastrand::f64().max(f64::MIN_POSITIVE);
    (-uniform.ln() * mean_us as f64) as u64
}
