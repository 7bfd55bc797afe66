//! Which upstream gets a request, under the loads that the choice is made for.

use std::net::SocketAddr;

use quetzalpin::fleet::{
    FeedVersion, HeldModel, ModelNeed, RouteKind, RouteRule, UpstreamChange, UpstreamEntry,
    UpstreamKey, UpstreamPhase, UpstreamRoster, UpstreamUpdate, WeightedService,
};
use quetzalpin::gateway::{
    AttemptResult, CallHead, CallPlan, ChoiceInput, LoadBook, PlacementView, PromptPart,
    UpstreamChoice, choose_upstream,
};
use quetzalpin::orders::{PlacementNews, UpstreamHoldings};
use quetzalpin::prelude::*;

const HOME_ZONE: &str = "home";
const FAR_ZONE: &str = "far";
const MODEL: &str = "m1";

/// Upstreams with load and placement, without sockets.
struct Desk {
    roster: UpstreamRoster,
    placement: PlacementView,
    loads: LoadBook,
    now: MonoTime,
}

impl Desk {
    fn open(zones: &[&str]) -> Self {
        let mut roster = UpstreamRoster::open();
        let changes = zones
            .iter()
            .enumerate()
            .map(|(number, zone)| UpstreamChange::Listed(entry(number, zone)));
        let news = UpstreamUpdate {
            version: FeedVersion(1),
            is_snapshot: true,
            changes: changes.collect(),
        };
        roster.apply(MonoTime::default(), news);
        let mut placement = PlacementView::open();
        placement.take_roster(&roster);
        Self {
            roster,
            placement,
            loads: LoadBook::open(),
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
        output_tokens: None,
    };
    CallPlan::open(MonoTime::from_millis(1_000), head, &rule, 1)
}

/// Load pattern: a clump of long prompts arrives at once. No engine gets all of them, although
/// none of them counts as running yet at the others.
#[test]
fn clumped_prompts_are_spread() {
    let mut desk = Desk::open(&[HOME_ZONE, HOME_ZONE, HOME_ZONE]);
    let mut counts = [0; 3];
    for number in 0..9 {
        let plan = plan(&format!("r{number}"), &[("p", 2_000)]);
        let key = desk.chosen(&plan);
        desk.loads.begin(key);
        desk.loads.begin_prompt(key, plan.prompt_tokens);
        let index = (0..3)
            .find(|index| desk.key(*index) == key)
            .expect("a known upstream");
        counts[index] += 1;
    }
    assert_eq!(counts, [3, 3, 3]);
}

/// Load pattern: requests that share a prompt. They meet where it is kept, until that engine
/// has clearly more to do than the others.
#[test]
fn shared_prompts_meet_while_load_allows() {
    let mut desk = Desk::open(&[HOME_ZONE; 4]);
    let shared = [("system", 100), ("session", 50), ("own", 10)];
    let home = desk.chosen(&plan("r0", &shared));
    for number in 1..6 {
        assert_eq!(desk.chosen(&plan(&format!("r{number}"), &shared)), home);
    }
    for _ in 0..12 {
        desk.loads.begin(home);
    }
    assert_ne!(desk.chosen(&plan("r7", &shared)), home);
}

/// Load pattern: the own region's engine fills up. Work crosses regions only then.
#[test]
fn other_regions_help_out_when_the_own_one_is_busy() {
    let mut desk = Desk::open(&[HOME_ZONE, FAR_ZONE]);
    let (near, far) = (desk.key(0), desk.key(1));
    assert_eq!(desk.chosen(&plan("r1", &[])), near);
    for _ in 0..16 {
        desk.loads.begin(near);
    }
    assert_eq!(desk.chosen(&plan("r2", &[])), far);
}

/// An upstream that could not be reached gets nothing for a while, then is tried again.
#[test]
fn unreachable_upstreams_are_left_alone_for_a_while() {
    let mut desk = Desk::open(&[HOME_ZONE]);
    let key = desk.key(0);
    desk.loads.ended(desk.now, key, AttemptResult::Unreachable);
    assert_eq!(desk.choose(&plan("r1", &[])), UpstreamChoice::NotLoaded);
    desk.now = desk.now + 600;
    assert_eq!(desk.chosen(&plan("r2", &[])), key);
}

/// An upstream that answers wrongly is used only where no other can serve.
#[test]
fn failing_upstreams_come_last() {
    let mut desk = Desk::open(&[HOME_ZONE, FAR_ZONE]);
    let near = desk.key(0);
    for _ in 0..3 {
        desk.loads.ended(desk.now, near, AttemptResult::Failed);
    }
    assert_eq!(desk.chosen(&plan("r1", &[])), desk.key(1));
    let alone = Desk {
        loads: desk.loads,
        ..Desk::open(&[HOME_ZONE])
    };
    assert_eq!(alone.chosen(&plan("r2", &[])), alone.key(0));
}

/// The planner's news go before the list, and the list counts again once the planner is lost.
#[test]
fn news_of_the_planner_go_before_the_list() {
    let mut desk = Desk::open(&[HOME_ZONE]);
    let key = desk.key(0);
    let need = ModelNeed::parse(MODEL);
    let news = PlacementNews {
        epoch: 1,
        version: 1,
        holdings: vec![UpstreamHoldings {
            id: UpstreamId::from("i-0"),
            started_at_ms: 5,
            models: Vec::new(),
        }],
    };
    desk.placement.take_news(&desk.roster, &news);
    desk.placement.take_roster(&desk.roster);
    assert!(!desk.placement.can_serve(desk.now, key, &need));
    desk.placement.forget_planner(&desk.roster);
    assert!(desk.placement.can_serve(desk.now, key, &need));
}

/// An engine's own word that it lacks a model holds for a moment.
#[test]
fn an_engine_that_lacks_a_model_is_passed_over_for_a_moment() {
    let mut desk = Desk::open(&[HOME_ZONE]);
    let key = desk.key(0);
    let need = ModelNeed::parse(MODEL);
    desk.placement.note_missing(desk.now, key, &need);
    assert_eq!(desk.choose(&plan("r1", &[])), UpstreamChoice::NotLoaded);
    desk.now = desk.now + 500;
    assert_eq!(desk.chosen(&plan("r2", &[])), key);
}

/// Load pattern: a request ends at an upstream that has crashed and started again meanwhile, so
/// that another start has taken its place.
#[test]
fn a_late_end_at_a_replaced_upstream_counts_nowhere() {
    let mut desk = Desk::open(&[HOME_ZONE]);
    let gone = desk.key(0);
    let mut again = entry(0, HOME_ZONE);
    again.started_at_ms += 1;
    let news = UpstreamUpdate {
        version: FeedVersion(2),
        is_snapshot: false,
        changes: vec![UpstreamChange::Listed(again)],
    };
    desk.roster.apply(desk.now, news);
    let present = desk.key(0);
    assert_ne!(gone, present);
    desk.loads.begin(present);
    desk.loads.begin_prompt(gone, 100);
    desk.loads.reported(desk.now, gone, 7);
    desk.loads.ended(desk.now, gone, AttemptResult::Failed);
    desk.loads.end(gone);
    assert_eq!(desk.loads.estimate(desk.now, present), 1);
    assert!(!desk.loads.is_suspect(desk.now, present));
}
