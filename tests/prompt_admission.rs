//! Limit on the unread prompt tokens of an engine, under the loads that it is made for.

use quetzalpin::gateway::PromptAdmission;
use quetzalpin::prelude::*;
use quetzalpin::upstream_speed::{DurationFactor, UpstreamSpeed};
use rstest::rstest;

const URGENT_RANK: u8 = 0;
const NORMAL_RANK: u8 = 2;
const CHAT_TARGET_MS: u64 = 500;
const CHAT_TOKENS: u32 = 826;

/// Tokens that an engine reads within one gap of 300 ms between six-token events.
const TOKENS_PER_GAP: u32 = 10_000;

fn admission(unread_tokens: u32) -> PromptAdmission {
    PromptAdmission {
        now: MonoTime::from_millis(10_000),
        prompt_tokens: CHAT_TOKENS,
        rank: URGENT_RANK,
        target_ms: CHAT_TARGET_MS,
        held_since: None,
        unread_tokens,
        gap_ms: 300,
        load: 4,
        speed: UpstreamSpeed::USUAL,
    }
}

/// Guards against stalled streams when 26 chats of one model arrive at once and a single engine has
/// the model loaded.
#[test]
fn a_burst_of_chats_leaves_time_for_running_streams() {
    let mut unread_tokens = 0;
    let mut held = 0;
    for _ in 0..26 {
        if admission(unread_tokens).hold_ms().is_some() {
            held += 1;
        } else {
            unread_tokens += CHAT_TOKENS;
        }
    }
    assert!(held > 0, "the whole burst was sent at once");
    assert!(
        unread_tokens * 2 <= TOKENS_PER_GAP,
        "two processes with the same burst would stall the streams: {unread_tokens} tokens each"
    );
}

/// Load: long reports, each larger than the window. One is sent at once only if no other prompt is
/// unread.
#[test]
fn a_prompt_larger_than_the_window_is_sent_alone() {
    let long = PromptAdmission {
        prompt_tokens: 7_400,
        ..admission(0)
    };
    assert_eq!(long.hold_ms(), None);
    let behind_other = PromptAdmission {
        unread_tokens: CHAT_TOKENS,
        ..long
    };
    assert!(behind_other.hold_ms().is_some());
}

/// Guards urgent prompts against a burst of less urgent requests, which are all sent when the model
/// that they waited for is loaded.
#[test]
fn normal_prompts_leave_room_for_urgent_ones() {
    let unread_tokens = 3_000;
    let normal = PromptAdmission {
        rank: NORMAL_RANK,
        target_ms: 4_000,
        ..admission(unread_tokens)
    };
    assert!(normal.hold_ms().is_some());
    assert_eq!(admission(unread_tokens).hold_ms(), None);
}

#[rstest]
#[case::just_held(0, Some(250))]
#[case::held_for_a_while(200, Some(50))]
#[case::held_for_half_its_target(250, None)]
fn a_prompt_is_held_for_half_of_its_target_at_most(
    #[case] held_ms: u64,
    #[case] hold_ms: Option<u64>,
) {
    let now = MonoTime::from_millis(10_000);
    let held = PromptAdmission {
        held_since: Some(now - held_ms),
        ..admission(20_000)
    };
    assert_eq!(held.hold_ms(), hold_ms);
}

fn speed(lasting: f64, present: f64) -> UpstreamSpeed {
    UpstreamSpeed {
        lasting: DurationFactor::clamped(lasting),
        present: DurationFactor::clamped(present),
    }
}

/// Guards against streams that pause at an engine that reads a third as many tokens within a gap.
#[test]
fn a_slow_engine_gets_fewer_unread_tokens() {
    let unread_tokens = 2_000;
    assert_eq!(admission(unread_tokens).hold_ms(), None);
    let at_slow_engine = PromptAdmission {
        speed: speed(3.0, 3.0),
        ..admission(unread_tokens)
    };
    assert!(at_slow_engine.hold_ms().is_some());
}

/// Load: a prompt of 2,400 tokens, which takes 80 ms of a step and 350 ms on a slow instance in a slow
/// moment. It waits for the end of the moment if streams run beside it.
#[test]
fn a_long_prompt_waits_for_the_end_of_a_slow_moment() {
    let long = PromptAdmission {
        prompt_tokens: 2_400,
        speed: speed(1.75, 4.375),
        ..admission(0)
    };
    assert!(long.hold_ms().is_some());
    let beside_none = PromptAdmission { load: 0, ..long };
    assert_eq!(beside_none.hold_ms(), None);
    let after_moment = PromptAdmission {
        speed: speed(1.75, 1.75),
        ..long
    };
    assert_eq!(after_moment.hold_ms(), None);
}

/// Guards against a prompt that waits in vain: an engine that never reads it within a gap gets it when
/// no other is unread.
#[test]
fn a_prompt_too_long_for_a_slow_engine_is_sent_alone() {
    let long = PromptAdmission {
        prompt_tokens: 7_400,
        speed: speed(3.0, 6.0),
        ..admission(0)
    };
    assert_eq!(long.hold_ms(), None);
}
