//! Property tests of the run record: any interleaving of attempts, crashes, lost answers
//! and give-ups runs a call at most once, and a voided attempt never.

use proptest::prelude::*;
use quetzalpin::prelude::*;
use quetzalpin::quarantine::RequestFingerprint;
use quetzalpin::run_once::{
    AttemptTransitions, RecordedAnswer, RevertStep, RunRow, RunState, StartStep, VoidStep,
};

/// What one attempt's process does next.
#[derive(Debug, Clone, Copy)]
enum Action {
    /// Reads the row.
    Read(usize),
    /// Writes its start on the row as last read.
    Start(usize),
    /// The same, but the answer is lost; the write may have taken effect.
    StartUnheard(usize, bool),
    /// Gives the attempt up.
    Void(usize),
    /// Takes an unused start back.
    Settle(usize),
    /// Records the answer.
    Finish(usize),
}

#[derive(Debug, Clone, Default)]
struct Attempt {
    /// Row as last read, with the table's revision then.
    seen: Option<(u64, Option<RunRow>)>,
    phase: Phase,
    /// Some process was told that the attempt never runs.
    is_void: bool,
}

/// What the attempt's own process knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Phase {
    /// Nothing was written.
    #[default]
    Fresh,
    /// A start was written without an answer.
    InDoubt,
    /// The call was handed over.
    HasRun,
    /// The start was given up for good.
    Settled,
}

struct Model {
    revision: u64,
    row: Option<RunRow>,
    attempts: Vec<Attempt>,
    runs: usize,
}

const ATTEMPTS: usize = 4;

fn ledger(index: usize) -> AttemptTransitions {
    AttemptTransitions {
        attempt: AttemptId::new(index as u128),
        fingerprint: RequestFingerprint(7),
        unix_s: 0,
    }
}

fn answer() -> RecordedAnswer {
    RecordedAnswer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: "stamped".to_owned(),
    }
}

impl Model {
    fn open() -> Self {
        Self {
            revision: 0,
            row: None,
            attempts: vec![Attempt::default(); ATTEMPTS],
            runs: 0,
        }
    }

    /// Writes if the row is still as seen; tells whether it was.
    fn commit(&mut self, seen_revision: u64, row: RunRow) -> bool {
        if seen_revision != self.revision {
            return false;
        }
        self.revision += 1;
        self.row = Some(row);
        true
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Read(index) => {
                self.attempts[index].seen = Some((self.revision, self.row.clone()));
            }
            Action::Start(index) => self.start(index, true, true),
            Action::StartUnheard(index, takes_effect) => self.start(index, false, takes_effect),
            Action::Void(index) => self.void(index),
            Action::Settle(index) => self.settle(index),
            Action::Finish(index) => self.finish(index),
        }
    }

    fn start(&mut self, index: usize, is_heard: bool, takes_effect: bool) {
        let attempt = &self.attempts[index];
        if matches!(attempt.phase, Phase::HasRun | Phase::Settled) {
            return;
        }
        let Some((revision, row)) = attempt.seen.clone() else {
            return;
        };
        match ledger(index).start(row.as_ref()) {
            StartStep::Write(next) => {
                let committed = takes_effect && self.commit(revision, next);
                if is_heard && committed {
                    self.run(index);
                } else if !is_heard {
                    self.attempts[index].phase = Phase::InDoubt;
                }
            }
            StartStep::AlreadyOurs => {
                let phase = self.attempts[index].phase;
                assert_eq!(phase, Phase::InDoubt, "only an unheard start is read back");
                if self.revision == revision {
                    self.run(index);
                }
            }
            _ => {}
        }
    }

    fn run(&mut self, index: usize) {
        assert!(!self.attempts[index].is_void, "a voided attempt ran");
        self.attempts[index].phase = Phase::HasRun;
        self.runs += 1;
    }

    fn has_run(&self, index: usize) -> bool {
        self.attempts[index].phase == Phase::HasRun
    }

    fn void(&mut self, index: usize) {
        match ledger(index).void(self.row.as_ref()) {
            VoidStep::Write(next) => {
                let revision = self.revision;
                self.commit(revision, next);
                self.note_void(index);
            }
            VoidStep::Voided => self.note_void(index),
            VoidStep::Ran(_) => assert!(self.has_run(index), "an answer without a run"),
            VoidStep::Running | VoidStep::Full => {}
        }
    }

    fn note_void(&mut self, index: usize) {
        assert!(!self.has_run(index), "not run was said of a run");
        self.attempts[index].is_void = true;
    }

    /// Only a process that has not handed over takes its start back.
    fn settle(&mut self, index: usize) {
        if self.has_run(index) {
            return;
        }
        self.attempts[index].phase = Phase::Settled;
        if let RevertStep::Write(next) = ledger(index).revert_start(self.row.as_ref()) {
            let revision = self.revision;
            self.commit(revision, next);
        }
    }

    fn finish(&mut self, index: usize) {
        if !self.has_run(index) {
            return;
        }
        if let Some(next) = ledger(index).finish(self.row.as_ref(), answer()) {
            let revision = self.revision;
            self.commit(revision, next);
        }
    }
}

fn action() -> impl Strategy<Value = Action> {
    let index = 0..ATTEMPTS;
    (index, 0..6_u8, any::<bool>()).prop_map(|(index, kind, takes_effect)| match kind {
        0 => Action::Read(index),
        1 => Action::Start(index),
        2 => Action::StartUnheard(index, takes_effect),
        3 => Action::Void(index),
        4 => Action::Settle(index),
        _ => Action::Finish(index),
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_call_runs_at_most_once(actions in proptest::collection::vec(action(), 1..60)) {
        let mut model = Model::open();
        for action in actions {
            model.apply(action);
            prop_assert!(model.runs <= 1, "the call ran {} times", model.runs);
        }
    }
}

#[test]
fn a_resend_after_a_settled_start_runs() {
    let first = ledger(1);
    let StartStep::Write(started) = first.start(None) else {
        panic!("an absent row lets an attempt start");
    };
    let RevertStep::Write(open) = first.revert_start(Some(&started)) else {
        panic!("an unused start is taken back");
    };
    assert!(matches!(ledger(2).start(Some(&open)), StartStep::Write(_)));
    assert_eq!(first.start(Some(&open)), StartStep::Voided);
}

#[test]
fn a_resend_gets_the_recorded_answer() {
    let row = RunRow {
        fingerprint: RequestFingerprint(7),
        state: RunState::Done(AttemptId::new(1), answer()),
        voided: Vec::new(),
        changed_unix_s: 0,
    };
    assert_eq!(ledger(2).start(Some(&row)), StartStep::Replay(answer()));
}

#[test]
fn a_key_used_with_another_body_is_refused() {
    let row = RunRow {
        fingerprint: RequestFingerprint(8),
        state: RunState::Started(AttemptId::new(1)),
        voided: Vec::new(),
        changed_unix_s: 0,
    };
    assert_eq!(ledger(2).start(Some(&row)), StartStep::KeyReused);
}
