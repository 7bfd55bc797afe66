//! Processes that exchange records and come to the same result.

use proptest::prelude::*;

use quetzalpin::quarantine::{AnswerProgress, CrashRecord, CrashTracker, PromptPartId};

use crate::{DEADLY, answer_to, at, crash, events, held_back, suspects};

/// Guards against a process that has just started, or a planner that has just begun, and lets such
/// requests through: all records pass from any process to any other at any later time.
#[test]
fn a_process_that_has_just_started_learns_all_records() {
    let mut old = CrashTracker::open();
    crash(&mut old, 1, 1, &[DEADLY]);
    crash(&mut old, 2, 2, &[DEADLY]);
    let mut new = CrashTracker::open();
    assert_ne!(old.held().digest(), new.held().digest());
    new.merge(at(60_000), &old.records_since(at(60_000), 0));
    assert_eq!(held_back(&new, &[DEADLY]), Some(DEADLY));
    assert_eq!(old.held().digest(), new.held().digest());
}

/// All records, in one order.
fn sorted_records(tracker: &CrashTracker) -> Vec<CrashRecord> {
    let mut records = tracker.records_since(at(100), 0);
    records.sort_unstable();
    records
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
    let records = processes[from].records_since(at(100), 0);
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
