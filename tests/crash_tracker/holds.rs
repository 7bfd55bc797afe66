//! How long a suspect is held back, and when it is tried.

use quetzalpin::quarantine::{
    AnswerProgress, CrashRecord, CrashTracker, RequestFingerprint, SuspectVerdict,
};

use crate::{DEADLY, OTHER, answer, at, crash, held_back, suspects, verdict, verdict_at};

/// Milliseconds for which a part is held back after its latest crash.
const HOLD_MS: u64 = 600_000;

/// Milliseconds for which a request is held back after its latest crash.
const REQUEST_HOLD_MS: u64 = 60_000;

/// Milliseconds after which a crash is forgotten.
const FORGET_MS: u64 = 3_600_000;

#[test]
fn a_part_is_tried_again_when_its_time_is_over() {
    let mut tracker = CrashTracker::open();
    crash(&mut tracker, 1, 1, &[DEADLY]);
    crash(&mut tracker, 2, 2, &[DEADLY]);
    tracker.expire(at(HOLD_MS));
    assert_eq!(held_back(&tracker, &[DEADLY]), Some(DEADLY));
    assert_eq!(
        verdict_at(&tracker, HOLD_MS, 0, &[DEADLY]),
        SuspectVerdict::HeldBack(DEADLY.into())
    );
    assert_eq!(
        verdict_at(&tracker, HOLD_MS + 10, 0, &[DEADLY]),
        SuspectVerdict::Uncertain(DEADLY.into())
    );
    tracker.expire(at(FORGET_MS));
    assert_eq!(held_back(&tracker, &[DEADLY]), Some(DEADLY));
    tracker.expire(at(FORGET_MS + 10));
    assert_eq!(held_back(&tracker, &[DEADLY]), None);
    let late = CrashRecord {
        suspect: DEADLY.into(),
        crash: 3,
        request: RequestFingerprint(3),
        least_lost: AnswerProgress::NOTHING,
        most_lost: AnswerProgress::NOTHING,
        answered: AnswerProgress::NOTHING,
        age_ms: FORGET_MS,
    };
    tracker.merge(at(FORGET_MS + 10), &[late]);
    assert!(tracker.records_since(at(FORGET_MS + 10), 0).is_empty());
}

/// Guards against a request that keeps coming and is let through by all gateways at one moment
/// (BUDGET): when its time is over, it is uncertain, so that one process tries it; each failed trial
/// doubles the time.
#[test]
fn a_request_that_keeps_coming_is_tried_ever_less_often() {
    let mut tracker = CrashTracker::open();
    let deadly = RequestFingerprint(7);
    let held_back = SuspectVerdict::HeldBack(deadly.into());
    let uncertain = SuspectVerdict::Uncertain(deadly.into());
    crash(&mut tracker, 1, 7, &[]);
    crash(&mut tracker, 2, 7, &[]);
    let mut last = 2;
    for trial in 0..4 {
        let hold_ms = REQUEST_HOLD_MS << trial;
        assert_eq!(verdict_at(&tracker, last + hold_ms - 1, 7, &[]), held_back);
        assert_eq!(verdict_at(&tracker, last + hold_ms, 7, &[]), uncertain);
        last += hold_ms;
        crash(&mut tracker, last, 7, &[]);
    }
    tracker.record_answered(suspects(7, &[]), AnswerProgress::WHOLE);
    assert_eq!(verdict_at(&tracker, last, 7, &[]), SuspectVerdict::Clear);
}

/// Guards against a request that was in flight when many upstreams were killed at once, and is then
/// held back as long as one that failed as many trials.
#[test]
fn crashes_at_one_moment_hold_a_request_back_once() {
    let mut tracker = CrashTracker::open();
    for number in 1..=9 {
        crash(&mut tracker, number, 7, &[]);
    }
    let later = verdict_at(&tracker, 9 + REQUEST_HOLD_MS, 7, &[]);
    assert_eq!(
        later,
        SuspectVerdict::Uncertain(RequestFingerprint(7).into())
    );
}

/// Guards against sound requests that are refused for as long as records count, because one of their
/// parts stood beside the deadly one at each crash: only a trial can tell the two apart.
#[test]
fn parts_that_were_at_the_same_crashes_stay_uncertain_until_one_is_tried() {
    let mut tracker = CrashTracker::open();
    crash(&mut tracker, 1, 1, &[OTHER, DEADLY]);
    crash(&mut tracker, 2, 2, &[OTHER, DEADLY]);
    assert_eq!(
        verdict(&tracker, &[OTHER]),
        SuspectVerdict::Uncertain(OTHER.into())
    );
    assert_eq!(
        verdict(&tracker, &[DEADLY]),
        SuspectVerdict::Uncertain(DEADLY.into())
    );
    let both = verdict(&tracker, &[OTHER, DEADLY]);
    assert_eq!(
        both,
        SuspectVerdict::HeldBack(OTHER.into()),
        "a trial of both tells nothing"
    );
    answer(&mut tracker, &[OTHER]);
    assert_eq!(verdict(&tracker, &[OTHER]), SuspectVerdict::Clear);
    assert_eq!(
        verdict(&tracker, &[DEADLY]),
        SuspectVerdict::HeldBack(DEADLY.into())
    );
}
