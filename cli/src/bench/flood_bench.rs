//! `quetzalpin bench flood`: service by rank before, in and after a flood.

use std::cell::{Cell, RefCell};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use quetzalpin::admission::QueuePolicy;
use quetzalpin::prelude::RefusalOutcome;
use quetzalpin_standins::{CallOutcome, CallerClient, ChatCall, EngineOptions, UpstreamPlan};

use super::example_fleet::{ChatRank, ExampleFleet, FleetSize};
use super::fleet_thread::FleetThread;
use super::flood_report::{FloodPhase, FloodReport, RankPhase};
use crate::errors::ToolError;
use crate::flags::Flood;

/// Multiple of the capacity where none is given.
const DEFAULT_TIMES: u32 = 10;

/// Seconds of each phase where none are given.
const DEFAULT_SECONDS: u64 = 10;

/// Engines of the fleet.
const ENGINES: usize = 4;

/// Requests that one engine batches.
const MAX_BATCH: u32 = 8;

/// Tokens of each answer.
const TOKENS: u32 = 32;

/// Models under load, all loaded before the first phase.
const MODELS: usize = 4;

/// Percent of the capacity asked for in calm times, by rank.
const CALM_PERCENT: [(ChatRank, u32); 3] = [
    (ChatRank::Urgent, 15),
    (ChatRank::Normal, 30),
    (ChatRank::Background, 18),
];

/// Milliseconds that callers wait, by rank.
const fn deadline_ms(rank: ChatRank) -> u64 {
    match rank {
        ChatRank::Urgent => 2_000,
        ChatRank::Normal => 4_000,
        ChatRank::Background => 8_000,
    }
}

/// Milliseconds after which a refused caller sends again, once.
const RESEND_MS: u64 = 500;

/// Milliseconds after a phase during which its last answers come in.
const SETTLE_MS: u64 = 9_000;

/// Which ranks flood.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FloodPlan {
    urgent: bool,
    background: bool,
    times: u32,
    seconds: u64,
}

fn engine() -> EngineOptions {
    EngineOptions {
        max_batch: MAX_BATCH,
        ..EngineOptions::default()
    }
}

/// Requests per thousand seconds that the engines can answer.
fn capacity_per_ks() -> u64 {
    let options = engine();
    let token_us = options.token_us + options.batching_overhead_us * u64::from(MAX_BATCH - 1);
    let service_us = options.first_ms * 1_000 + token_us * u64::from(TOKENS);
    ENGINES as u64 * u64::from(MAX_BATCH) * 1_000_000_000 / service_us
}

/// Runs the flood, and the baselines if asked.
pub async fn run(flags: &Flood) -> Result<ExitCode, ToolError> {
    let of = flags.of.as_deref().unwrap_or("background");
    let plan = FloodPlan {
        urgent: matches!(of, "urgent" | "both"),
        background: matches!(of, "background" | "both"),
        times: flags.times.unwrap_or(DEFAULT_TIMES),
        seconds: flags.seconds.unwrap_or(DEFAULT_SECONDS),
    };
    if !plan.urgent && !plan.background {
        return Err(ToolError::UnknownRank(of.to_owned()));
    }
    println!(
        "capacity {} requests/s; flood of {of} work at {} times the capacity for {} s",
        capacity_per_ks() / 1_000,
        plan.times,
        plan.seconds
    );
    let mut policies = vec![("rank floors", QueuePolicy::RankFloors)];
    if flags.baselines {
        policies.push(("first come first served", QueuePolicy::ArrivalOrder));
        policies.push(("strict ranks", QueuePolicy::StrictRanks));
        policies.push(("round robin", QueuePolicy::RoundRobin));
    }
    for (name, policy) in policies {
        let report = measure(plan, policy).await?;
        println!("\n{name}");
        report.print(capacity_per_ks());
    }
    Ok(ExitCode::SUCCESS)
}

async fn measure(flood: FloodPlan, policy: QueuePolicy) -> Result<FloodReport, ToolError> {
    let example = ExampleFleet::Office;
    let mut plan = example.plan(FleetSize {
        engines: ENGINES,
        services: 0,
        entries: 2,
    });
    plan.upstreams = vec![UpstreamPlan::Engine(engine()); ENGINES];
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
        models: example.models().into_iter().take(MODELS).collect(),
        report: RefCell::new(FloodReport::open(flood.seconds)),
        phase: Cell::new(FloodPhase::Calm),
    });
    bench.wake().await?;
    for phase in [FloodPhase::Calm, FloodPhase::Flood, FloodPhase::Recovery] {
        bench.run_phase(phase, flood).await;
    }
    compio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
    fleet.finish()?;
    let report = bench.report.borrow().clone();
    Ok(report)
}

struct FloodBench {
    example: ExampleFleet,
    callers: Vec<CallerClient>,
    models: Vec<String>,
    report: RefCell<FloodReport>,
    /// The phase that runs now.
    phase: Cell<FloodPhase>,
}

impl FloodBench {
    /// Loads each model at all its holders, and lets the agents learn how long requests run.
    async fn wake(&self) -> Result<(), ToolError> {
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
        let until = Instant::now() + Duration::from_secs(flood.seconds);
        let mut streams = Vec::new();
        for (rank, percent) in CALM_PERCENT {
            let mut rate_per_ks = capacity_per_ks() * u64::from(percent) / 100;
            let floods = match rank {
                ChatRank::Urgent => flood.urgent,
                ChatRank::Normal => false,
                ChatRank::Background => flood.background,
            };
            if floods && phase == FloodPhase::Flood {
                rate_per_ks += capacity_per_ks() * u64::from(flood.times);
            }
            let bench = Rc::clone(self);
            streams.push(bench.send_stream(phase, rank, rate_per_ks, until));
        }
        futures_util::future::join_all(streams).await;
    }

    /// Sends requests at random times with the given mean rate.
    async fn send_stream(
        self: Rc<Self>,
        phase: FloodPhase,
        rank: ChatRank,
        rate_per_ks: u64,
        until: Instant,
    ) {
        let mut next = Instant::now();
        let mut number = 0;
        loop {
            let mean_us = 1_000_000_000 / rate_per_ks.max(1);
            next += Duration::from_micros(exponential(mean_us));
            if next >= until {
                return;
            }
            compio::time::sleep_until(next).await;
            let bench = Rc::clone(&self);
            number += 1;
            compio::runtime::spawn(async move { bench.send_one(phase, rank, number).await })
                .detach();
        }
    }

    /// Sends one request, and once more where it is refused.
    async fn send_one(&self, phase: FloodPhase, rank: ChatRank, number: usize) {
        let model = &self.models[number % self.models.len()];
        let call = self.call(rank, model, number);
        let caller = &self.callers[number % self.callers.len()];
        self.note(phase, rank, RankPhase::count_sent);
        let mut outcome = caller.chat(&call).await.ok();
        if outcome.as_ref().is_some_and(is_not_run) {
            self.note_refusal(phase, rank, outcome.as_ref());
            compio::time::sleep(Duration::from_millis(RESEND_MS)).await;
            outcome = caller.chat(&call).await.ok();
        }
        match outcome {
            Some(outcome) if outcome.is_answer() => {
                let is_in_time = outcome.total.as_millis() <= u128::from(deadline_ms(rank));
                self.note(phase, rank, |counts| {
                    counts.count_answer(&outcome, is_in_time);
                });
                if is_in_time {
                    self.note(self.phase.get(), rank, RankPhase::count_served);
                }
            }
            Some(outcome) if is_not_run(&outcome) => {
                self.note_refusal(phase, rank, Some(&outcome));
                self.note(phase, rank, RankPhase::count_given_up);
            }
            _ => self.note(phase, rank, RankPhase::count_lost),
        }
    }

    fn note_refusal(&self, phase: FloodPhase, rank: ChatRank, outcome: Option<&CallOutcome>) {
        if let Some(outcome) = outcome {
            self.note(phase, rank, |counts| counts.count_refusal(outcome.total));
        }
    }

    fn note(&self, phase: FloodPhase, rank: ChatRank, change: impl FnOnce(&mut RankPhase)) {
        change(self.report.borrow_mut().counts(phase, rank));
    }

    fn call(&self, rank: ChatRank, model: &str, number: usize) -> ChatCall {
        let (credential, kind) = self.example.work_of_rank(rank);
        ChatCall {
            credential: credential.to_owned(),
            kind: kind.to_owned(),
            model: model.to_owned(),
            adapter: None,
            prompt: format!("{number} of {kind} {}", fastrand::u64(..)),
            tokens: TOKENS,
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

/// A random time with an exponential distribution.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
fn exponential(mean_us: u64) -> u64 {
    let uniform = fastrand::f64().max(f64::MIN_POSITIVE);
    (-uniform.ln() * mean_us as f64) as u64
}
