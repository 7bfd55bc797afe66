//! Property tests of the run record: under any interleaving of attempts, crashes, lost responses
//! and voids a call runs at most once, and a voided attempt never runs.

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
    /// The same, but the response is lost; the flag tells whether the write took effect.
    StartUnanswered(usize, bool),
    /// Voids the attempt.
    Void(usize),
    /// Reverts a start that was not followed by a dispatch.
    RevertStart(usize),
    /// Records the answer.
    Finish(usize),
}

#[derive(Debug, Clone, Default)]
struct Attempt {
    /// Row as last read, with the table's revision then.
    seen: Option<(u64, Option<RunRow>)>,
    phase: Phase,
    /// Whether some process was told that the attempt never runs.
    is_void: bool,
}

/// What the attempt's own process knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Phase {
    /// Nothing was written.
    #[default]
    Fresh,
    /// A start was written, but its response was lost.
    InDoubt,
    /// The call was dispatched.
    HasRun,
    /// The start was reverted for good.
    Reverted,
}

struct Model {
    revision: u64,
    row: Option<RunRow>,
    attempts: Vec<Attempt>,
    runs: usize,
}

const ATTEMPTS: usize = 4;

fn transitions(index: usize) -> AttemptTransitions {
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

    /// Writes the row if its revision is unchanged; returns whether it did.
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
            Action::StartUnanswered(index, takes_effect) => self.start(index, false, takes_effect),
            Action::Void(index) => self.void(index),
            Action::RevertStart(index) => self.revert_start(index),
            Action::Finish(index) => self.finish(index),
        }
    }

    fn start(&mut self, index: usize, has_response: bool, takes_effect: bool) {
        let attempt = &self.attempts[index];
        if matches!(attempt.phase, Phase::HasRun | Phase::Reverted) {
            return;
        }
        let Some((revision, row)) = attempt.seen.clone() else {
            return;
        };
        match transitions(index).start(row.as_ref()) {
            StartStep::Write(next) => {
                let committed = takes_effect && self.commit(revision, next);
                if has_response && committed {
                    self.run(index);
                } else if !has_response {
                    self.attempts[index].phase = Phase::InDoubt;
                }
            }
            StartStep::AlreadyOurs => {
                let phase = self.attempts[index].phase;
                assert_eq!(
                    phase,
                    Phase::InDoubt,
                    "only a start without a response is read back"
                );
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
        match transitions(index).void(self.row.as_ref()) {
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
        assert!(
            !self.has_run(index),
            "an attempt that ran was reported as not run"
        );
        self.attempts[index].is_void = true;
    }

    /// Only a process that has not dispatched the call reverts its start.
    fn revert_start(&mut self, index: usize) {
        if self.has_run(index) {
            return;
        }
        self.attempts[index].phase = Phase::Reverted;
        if let RevertStep::Write(next) = transitions(index).revert_start(self.row.as_ref()) {
            let revision = self.revision;
            self.commit(revision, next);
        }
    }

    fn finish(&mut self, index: usize) {
        if !self.has_run(index) {
            return;
        }
        if let Some(next) = transitions(index).finish(self.row.as_ref(), answer()) {
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
        2 => Action::StartUnanswered(index, takes_effect),
        3 => Action::Void(index),
        4 => Action::RevertStart(index),
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
fn a_retry_after_a_reverted_start_runs() {
    let first = transitions(1);
    let StartStep::Write(started) = first.start(None) else {
        panic!("an absent row lets an attempt start");
    };
    let RevertStep::Write(open) = first.revert_start(Some(&started)) else {
        panic!("a start without a dispatch is reverted");
    };
    assert!(matches!(
        transitions(2).start(Some(&open)),
        StartStep::Write(_)
    ));
    assert_eq!(first.start(Some(&open)), StartStep::Voided);
}

#[test]
fn a_retry_gets_the_recorded_answer() {
    let row = RunRow {
        fingerprint: RequestFingerprint(7),
        state: RunState::Done(AttemptId::new(1), answer()),
        voided: Vec::new(),
        changed_unix_s: 0,
    };
    assert_eq!(
        transitions(2).start(Some(&row)),
        StartStep::Replay(answer())
    );
}

#[test]
fn a_key_used_with_another_body_is_refused() {
    let row = RunRow {
        fingerprint: RequestFingerprint(8),
        state: RunState::Started(AttemptId::new(1)),
        voided: Vec::new(),
        changed_unix_s: 0,
    };
    assert_eq!(transitions(2).start(Some(&row)), StartStep::KeyReused);
}
