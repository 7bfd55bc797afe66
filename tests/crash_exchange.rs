//! Records of crashes on their way between the planner and the other processes.

use proptest::prelude::*;
use quetzalpin::gateway::CrashWatch;
use quetzalpin::planner_rpc::{CrashReport, CrashUpdate};
use quetzalpin::prelude::*;
use quetzalpin::quarantine::{
    AnswerProgress, CrashRecord, PromptPartId, RequestFingerprint, RequestSuspects, SuspectVerdict,
};

const PROCESSES: usize = 4;

/// The parts of a prompt that is in flight at the crashes.
const PARTS: [PromptPartId; 1] = [PromptPartId(666)];

const NOW: MonoTime = MonoTime::from_millis(10);

fn suspects(request: u64) -> RequestSuspects<'static> {
    RequestSuspects {
        request: RequestFingerprint(request),
        parts: &PARTS,
    }
}

fn record_crash(watch: &CrashWatch, crash: u64, request: u64) {
    watch.record_crash(NOW, crash, suspects(request), AnswerProgress::NOTHING);
}

/// All records of a process.
fn records(watch: &CrashWatch) -> Vec<CrashRecord> {
    let mut records = watch.answer_report(NOW, &CrashReport::default()).records;
    records.sort_unstable();
    records
}

/// Reports to the planner and applies its answer. Returns the answer.
fn report(entry: &CrashWatch, planner: &CrashWatch) -> CrashUpdate {
    let update = planner.answer_report(NOW, &entry.take_report(NOW));
    entry.apply_update(NOW, &update);
    update
}

/// Guards against a request that crashes upstreams at a gateway that was restarted (BUDGET): its first
/// report to the planner brings all that is known.
#[test]
fn a_process_that_has_just_started_learns_all_with_its_first_report() {
    let planner = CrashWatch::open(1);
    record_crash(&planner, 1, 7);
    record_crash(&planner, 2, 7);
    let restarted = CrashWatch::open(2);
    report(&restarted, &planner);
    let verdict = restarted.verdict(NOW, suspects(7));
    assert!(
        matches!(verdict, SuspectVerdict::HeldBack(_)),
        "{verdict:?}"
    );
}

/// Guards against crashes that are forgotten when the lease passes to a process that has just started.
#[test]
fn a_new_planner_is_told_all_that_is_known() {
    let [first, entry] = [CrashWatch::open(1), CrashWatch::open(2)];
    record_crash(&entry, 1, 7);
    record_crash(&entry, 2, 7);
    report(&entry, &first);
    let second = CrashWatch::open(3);
    report(&entry, &second);
    report(&entry, &second);
    assert_eq!(records(&second), records(&entry));
}

/// Guards against reports that grow with each crash of the past: only what changed is sent again.
#[test]
fn records_that_both_sides_know_are_not_sent_again() {
    let [planner, entry] = [CrashWatch::open(1), CrashWatch::open(2)];
    record_crash(&entry, 1, 7);
    report(&entry, &planner);
    report(&entry, &planner);
    assert!(entry.take_report(NOW).records.is_empty());
    assert!(report(&entry, &planner).records.is_empty());
    record_crash(&planner, 2, 8);
    assert_eq!(report(&entry, &planner).records.len(), 2);
    assert!(entry.take_report(NOW).records.is_empty());
}

/// What becomes of a report.
#[derive(Debug, Clone, Copy)]
enum ReportFate {
    Delivered,
    Lost,
    AnswerLost,
}

#[derive(Debug, Clone)]
enum Step {
    Crash {
        at_process: usize,
        crash: u64,
        request: u64,
    },
    Answer {
        at_process: usize,
        request: u64,
    },
    Report {
        from: usize,
        fate: ReportFate,
    },
    Plan {
        at_process: usize,
    },
    Restart {
        at_process: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let fate = prop_oneof![
        Just(ReportFate::Delivered),
        Just(ReportFate::Lost),
        Just(ReportFate::AnswerLost)
    ];
    prop_oneof![
        4 => (0..PROCESSES, 0..5_u64, 0..3_u64).prop_map(|(at_process, crash, request)| Step::Crash {
            at_process,
            crash,
            request
        }),
        1 => (0..PROCESSES, 0..3_u64)
            .prop_map(|(at_process, request)| Step::Answer { at_process, request }),
        4 => (0..PROCESSES, fate).prop_map(|(from, fate)| Step::Report { from, fate }),
        1 => (0..PROCESSES).prop_map(|at_process| Step::Plan { at_process }),
        1 => (0..PROCESSES).prop_map(|at_process| Step::Restart { at_process }),
    ]
}

proptest! {
    /// Guards against processes that never agree: whatever reports and answers were lost, and however
    /// often the planner changed or a process was restarted, all know the same once each has
    /// reported to the planner.
    #[test]
    fn all_processes_agree_once_their_reports_arrive(
        steps in proptest::collection::vec(step(), 0..80)
    ) {
        let mut start_ids = 1..;
        let mut start = || CrashWatch::open(start_ids.next().unwrap_or_default());
        let mut processes: Vec<CrashWatch> = (0..PROCESSES).map(|_| start()).collect();
        let mut planner = 0;
        for step in steps {
            match step {
                Step::Crash { at_process, crash, request } => {
                    record_crash(&processes[at_process], crash, request);
                }
                Step::Answer { at_process, request } => {
                    let progress = AnswerProgress::BEGUN;
                    processes[at_process].record_answered(suspects(request), progress);
                }
                Step::Report { from, .. } if from == planner => {}
                Step::Report { from, fate } => send_report(&processes[from], &processes[planner], fate),
                Step::Plan { at_process } => planner = at_process,
                Step::Restart { at_process } => processes[at_process] = start(),
            }
        }
        // What an entry clears on hearing of a crash reaches the others with a later round.
        for _ in 0..6 {
            for from in (0..PROCESSES).filter(|from| *from != planner) {
                report(&processes[from], &processes[planner]);
            }
        }
        let known: Vec<Vec<CrashRecord>> = processes.iter().map(records).collect();
        prop_assert!(known.iter().all(|records| *records == known[0]));
    }
}

fn send_report(entry: &CrashWatch, planner: &CrashWatch, fate: ReportFate) {
    let sent = entry.take_report(NOW);
    if matches!(fate, ReportFate::Lost) {
        return entry.restore_report(&sent.records);
    }
    let update = planner.answer_report(NOW, &sent);
    if matches!(fate, ReportFate::AnswerLost) {
        return entry.restore_report(&sent.records);
    }
    entry.apply_update(NOW, &update);
}
