//! Where upstreams are equally fast, the choice is the one by count.
#![allow(clippy::cast_precision_loss)]

mod choice_by_count;

use choice_by_count::choose_even;
use proptest::prelude::*;
use quetzalpin::fleet::{
    FeedVersion, HeldModel, ModelNeed, RouteKind, RouteRule, UpstreamChange, UpstreamEntry,
    UpstreamKey, UpstreamPhase, UpstreamRoster, UpstreamUpdate, WeightedService,
};
use quetzalpin::gateway::{
    AttemptResult, CallHead, CallPlan, ChoiceInput, LoadTracker, PauseRegistry, PlacementView,
    PromptPart, choose_upstream,
};
use quetzalpin::prelude::*;
use quetzalpin::rate_limit::{RateLimiter, RequestRate};
use quetzalpin::upstream_speed::{DurationFigure, SpeedTracker, WorkClass, WorkSample};

/// Random state of one upstream.
#[derive(Debug, Clone)]
struct UpstreamCase {
    zone: u8,
    slots: u32,
    in_flight: u32,
    reported: Option<u32>,
    unread_tokens: u32,
    failures: u8,
    limit_per_s: Option<f64>,
    pause_ms: Option<u64>,
    has_model: bool,
    is_ready: bool,
    is_tried: bool,
    /// Percent of the usual duration of an event.
    duration: f64,
    figure: Option<f64>,
}

fn upstream_case() -> impl Strategy<Value = UpstreamCase> {
    let state = (
        0_u8..3,
        1_u32..40,
        0_u32..50,
        proptest::option::of(0_u32..60),
        0_u32..8_000,
        0_u8..4,
    );
    let rare = (
        proptest::option::weighted(0.2, 0.1_f64..20.0),
        proptest::option::weighted(0.1, 1_u64..3_000),
        proptest::bool::weighted(0.8),
        proptest::bool::weighted(0.9),
        proptest::bool::weighted(0.1),
    );
    let speed = (
        92.0_f64..108.0,
        proptest::option::weighted(0.5, 95.0_f64..110.0),
    );
    (state, rare, speed).prop_map(|(state, rare, speed)| UpstreamCase {
        zone: state.0,
        slots: state.1,
        in_flight: state.2,
        reported: state.3,
        unread_tokens: state.4,
        failures: state.5,
        limit_per_s: rare.0,
        pause_ms: rare.1,
        has_model: rare.2,
        is_ready: rare.3,
        is_tried: rare.4,
        duration: speed.0,
        figure: speed.1,
    })
}

fn entry(number: usize, case: &UpstreamCase) -> UpstreamEntry {
    let held = case.has_model.then(|| HeldModel {
        model: ModelName::from("m1"),
        version: 1,
        adapters: Vec::new(),
    });
    UpstreamEntry {
        id: UpstreamId::from(format!("i-{number}").as_str()),
        started_at_ms: 5,
        service: ServiceName::from("engines"),
        software: None,
        address: ([127, 0, 0, 1], 9_000).into(),
        zone: ZoneName::from(format!("zone-{}", case.zone).as_str()),
        slots: case.slots,
        phase: if case.is_ready {
            UpstreamPhase::Ready
        } else {
            UpstreamPhase::Draining
        },
        models: held.into_iter().collect(),
        local_copies: Vec::new(),
    }
}

fn plan(request: &str, prompt: Vec<PromptPart>) -> CallPlan {
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
        need: Some(ModelNeed::parse("m1")),
        prompt,
        ..CallHead::default()
    };
    CallPlan::open(MonoTime::from_millis(1_000), head, &rule, 1)
}

/// State of all upstreams.
struct ChoiceState {
    now: MonoTime,
    roster: UpstreamRoster,
    placement: PlacementView,
    loads: LoadTracker,
    speeds: SpeedTracker,
    pauses: PauseRegistry,
    limiter: RateLimiter,
    tried: Vec<UpstreamKey>,
}

impl ChoiceState {
    fn open(cases: &[UpstreamCase]) -> Self {
        let now = MonoTime::from_millis(100_000);
        let mut roster = UpstreamRoster::open();
        let listed = cases
            .iter()
            .enumerate()
            .map(|(number, case)| UpstreamChange::Listed(entry(number, case)));
        let update = UpstreamUpdate {
            version: FeedVersion::in_first_era(1),
            newest_change: FeedVersion::in_first_era(1),
            is_snapshot: true,
            changes: listed.collect(),
        };
        roster.apply(MonoTime::default(), update);
        let mut placement = PlacementView::open();
        placement.apply_roster(&roster);
        let mut state = Self {
            now,
            placement,
            loads: LoadTracker::open(),
            speeds: SpeedTracker::open(),
            pauses: PauseRegistry::open(),
            limiter: RateLimiter::open(),
            tried: Vec::new(),
            roster,
        };
        state.limiter.record_planner_answer(now, 1);
        for (number, case) in cases.iter().enumerate() {
            state.add(number, case);
        }
        state
    }

    fn add(&mut self, number: usize, case: &UpstreamCase) {
        let entry = entry(number, case);
        let key = self.roster.key_of(&entry.id).expect("a listed upstream");
        let now = self.now;
        for _ in 0..case.in_flight {
            self.loads.begin_request(key);
        }
        if let Some(count) = case.reported {
            self.loads.record_load(now - 100, key, count);
        }
        self.loads.begin_prompt(key, case.unread_tokens);
        for _ in 0..case.failures {
            self.loads.record_result(now, key, AttemptResult::Failed);
        }
        let limit = case.limit_per_s.and_then(RequestRate::from_per_s);
        self.limiter.record_answer(now, key, limit);
        if let Some(pause_ms) = case.pause_ms {
            self.pauses.record(now, &entry, pause_ms);
        }
        if case.is_tried {
            self.tried.push(key);
        }
        let figure = case
            .figure
            .map(|percent| DurationFigure::of_percent(Some(percent)));
        self.speeds.record_figure(now, key, &entry.service, figure);
        let class = WorkClass {
            service: entry.service.clone(),
            model: Some(ModelName::from("m1")),
            is_stream: true,
        };
        for step in 0..40 {
            let sample = WorkSample {
                class: &class,
                load: 1,
                work_ms: case.duration,
            };
            self.speeds
                .record_work(now - 50_000 + step * 1_000, key, sample);
        }
    }
}

proptest! {
    /// Guards against another choice where upstreams are equally fast, with learned speeds and figures
    /// within a quarter of each other.
    #[test]
    fn equal_speeds_leave_the_choice_as_it_was(
        cases in proptest::collection::vec(upstream_case(), 0..12),
        request in "[a-z0-9]{1,20}",
        shares_prompt in any::<bool>(),
        prompt_tokens in 0_u32..12_000,
    ) {
        let state = ChoiceState::open(&cases);
        let part = |id: &str, tokens| PromptPart { id: id.into(), tokens };
        let prompt = if shares_prompt {
            vec![part("shared", 100), part("own", prompt_tokens)]
        } else {
            vec![part("own", prompt_tokens)]
        };
        let plan = plan(&request, prompt);
        let input = ChoiceInput {
            now: state.now,
            plan: &plan,
            roster: &state.roster,
            placement: &state.placement,
            loads: &state.loads,
            speeds: &state.speeds,
            pauses: &state.pauses,
            limiter: &state.limiter,
            software: None,
            tried: &state.tried,
            zone: &ZoneName::from("zone-0"),
            is_near: &|zone| zone.as_str() != "zone-2",
        };
        prop_assert_eq!(choose_upstream(&input), choose_even(&input));
    }
}
