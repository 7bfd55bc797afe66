//! Engines of different speeds behind several gateways, without sockets and in simulated time.

mod sim_engine;
mod sim_gateway;

use quetzalpin::fleet::{
    FeedVersion, HeldModel, ModelNeed, RouteKind, RouteRule, UpstreamChange, UpstreamEntry,
    UpstreamPhase, UpstreamRoster, UpstreamUpdate, WeightedService,
};
use quetzalpin::gateway::{CallHead, CallPlan, PromptPart};
use quetzalpin::prelude::*;

pub use sim_engine::{BusyNeighbour, SimEngine};
pub use sim_gateway::SimGateway;

pub const STEP_MS: u64 = 10;
pub const MODEL: &str = "m1";

/// What a run measures.
#[derive(Debug, Default)]
pub struct SimResult {
    /// Requests sent to each engine.
    pub sent: Vec<u32>,
    pub ended: u32,
    /// Milliseconds from arrival to end, summed.
    pub total_ms: u64,
    /// Requests sent to an engine in a slow moment.
    pub sent_in_slow_moment: u32,
}

impl SimResult {
    pub fn mean_ms(&self) -> f64 {
        self.total_ms as f64 / f64::from(self.ended.max(1))
    }

    pub fn share(&self, engine: usize) -> f64 {
        f64::from(self.sent[engine]) / f64::from(self.sent.iter().sum::<u32>().max(1))
    }
}

/// Gateways and engines with their requests.
pub struct SimFleet {
    pub engines: Vec<SimEngine>,
    pub gateways: Vec<SimGateway>,
    random: fastrand::Rng,
    now_ms: u64,
    serial: u64,
    pub events_per_stream: f64,
    pub prompt_tokens: u32,
}

impl SimFleet {
    pub fn open(engines: Vec<SimEngine>, gateways: usize, learns: bool) -> Self {
        let roster = |_| SimGateway::open(roster_of(engines.len()), engines.len(), learns);
        Self {
            gateways: (0..gateways).map(roster).collect(),
            engines,
            random: fastrand::Rng::with_seed(7),
            now_ms: 1_000,
            serial: 0,
            events_per_stream: 60.0,
            prompt_tokens: 300,
        }
    }

    /// Runs for a time with a mean number of requests per second. Only requests that begin after
    /// `warm_up_ms` are measured.
    pub fn run(&mut self, duration_ms: u64, per_s: f64, warm_up_ms: u64) -> SimResult {
        let mut result = SimResult {
            sent: vec![0; self.engines.len()],
            ..SimResult::default()
        };
        let measured_from = self.now_ms + warm_up_ms;
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            let chance = per_s * STEP_MS as f64 / 1_000.0;
            let arrivals = chance as u32 + u32::from(self.random.f64() < chance.fract());
            for _ in 0..arrivals {
                self.send(measured_from, &mut result);
            }
            for index in 0..self.engines.len() {
                self.advance(index, measured_from, &mut result);
            }
            self.now_ms += STEP_MS;
        }
        result
    }

    fn send(&mut self, measured_from: u64, result: &mut SimResult) {
        let now = MonoTime::from_millis(self.now_ms);
        self.serial += 1;
        let gateway = self.random.usize(..self.gateways.len());
        let plan = stream_plan(now, &format!("request-{}", self.serial), self.prompt_tokens);
        let engine = self.gateways[gateway]
            .choose(now, &plan)
            .expect("an engine");
        if self.now_ms >= measured_from {
            result.sent[engine] += 1;
            let is_slow = self.engines[engine].is_in_slow_moment(self.now_ms);
            result.sent_in_slow_moment += u32::from(is_slow);
        }
        self.gateways[gateway].begin(engine, self.prompt_tokens);
        self.engines[engine].begin(
            self.now_ms,
            gateway,
            self.events_per_stream,
            self.prompt_tokens,
        );
    }

    fn advance(&mut self, index: usize, measured_from: u64, result: &mut SimResult) {
        let now = MonoTime::from_millis(self.now_ms);
        let engine = &mut self.engines[index];
        let report = engine.advance(self.now_ms);
        for head in report.heads {
            let gateway = &mut self.gateways[head.gateway];
            gateway.record_head(now, index, head.load, head.figure, self.prompt_tokens);
        }
        for events in report.events {
            self.gateways[events.gateway].record_events(now, index, events.stream, events.count);
        }
        for end in report.ends {
            self.gateways[end.gateway].end(index, end.stream);
            if end.begun_ms >= measured_from {
                result.ended += 1;
                result.total_ms += self.now_ms - end.begun_ms;
            }
        }
    }
}

pub fn roster_of(engines: usize) -> UpstreamRoster {
    let mut roster = UpstreamRoster::open();
    let changes = (0..engines).map(|number| UpstreamChange::Listed(entry(number)));
    let update = UpstreamUpdate {
        version: FeedVersion::in_first_era(1),
        newest_change: FeedVersion::in_first_era(1),
        is_snapshot: true,
        changes: changes.collect(),
    };
    roster.apply(MonoTime::default(), update);
    roster
}

pub fn upstream_id(number: usize) -> UpstreamId {
    UpstreamId::from(format!("i-{number}").as_str())
}

fn entry(number: usize) -> UpstreamEntry {
    UpstreamEntry {
        id: upstream_id(number),
        started_at_ms: 5,
        service: ServiceName::from("engines"),
        software: None,
        address: ([127, 0, 0, 1], 9_000).into(),
        zone: ZoneName::from("home"),
        slots: 32,
        phase: UpstreamPhase::Ready,
        models: vec![HeldModel {
            model: ModelName::from(MODEL),
            version: 1,
            adapters: Vec::new(),
        }],
        local_copies: Vec::new(),
    }
}

pub fn stream_plan(now: MonoTime, request: &str, prompt_tokens: u32) -> CallPlan {
    let rule = RouteRule {
        name: "chat".into(),
        host: "host".into(),
        path_prefix: "/".into(),
        kind: RouteKind::Stream {
            is_resumable: false,
            gap_ms: 300,
        },
        timeout_ms: 12_000,
        target_ms: 500,
        rank: 0,
        services: vec![WeightedService {
            service: ServiceName::from("engines"),
            weight: 1,
        }],
        max_attempts: 1,
        is_key_exempt: false,
    };
    let head = CallHead {
        request: request.into(),
        deadline_ms: Some(12_000),
        need: Some(ModelNeed::parse(MODEL)),
        prompt: vec![PromptPart {
            id: "own".into(),
            tokens: prompt_tokens,
        }],
        ..CallHead::default()
    };
    CallPlan::open(now, head, &rule, 1)
}
