//! Requests and parts of prompts that crash upstreams, told apart from sound ones.

use proptest::prelude::*;
use quetzalpin::prelude::*;
use quetzalpin::quarantine::{
    AnswerProgress, CrashRecord, CrashSuspect, CrashTracker, PromptPartId, RequestFingerprint,
    RequestSuspects, SuspectVerdict,
};
use rstest::rstest;

const SYSTEM: PromptPartId = PromptPartId(1);
const DEADLY: PromptPartId = PromptPartId(666);
const OTHER: PromptPartId = PromptPartId(7);

/// Milliseconds for which a part is held back after its latest crash.
const HOLD_MS: u64 = 600_000;

/// Milliseconds for which a request is held back after its latest crash.
const REQUEST_HOLD_MS: u64 = 60_000;

/// Milliseconds after which a crash is forgotten.
const FORGET_MS: u64 = 3_600_000;

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

/// Guards against a part that crashes engine after engine once an event is out (BUDGET): the events of
/// deadly answers are no sign that the part is harmless; sound answers with the other parts are.
#[test]
fn a_part_of_answers_that_had_begun_at_two_crashes_is_held_back() {
    let mut tracker = CrashTracker::open();
    for number in 1..=2 {
        answer(&mut tracker, &[SYSTEM, DEADLY]);
        let parts = [SYSTEM, DEADLY];
        crash_at(&mut tracker, AnswerProgress::BEGUN, number, number, &parts);
    }
    answer_to(&mut tracker, AnswerProgress::WHOLE, &[SYSTEM]);
    assert_eq!(verdict(&tracker, &[SYSTEM]), SuspectVerdict::Clear);
    let deadly = verdict(&tracker, &[SYSTEM, DEADLY]);
    assert_eq!(deadly, SuspectVerdict::HeldBack(DEADLY.into()));
}

/// Guards against sound requests that are refused because engines were killed while they ran (LOST).
#[test]
fn a_part_of_answers_that_had_begun_is_free_once_one_is_whole() {
    let mut tracker = CrashTracker::open();
    for number in 1..=2 {
        crash_at(
            &mut tracker,
            AnswerProgress::BEGUN,
            number,
            number,
            &[OTHER],
        );
    }
    answer(&mut tracker, &[OTHER]);
    assert_eq!(held_back(&tracker, &[OTHER]), Some(OTHER));
    answer_to(&mut tracker, AnswerProgress::WHOLE, &[OTHER]);
    assert_eq!(held_back(&tracker, &[OTHER]), None);
}

/// Guards against a part that is freed by another deadly answer, or by a process which saw less of the
/// answer at the crash.
#[test]
fn answers_that_came_about_as_far_free_no_part() {
    let mut tracker = CrashTracker::open();
    for number in 1..=2 {
        crash(&mut tracker, number, number, &[DEADLY]);
        crash_at(&mut tracker, events(3), number, number, &[DEADLY]);
    }
    answer_to(&mut tracker, events(12), &[DEADLY]);
    assert_eq!(held_back(&tracker, &[DEADLY]), Some(DEADLY));
}

/// Guards against sound requests that are refused until one with the same part has ended (LOST): a
/// running answer that is far past the fault tells the same.
#[test]
fn a_part_is_free_once_an_answer_is_far_past_the_fault() {
    let mut tracker = CrashTracker::open();
    for number in 1..=2 {
        crash_at(&mut tracker, events(3), number, number, &[OTHER]);
    }
    answer_to(&mut tracker, events(15), &[OTHER]);
    assert_eq!(held_back(&tracker, &[OTHER]), None);
}

/// Guards against sound requests that are refused because upstreams were killed (LOST): answers that
/// were far apart at a crash can't have met the same fault.
#[test]
fn a_part_of_answers_far_apart_at_each_crash_is_not_held_back() {
    let mut tracker = CrashTracker::open();
    for number in 1..=9 {
        crash_at(&mut tracker, events(2), number, number, &[SYSTEM]);
        crash_at(&mut tracker, events(20), number, 100 + number, &[SYSTEM]);
    }
    assert_eq!(verdict(&tracker, &[SYSTEM]), SuspectVerdict::Clear);
}

/// Guards against the same where many upstreams are killed at one moment, each with one running
/// answer; a part that crashes engines as their answers begin is still found.
#[rstest]
#[case::running(30, SuspectVerdict::Clear)]
#[case::begun(2, SuspectVerdict::HeldBack(OTHER.into()))]
fn running_answers_at_many_kills_hold_no_part_back(
    #[case] event_count: u64,
    #[case] expected: SuspectVerdict,
) {
    let mut tracker = CrashTracker::open();
    for number in 1..=9 {
        crash_at(&mut tracker, events(event_count), number, number, &[OTHER]);
    }
    assert_eq!(verdict(&tracker, &[OTHER]), expected);
}

/// Guards against a part that crashes engines late in their answers: kills that are apart from others
/// count for running answers, too.
#[test]
fn a_part_of_running_answers_at_crashes_apart_from_others_is_held_back() {
    let mut tracker = CrashTracker::open();
    for number in 1..=2 {
        crash_at(&mut tracker, events(30), 5_000 * number, number, &[DEADLY]);
    }
    assert_eq!(held_back(&tracker, &[DEADLY]), Some(DEADLY));
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
    assert!(tracker.records(at(FORGET_MS + 10)).is_empty());
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

#[derive(Debug, Clone)]
enum Step {
    Crash {
        at_process: usize,
        crash: u64,
        request: u64,
        part: u64,
        lost_at: AnswerProgress,
    },
    Answer {
        at_process: usize,
        part: u64,
        progress: AnswerProgress,
    },
    Tell {
        from: usize,
        to: usize,
    },
}

fn progress() -> impl Strategy<Value = AnswerProgress> {
    prop_oneof![(0..40_u64).prop_map(events), Just(AnswerProgress::WHOLE)]
}

fn step() -> impl Strategy<Value = Step> {
    const PROCESSES: usize = 3;
    prop_oneof![
        (0..PROCESSES, 0..6_u64, 0..4_u64, 0..3_u64, progress()).prop_map(
            |(at_process, crash, request, part, lost_at)| Step::Crash {
                at_process,
                crash,
                request,
                part,
                lost_at,
            }
        ),
        (0..PROCESSES, 0..3_u64, progress()).prop_map(|(at_process, part, progress)| {
            Step::Answer {
                at_process,
                part,
                progress,
            }
        }),
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
                Step::Crash { at_process, crash, request, part, lost_at } => {
                    let parts = [PromptPartId(part)];
                    let suspects = suspects(request, &parts);
                    processes[at_process].record_crash(at(10), crash, suspects, lost_at);
                }
                Step::Answer { at_process, part, progress } => {
                    answer_to(&mut processes[at_process], progress, &[PromptPartId(part)]);
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
