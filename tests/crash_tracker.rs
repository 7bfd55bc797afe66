//! Requests and parts of prompts that crash upstreams, told apart from sound ones.

use proptest::prelude::*;
use quetzalpin::prelude::*;
use quetzalpin::quarantine::{
    CrashRecord, CrashSuspect, CrashTracker, PromptPartId, RequestFingerprint, RequestSuspects,
    SuspectVerdict,
};
use rstest::rstest;

const SYSTEM: PromptPartId = PromptPartId(1);
const DEADLY: PromptPartId = PromptPartId(666);
const OTHER: PromptPartId = PromptPartId(7);

/// Milliseconds for which a part is held back after its latest crash.
const HOLD_MS: u64 = 600_000;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn suspects(request: u64, parts: &[PromptPartId]) -> RequestSuspects<'_> {
    RequestSuspects {
        request: RequestFingerprint(request),
        parts,
    }
}

/// A request that was in flight at a crash.
fn crash(tracker: &mut CrashTracker, crash: u64, request: u64, parts: &[PromptPartId]) {
    tracker.record_crash(at(crash), crash, suspects(request, parts));
}

/// A request that was answered and in flight at no crash.
fn answer(tracker: &mut CrashTracker, parts: &[PromptPartId]) {
    tracker.record_answered(suspects(0, parts));
}

/// The first of these parts that must not reach an upstream.
fn held_back(tracker: &CrashTracker, parts: &[PromptPartId]) -> Option<PromptPartId> {
    let is_held = |part: &&PromptPartId| tracker.held().contains(CrashSuspect::Part(**part));
    parts.iter().find(is_held).copied()
}

/// Verdict on a request that was in flight at no crash.
fn verdict(tracker: &CrashTracker, parts: &[PromptPartId]) -> SuspectVerdict {
    tracker.verdict(suspects(0, parts))
}

/// All records, in one order.
fn sorted_records(tracker: &CrashTracker) -> Vec<CrashRecord> {
    let mut records = tracker.records(at(100));
    records.sort_unstable();
    records
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

/// Guards against a process that has just started, or a planner that has just begun, and lets such
/// requests through: all records pass from any process to any other at any later time.
#[test]
fn a_process_that_has_just_started_learns_all_records() {
    let mut old = CrashTracker::open();
    crash(&mut old, 1, 1, &[DEADLY]);
    crash(&mut old, 2, 2, &[DEADLY]);
    let mut new = CrashTracker::open();
    assert_ne!(old.held().digest(), new.held().digest());
    new.merge(at(60_000), &old.records(at(60_000)));
    assert_eq!(held_back(&new, &[DEADLY]), Some(DEADLY));
    assert_eq!(old.held().digest(), new.held().digest());
}

#[test]
fn a_part_is_tried_again_when_its_time_is_over() {
    let mut tracker = CrashTracker::open();
    crash(&mut tracker, 1, 1, &[DEADLY]);
    crash(&mut tracker, 2, 2, &[DEADLY]);
    tracker.expire(at(HOLD_MS));
    assert_eq!(held_back(&tracker, &[DEADLY]), Some(DEADLY));
    tracker.expire(at(HOLD_MS + 10));
    assert_eq!(held_back(&tracker, &[DEADLY]), None);
    let late = CrashRecord {
        suspect: DEADLY.into(),
        crash: 3,
        request: RequestFingerprint(3),
        is_cleared: false,
        age_ms: HOLD_MS,
    };
    tracker.merge(at(HOLD_MS + 10), &[late]);
    assert!(tracker.records(at(HOLD_MS + 10)).is_empty());
}

#[derive(Debug, Clone)]
enum Step {
    Crash {
        at_process: usize,
        crash: u64,
        request: u64,
        part: u64,
    },
    Answer {
        at_process: usize,
        part: u64,
    },
    Tell {
        from: usize,
        to: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    const PROCESSES: usize = 3;
    prop_oneof![
        (0..PROCESSES, 0..6_u64, 0..4_u64, 0..3_u64).prop_map(
            |(at_process, crash, request, part)| Step::Crash {
                at_process,
                crash,
                request,
                part
            }
        ),
        (0..PROCESSES, 0..3_u64).prop_map(|(at_process, part)| Step::Answer { at_process, part }),
        (0..PROCESSES, 0..PROCESSES).prop_map(|(from, to)| Step::Tell { from, to }),
    ]
}

fn tell(processes: &mut [CrashTracker], from: usize, to: usize) {
    let records = processes[from].records(at(100));
    processes[to].merge(at(100), &records);
}

proptest! {
    /// Guards against processes that never agree which parts are held back: whatever was lost or came
    /// twice or in another order, they agree once each has told each other.
    #[test]
    fn processes_that_tell_each_other_agree(steps in proptest::collection::vec(step(), 0..60)) {
        let mut processes: Vec<CrashTracker> = (0..3).map(|_| CrashTracker::open()).collect();
        for step in steps {
            match step {
                Step::Crash { at_process, crash, request, part } => {
                    let parts = [PromptPartId(part)];
                    let suspects = suspects(request, &parts);
                    processes[at_process].record_crash(at(10), crash, suspects);
                }
                Step::Answer { at_process, part } => {
                    answer(&mut processes[at_process], &[PromptPartId(part)]);
                }
                Step::Tell { from, to } => tell(&mut processes, from, to),
            }
        }
        // Two rounds: what a process clears on hearing of a crash goes back with the second one.
        for _ in 0..2 {
            for (from, to) in [(0, 1), (1, 2), (2, 0), (0, 1), (1, 2)] {
                tell(&mut processes, from, to);
            }
        }
        let digests: Vec<u64> = processes.iter().map(|process| process.held().digest()).collect();
        prop_assert!(digests.iter().all(|digest| *digest == digests[0]));
        let records: Vec<Vec<CrashRecord>> = processes.iter().map(sorted_records).collect();
        prop_assert!(records.iter().all(|known| *known == records[0]));
        for part in 0..3 {
            let verdicts = processes.iter().map(|process| held_back(process, &[PromptPartId(part)]));
            let verdicts: Vec<Option<PromptPartId>> = verdicts.collect();
            prop_assert!(verdicts.iter().all(|verdict| *verdict == verdicts[0]));
        }
    }
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
