//! Limit on the unread prompt tokens of an engine, under the loads that it is made for.

use quetzalpin::gateway::PromptAdmission;
use quetzalpin::prelude::*;
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
