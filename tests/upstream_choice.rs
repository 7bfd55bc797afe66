//! Choice of the upstream for a request, under the loads that the choice is made for.

use std::net::SocketAddr;

use quetzalpin::fleet::{
    FeedVersion, HeldModel, ModelNeed, RouteKind, RouteRule, UpstreamChange, UpstreamEntry,
    UpstreamKey, UpstreamPhase, UpstreamRoster, UpstreamUpdate, WeightedService,
};
use quetzalpin::gateway::{
    AttemptResult, CallHead, CallPlan, ChoiceInput, LoadTracker, PauseRegistry, PlacementView,
    PromptPart, UpstreamChoice, choose_upstream,
};
use quetzalpin::orders::{PlacementUpdate, UpstreamHoldings};
use quetzalpin::prelude::*;
use quetzalpin::rate_limit::{RateLimiter, RequestRate};
use quetzalpin::upstream_speed::SpeedTracker;

const HOME_ZONE: &str = "home";
const FAR_ZONE: &str = "far";
const MODEL: &str = "m1";

/// Upstreams with load and placement, without sockets.
struct ChoiceFixture {
    roster: UpstreamRoster,
    placement: PlacementView,
    loads: LoadTracker,
    limiter: RateLimiter,
    now: MonoTime,
}

impl ChoiceFixture {
    fn open(zones: &[&str]) -> Self {
        let mut roster = UpstreamRoster::open();
        let changes = zones
            .iter()
            .enumerate()
            .map(|(number, zone)| UpstreamChange::Listed(entry(number, zone)));
        let update = UpstreamUpdate {
            version: FeedVersion::in_first_era(1),
            newest_change: FeedVersion::in_first_era(1),
            is_snapshot: true,
            changes: changes.collect(),
        };
        roster.apply(MonoTime::default(), update);
        let mut placement = PlacementView::open();
        placement.apply_roster(&roster);
        Self {
            roster,
            placement,
            loads: LoadTracker::open(),
            limiter: RateLimiter::open(),
            now: MonoTime::from_millis(1_000),
        }
    }

    fn key(&self, number: usize) -> UpstreamKey {
        let id = UpstreamId::from(format!("i-{number}").as_str());
        self.roster.key_of(&id).expect("a listed upstream")
    }

    fn choose(&self, plan: &CallPlan) -> UpstreamChoice {
        choose_upstream(&ChoiceInput {
            now: self.now,
            plan,
            roster: &self.roster,
            placement: &self.placement,
            loads: &self.loads,
            pauses: &PauseRegistry::open(),
            speeds: &SpeedTracker::open(),
            limiter: &self.limiter,
            software: None,
            tried: &[],
            zone: &ZoneName::from(HOME_ZONE),
            is_near: &|zone| zone.as_str() == HOME_ZONE,
        })
    }

    fn chosen(&self, plan: &CallPlan) -> UpstreamKey {
        match self.choose(plan) {
            UpstreamChoice::Send { key, .. } => key,
            other => panic!("no upstream was chosen: {other:?}"),
        }
    }
}

fn entry(number: usize, zone: &str) -> UpstreamEntry {
    UpstreamEntry {
        id: UpstreamId::from(format!("i-{number}").as_str()),
        started_at_ms: 5,
        service: ServiceName::from("engines"),
        software: None,
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        zone: ZoneName::from(zone),
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

fn plan(request: &str, prompt: &[(&str, u32)]) -> CallPlan {
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
    let parts = prompt.iter().map(|(id, tokens)| PromptPart {
        id: (*id).into(),
        tokens: *tokens,
    });
    let head = CallHead {
        request: request.into(),
        deadline_ms: Some(12_000),
        need: Some(ModelNeed::parse(MODEL)),
        prompt: parts.collect(),
        ..CallHead::default()
    };
    CallPlan::open(MonoTime::from_millis(1_000), head, &rule, 1)
}

/// Guards against sending a burst of long prompts to one engine. They are spread, although none of
/// them counts as running yet at the others.
#[test]
fn bursts_of_prompts_are_spread() {
    let mut fixture = ChoiceFixture::open(&[HOME_ZONE, HOME_ZONE, HOME_ZONE]);
    let mut counts = [0; 3];
    for number in 0..9 {
        let plan = plan(&format!("r{number}"), &[("p", 2_000)]);
        let key = fixture.chosen(&plan);
        fixture.loads.begin_request(key);
        fixture.loads.begin_prompt(key, plan.prompt_tokens);
        let index = (0..3)
            .find(|index| fixture.key(*index) == key)
            .expect("a known upstream");
        counts[index] += 1;
    }
    assert_eq!(counts, [3, 3, 3]);
}

/// Requests that share a prompt prefix go to the engine that caches it, until that engine is
/// clearly busier than the others.
#[test]
fn shared_prompts_use_one_upstream_while_load_allows() {
    let mut fixture = ChoiceFixture::open(&[HOME_ZONE; 4]);
    let shared = [("system", 100), ("session", 50), ("own", 10)];
    let home = fixture.chosen(&plan("r0", &shared));
    for number in 1..6 {
        assert_eq!(fixture.chosen(&plan(&format!("r{number}"), &shared)), home);
    }
    for _ in 0..12 {
        fixture.loads.begin_request(home);
    }
    assert_ne!(fixture.chosen(&plan("r7", &shared)), home);
}

/// Requests cross regions only when the engine in the own region fills up.
#[test]
fn other_regions_are_used_when_the_own_one_is_busy() {
    let mut fixture = ChoiceFixture::open(&[HOME_ZONE, FAR_ZONE]);
    let (near, far) = (fixture.key(0), fixture.key(1));
    assert_eq!(fixture.chosen(&plan("r1", &[])), near);
    for _ in 0..16 {
        fixture.loads.begin_request(near);
    }
    assert_eq!(fixture.chosen(&plan("r2", &[])), far);
}

/// An upstream that could not be reached is ejected for a while, then tried again.
#[test]
fn unreachable_upstreams_are_ejected_for_a_while() {
    let mut fixture = ChoiceFixture::open(&[HOME_ZONE]);
    let key = fixture.key(0);
    fixture
        .loads
        .record_result(fixture.now, key, AttemptResult::Unreachable);
    assert_eq!(fixture.choose(&plan("r1", &[])), UpstreamChoice::NotLoaded);
    fixture.now = fixture.now + 600;
    assert_eq!(fixture.chosen(&plan("r2", &[])), key);
}

/// An upstream that answers wrongly is used only where no other can serve.
#[test]
fn failing_upstreams_come_last() {
    let mut fixture = ChoiceFixture::open(&[HOME_ZONE, FAR_ZONE]);
    let near = fixture.key(0);
    for _ in 0..3 {
        fixture
            .loads
            .record_result(fixture.now, near, AttemptResult::Failed);
    }
    assert_eq!(fixture.chosen(&plan("r1", &[])), fixture.key(1));
    let alone = ChoiceFixture {
        loads: fixture.loads,
        ..ChoiceFixture::open(&[HOME_ZONE])
    };
    assert_eq!(alone.chosen(&plan("r2", &[])), alone.key(0));
}

/// The planner's changes take precedence over the upstream list, which is used again once the
/// planner is lost.
#[test]
fn planner_changes_override_the_upstream_list() {
    let mut fixture = ChoiceFixture::open(&[HOME_ZONE]);
    let key = fixture.key(0);
    let need = ModelNeed::parse(MODEL);
    let update = PlacementUpdate {
        epoch: 1,
        version: 1,
        holdings: vec![UpstreamHoldings {
            id: UpstreamId::from("i-0"),
            started_at_ms: 5,
            models: Vec::new(),
        }],
    };
    fixture.placement.apply_changes(&fixture.roster, &update);
    fixture.placement.apply_roster(&fixture.roster);
    assert!(!fixture.placement.can_serve(fixture.now, key, &need));
    fixture.placement.forget_planner(&fixture.roster);
    assert!(fixture.placement.can_serve(fixture.now, key, &need));
}

/// Guards against ORDER: a start of an engine that the list does not name yet, perhaps with other
/// software, gets streams of the start before.
#[test]
fn an_engine_is_not_used_once_the_planner_knows_a_later_start() {
    let mut fixture = ChoiceFixture::open(&[HOME_ZONE]);
    let model = ModelName::from(MODEL);
    let update = PlacementUpdate {
        epoch: 1,
        version: 1,
        holdings: vec![UpstreamHoldings {
            id: UpstreamId::from("i-0"),
            started_at_ms: 6,
            models: vec![(model, Vec::new())],
        }],
    };
    fixture.placement.apply_changes(&fixture.roster, &update);
    assert_eq!(fixture.choose(&plan("r1", &[])), UpstreamChoice::NotLoaded);
}

/// An engine's report of a missing model expires shortly after.
#[test]
fn an_engine_without_the_model_is_skipped_briefly() {
    let mut fixture = ChoiceFixture::open(&[HOME_ZONE]);
    let key = fixture.key(0);
    let need = ModelNeed::parse(MODEL);
    fixture.placement.record_missing(fixture.now, key, &need);
    assert_eq!(fixture.choose(&plan("r1", &[])), UpstreamChoice::NotLoaded);
    fixture.now = fixture.now + 500;
    assert_eq!(fixture.chosen(&plan("r2", &[])), key);
}

/// Guards against late results counted for the wrong upstream: a request ends at an upstream that
/// has crashed and restarted meanwhile, so that the new start has taken its slot.
#[test]
fn a_late_end_at_a_replaced_upstream_counts_nowhere() {
    let mut fixture = ChoiceFixture::open(&[HOME_ZONE]);
    let gone = fixture.key(0);
    let mut again = entry(0, HOME_ZONE);
    again.started_at_ms += 1;
    let update = UpstreamUpdate {
        version: FeedVersion::in_first_era(2),
        newest_change: FeedVersion::in_first_era(2),
        is_snapshot: false,
        changes: vec![UpstreamChange::Listed(again)],
    };
    fixture.roster.apply(fixture.now, update);
    let present = fixture.key(0);
    assert_ne!(gone, present);
    fixture.loads.begin_request(present);
    fixture.loads.begin_prompt(gone, 100);
    fixture.loads.record_load(fixture.now, gone, 7);
    fixture
        .loads
        .record_result(fixture.now, gone, AttemptResult::Failed);
    fixture.loads.end_request(gone);
    assert_eq!(fixture.loads.estimate(fixture.now, present), 1);
    assert!(!fixture.loads.is_suspect(fixture.now, present));
}

/// Sets a limit at an upstream whose planner answers.
fn limit(fixture: &mut ChoiceFixture, number: usize, per_s: f64) {
    let (now, key) = (fixture.now, fixture.key(number));
    let limit = RequestRate::from_per_s(per_s);
    fixture.limiter.record_answer(now, key, limit);
    fixture.limiter.record_planner_answer(now, 1);
}

/// Guards against requests that pile up at an engine without a limit while limited ones are idle:
/// a short wait for a token costs less than a full engine.
#[test]
fn a_request_waits_for_a_limited_upstream_rather_than_join_a_full_one() {
    let mut fixture = ChoiceFixture::open(&[HOME_ZONE, HOME_ZONE]);
    limit(&mut fixture, 0, 4.0);
    let request = plan("r1", &[("p", 100)]);
    assert_eq!(fixture.chosen(&request), fixture.key(1));
    for _ in 0..48 {
        fixture.loads.begin_request(fixture.key(1));
    }
    let expected = UpstreamChoice::Limited {
        key: fixture.key(0),
        forecast_ms: 250,
    };
    assert_eq!(fixture.choose(&request), expected);
}

/// Guards against a request that waits for a token beyond its time though another upstream can
/// serve it.
#[test]
fn a_token_that_comes_too_late_is_not_waited_for_while_another_upstream_can_serve() {
    let mut fixture = ChoiceFixture::open(&[HOME_ZONE, HOME_ZONE]);
    limit(&mut fixture, 0, 0.2);
    for _ in 0..48 {
        fixture.loads.begin_request(fixture.key(1));
    }
    let request = plan("r1", &[("p", 100)]);
    assert_eq!(fixture.chosen(&request), fixture.key(1));
}
