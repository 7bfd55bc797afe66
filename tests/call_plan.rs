//! Time that a request may wait for its model.

use quetzalpin::fleet::{ModelNeed, RouteKind, RouteRule, WeightedService};
use quetzalpin::gateway::{CallHead, CallPlan, ResumePoint};
use quetzalpin::prelude::*;
use rstest::rstest;

const DEADLINE_MS: u64 = 20_000;
const TARGET_MS: u64 = 4_000;

/// Guards against waits that leave too little time for the answer. A request for a model that no
/// engine has loaded waits as long as its client waits for the first event, unless the answer would
/// then end after the deadline: an engine takes at least 6 ms for a token.
#[rstest]
#[case::short_answer(Some(100), 15_800)]
#[case::answer_of_unknown_length(None, 15_800)]
#[case::long_answer(Some(900), 14_400)]
#[case::answer_that_never_ends_in_time(Some(10_000), 0)]
fn a_wait_leaves_time_for_the_answer(#[case] output_tokens: Option<u32>, #[case] wait_ms: u64) {
    let now = MonoTime::from_millis(1_000);
    let plan = CallPlan::open(now, head(output_tokens), &rule(), 1);
    assert_eq!(plan.wait_until.millis_since(now), wait_ms);
}

/// Guards against LOST (review/8): a stream that is taken up late is refused at once, because time is
/// reserved for the largest answer, as if its client had received nothing.
#[rstest]
#[case::after_an_event(Some(850))]
#[case::after_an_event_of_unknown_number(None)]
fn a_wait_reserves_no_time_for_an_answer_that_is_taken_up(#[case] after: Option<u64>) {
    let now = MonoTime::from_millis(1_000);
    let call = CallHead {
        deadline_ms: Some(4_000),
        resume: Some(ResumePoint {
            after,
            first_attempt: None,
        }),
        ..head(Some(900))
    };
    let plan = CallPlan::open(now, call, &rule(), 1);
    assert_eq!(plan.wait_until.millis_since(now), 3_800);
}

fn head(output_tokens: Option<u32>) -> CallHead {
    CallHead {
        request: "r1".into(),
        deadline_ms: Some(DEADLINE_MS),
        need: Some(ModelNeed::parse("m1")),
        output_tokens,
        ..CallHead::default()
    }
}

fn rule() -> RouteRule {
    RouteRule {
        name: "notes".into(),
        host: "host".into(),
        path_prefix: "/".into(),
        kind: RouteKind::Stream {
            is_resumable: true,
            gap_ms: 300,
        },
        timeout_ms: DEADLINE_MS,
        target_ms: TARGET_MS,
        rank: 2,
        services: vec![WeightedService {
            service: ServiceName::from("engines"),
            weight: 1,
        }],
        max_attempts: 2,
        is_key_exempt: false,
    }
}
