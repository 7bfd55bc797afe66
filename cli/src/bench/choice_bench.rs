//! `quetzalpin bench choice`: processor time of one choice of an upstream.

use std::hint::black_box;
use std::process::ExitCode;
use std::time::Instant;

use quetzalpin::fleet::{
    FeedVersion, HeldModel, ModelNeed, RouteKind, RouteRule, UpstreamChange, UpstreamEntry,
    UpstreamPhase, UpstreamRoster, UpstreamUpdate, WeightedService,
};
use quetzalpin::gateway::{
    CallHead, CallPlan, ChoiceInput, LoadTracker, PauseRegistry, PlacementView, PromptPart,
    choose_upstream,
};
use quetzalpin::prelude::*;
use quetzalpin::rate_limit::RateLimiter;
use quetzalpin::upstream_speed::{DurationFigure, SpeedTracker};

use crate::flags::Choice;

/// Number of candidates without `--upstreams`; the largest deployment has as many engines.
const DEFAULT_UPSTREAMS: usize = 46;

/// Measurements of each case; the fastest one has been disturbed least by other processes.
const BATCHES: u32 = 200;

/// Choices of one measurement.
const CHOICES: u32 = 500;

/// Time at which all choices are made.
const NOW: MonoTime = MonoTime::from_millis(10_000);

/// Upstreams with the state that a choice reads.
struct ChoiceLoad {
    roster: UpstreamRoster,
    placement: PlacementView,
    loads: LoadTracker,
    speeds: SpeedTracker,
    pauses: PauseRegistry,
    limiter: RateLimiter,
    zone: ZoneName,
}

/// Measures choices among upstreams of equal and of different speeds, and with a shared prompt.
pub fn run(flags: &Choice) -> ExitCode {
    let upstreams = flags.upstreams.unwrap_or(DEFAULT_UPSTREAMS).max(1);
    let cases = [
        ("even", false, false),
        ("uneven", true, false),
        ("shared prompt", false, true),
    ];
    for (name, is_uneven, shares_prompt) in cases {
        let load = ChoiceLoad::open(upstreams, is_uneven);
        let plan = call_plan(shares_prompt);
        let batches: Vec<f64> = (0..BATCHES).map(|_| load.measure(&plan)).collect();
        let least_us = batches.iter().copied().fold(f64::INFINITY, f64::min);
        let mean_us = batches.iter().sum::<f64>() / f64::from(BATCHES);
        println!(
            "{name:<14} {least_us:8.3} us each in the fastest batch, {mean_us:.3} us in the mean, \
             {upstreams} candidates"
        );
    }
    ExitCode::SUCCESS
}

impl ChoiceLoad {
    fn open(upstreams: usize, is_uneven: bool) -> Self {
        let entries: Vec<UpstreamEntry> = (0..upstreams).map(upstream_entry).collect();
        let mut roster = UpstreamRoster::open();
        let changes = entries.iter().cloned().map(UpstreamChange::Listed);
        let update = UpstreamUpdate {
            version: FeedVersion::in_first_era(1),
            newest_change: FeedVersion::in_first_era(1),
            is_snapshot: true,
            changes: changes.collect(),
        };
        roster.apply(MonoTime::default(), update);
        let mut placement = PlacementView::open();
        placement.apply_roster(&roster);
        let mut load = Self {
            roster,
            placement,
            loads: LoadTracker::open(),
            speeds: SpeedTracker::open(),
            pauses: PauseRegistry::open(),
            limiter: RateLimiter::open(),
            zone: ZoneName::from("zone"),
        };
        let mut random = fastrand::Rng::with_seed(1);
        for (key, entry) in load.roster.iter() {
            load.loads.record_load(NOW, key, random.u32(..8));
            let percent = [100.0, 250.0][random.usize(..2)];
            let figure = is_uneven.then(|| DurationFigure::of_percent(Some(percent)));
            load.speeds.record_figure(NOW, key, &entry.service, figure);
        }
        load
    }

    /// Mean microseconds of a choice.
    fn measure(&self, plan: &CallPlan) -> f64 {
        let is_near: &dyn Fn(&ZoneName) -> bool = &|_| true;
        let started_at = Instant::now();
        for _ in 0..CHOICES {
            black_box(choose_upstream(black_box(&ChoiceInput {
                now: NOW,
                plan,
                roster: &self.roster,
                placement: &self.placement,
                loads: &self.loads,
                speeds: &self.speeds,
                pauses: &self.pauses,
                limiter: &self.limiter,
                software: None,
                tried: &[],
                zone: &self.zone,
                is_near,
            })));
        }
        started_at.elapsed().as_secs_f64() * 1e6 / f64::from(CHOICES)
    }
}

fn call_plan(shares_prompt: bool) -> CallPlan {
    let rule = RouteRule {
        name: "chat".into(),
        host: "host".into(),
        path_prefix: "/".into(),
        kind: RouteKind::Stream {
            is_resumable: false,
            gap_ms: 300,
        },
        timeout_ms: 20_000,
        target_ms: 2_000,
        rank: 0,
        services: vec![WeightedService {
            service: ServiceName::from("engines"),
            weight: 1,
        }],
        max_attempts: 1,
        is_key_exempt: false,
    };
    let part = |id: &str| PromptPart {
        id: id.into(),
        tokens: 300,
    };
    let shared = shares_prompt.then(|| part("shared"));
    let head = CallHead {
        request: "request-0123456789abcdef".into(),
        need: Some(ModelNeed::parse("model00001")),
        prompt: shared.into_iter().chain([part("own")]).collect(),
        ..CallHead::default()
    };
    CallPlan::open(NOW, head, &rule, 1)
}

fn upstream_entry(number: usize) -> UpstreamEntry {
    let held = ["model00000", "model00001", "model00002"].map(|model| HeldModel {
        model: ModelName::from(model),
        version: 1,
        adapters: Vec::new(),
    });
    UpstreamEntry {
        id: UpstreamId::from(format!("i-{number:08x}").as_str()),
        started_at_ms: 1,
        service: ServiceName::from("engines"),
        software: None,
        address: ([127, 0, 0, 1], 1).into(),
        zone: ZoneName::from(["zone", "other"][number % 2]),
        slots: 12,
        phase: UpstreamPhase::Ready,
        models: held.to_vec(),
        local_copies: Vec::new(),
    }
}
