//! Requests and parts of prompts that crash upstreams, told apart from sound ones.

mod agreement;
mod holds;
mod progress;

use quetzalpin::prelude::*;
use quetzalpin::quarantine::{
    AnswerProgress, CrashSuspect, CrashTracker, PromptPartId, RequestFingerprint, RequestSuspects,
    SuspectVerdict,
};
use rstest::rstest;

const SYSTEM: PromptPartId = PromptPartId(1);
const DEADLY: PromptPartId = PromptPartId(666);
const OTHER: PromptPartId = PromptPartId(7);

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn suspects(request: u64, parts: &[PromptPartId]) -> RequestSuspects<'_> {
    RequestSuspects {
        request: RequestFingerprint(request),
        parts,
    }
}

/// A request whose answer had not begun at a crash.
fn crash(tracker: &mut CrashTracker, crash: u64, request: u64, parts: &[PromptPartId]) {
    crash_at(tracker, AnswerProgress::NOTHING, crash, request, parts);
}

/// A request whose answer had come so far at a crash.
fn crash_at(
    tracker: &mut CrashTracker,
    lost_at: AnswerProgress,
    crash: u64,
    request: u64,
    parts: &[PromptPartId],
) {
    tracker.record_crash(at(crash), crash, suspects(request, parts), lost_at);
}

/// An answer of which so many events have arrived.
fn events(count: u64) -> AnswerProgress {
    AnswerProgress::events(count)
}

/// A request whose answer has begun, and that was in flight at no crash.
fn answer(tracker: &mut CrashTracker, parts: &[PromptPartId]) {
    answer_to(tracker, AnswerProgress::BEGUN, parts);
}

/// A request whose answer has come so far, and that was in flight at no crash.
fn answer_to(tracker: &mut CrashTracker, progress: AnswerProgress, parts: &[PromptPartId]) {
    tracker.record_answered(suspects(0, parts), progress);
}

/// The first of these parts that must not reach an upstream.
fn held_back(tracker: &CrashTracker, parts: &[PromptPartId]) -> Option<PromptPartId> {
    let is_held = |part: &&PromptPartId| tracker.held().contains(CrashSuspect::Part(**part));
    parts.iter().find(is_held).copied()
}

/// Verdict on a request that was in flight at no crash, while suspects are held back.
fn verdict(tracker: &CrashTracker, parts: &[PromptPartId]) -> SuspectVerdict {
    verdict_at(tracker, 100, 0, parts)
}

fn verdict_at(
    tracker: &CrashTracker,
    millis: u64,
    request: u64,
    parts: &[PromptPartId],
) -> SuspectVerdict {
    tracker.verdict(at(millis), suspects(request, parts))
}

/// Guards against a part that crashes engine after engine (BUDGET): no two requests with it are
/// alike, so that a fingerprint of the whole request never meets the same one again.
#[test]
fn a_part_of_different_requests_at_two_crashes_is_held_back() {
    let mut tracker = CrashTracker::open();
    crash(&mut tracker, 1, 100, &[SYSTEM, DEADLY]);
    assert_eq!(held_back(&tracker, &[SYSTEM, DEADLY]), None);
    answer(&mut tracker, &[SYSTEM, OTHER]);
    crash(&mut tracker, 2, 200, &[SYSTEM, DEADLY]);
    answer(&mut tracker, &[SYSTEM]);
    assert_eq!(held_back(&tracker, &[SYSTEM, DEADLY]), Some(DEADLY));
}

/// Guards against sound requests that are refused beside it (LOST): they share the caller and all
/// other parts with those that crash.
#[test]
fn parts_of_requests_that_are_answered_are_not_held_back() {
    let mut tracker = CrashTracker::open();
    for number in 1..=20 {
        crash(&mut tracker, number, number, &[SYSTEM, OTHER, DEADLY]);
        answer(&mut tracker, &[SYSTEM, OTHER]);
    }
    assert_eq!(held_back(&tracker, &[SYSTEM, OTHER]), None);
    assert_eq!(held_back(&tracker, &[SYSTEM, OTHER, DEADLY]), Some(DEADLY));
}

/// Guards against the same, where several engines crash at one moment and no answer comes between.
#[test]
fn a_part_answered_before_a_crash_of_many_engines_is_not_held_back() {
    let mut tracker = CrashTracker::open();
    answer(&mut tracker, &[SYSTEM]);
    for number in 1..=4 {
        crash(&mut tracker, number, number, &[SYSTEM]);
    }
    assert_eq!(held_back(&tracker, &[SYSTEM]), None);
}

/// Guards against a sound request that is refused because it was at two crashes of a deadly part by
/// chance.
#[test]
fn a_request_at_some_crashes_of_a_deadly_part_is_not_held_back() {
    let mut tracker = CrashTracker::open();
    for number in 1..=3 {
        crash(&mut tracker, number, number, &[DEADLY]);
    }
    for number in 1..=2 {
        crash_at(&mut tracker, AnswerProgress::BEGUN, number, 77, &[SYSTEM]);
    }
    assert_eq!(
        verdict_at(&tracker, 10, 77, &[SYSTEM]),
        SuspectVerdict::Clear
    );
    crash(&mut tracker, 9, 77, &[SYSTEM]);
    let verdict = verdict_at(&tracker, 10, 77, &[SYSTEM]);
    assert_eq!(
        verdict,
        SuspectVerdict::HeldBack(RequestFingerprint(77).into())
    );
}

/// Guards against a part that was harmless until the engines' software or weights changed.
#[test]
fn a_part_that_turns_deadly_is_held_back_in_the_end() {
    let mut tracker = CrashTracker::open();
    answer(&mut tracker, &[DEADLY]);
    for number in 1..=6 {
        crash(&mut tracker, number, number, &[DEADLY]);
    }
    assert_eq!(held_back(&tracker, &[DEADLY]), Some(DEADLY));
}

/// Guards against a part held back for the crashes of another one that is found later.
#[test]
fn a_part_at_some_crashes_of_a_part_with_more_is_not_held_back() {
    let mut tracker = CrashTracker::open();
    crash(&mut tracker, 1, 1, &[OTHER, DEADLY]);
    crash(&mut tracker, 2, 2, &[OTHER, DEADLY]);
    crash(&mut tracker, 3, 3, &[DEADLY]);
    assert_eq!(held_back(&tracker, &[OTHER]), None);
    assert_eq!(held_back(&tracker, &[DEADLY]), Some(DEADLY));
}

/// One request that is sent twice proves nothing about its parts: the whole request may be at fault.
#[rstest]
#[case::one_crash_seen_by_two_requests(&[(1, 1), (1, 2)])]
#[case::one_request_at_two_crashes(&[(1, 1), (2, 1)])]
fn a_single_crash_or_request_holds_no_part_back(#[case] witnesses: &[(u64, u64)]) {
    let mut tracker = CrashTracker::open();
    for (number, request) in witnesses {
        crash(&mut tracker, *number, *request, &[DEADLY]);
    }
    assert_eq!(held_back(&tracker, &[DEADLY]), None);
}
