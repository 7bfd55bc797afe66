//! What the progress of answers tells of the cause of a crash.

use quetzalpin::quarantine::{AnswerProgress, CrashTracker, SuspectVerdict};
use rstest::rstest;

use crate::{
    DEADLY, OTHER, SYSTEM, answer, answer_to, crash, crash_at, events, held_back, verdict,
};

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
