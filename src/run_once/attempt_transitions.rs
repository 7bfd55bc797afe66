//! State transitions of a run row that one attempt may make.

use super::{RecordedAnswer, RunRow, RunState};
use crate::ids::AttemptId;
use crate::quarantine::RequestFingerprint;

/// Voided attempts that one row stores at most.
const MAX_VOIDED: usize = 64;

/// What an agent must do before it dispatches a call to the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartStep {
    /// Write this row if its revision is still the one read; dispatch only if the write commits.
    Write(RunRow),
    /// The row already names this attempt: its write committed, but the response was lost.
    AlreadyOurs,
    /// Another attempt of the call is in flight.
    OtherRunning,
    /// The call has run; return the recorded answer.
    Replay(RecordedAnswer),
    /// The idempotency key was used with a different body.
    KeyReused,
    /// This attempt was voided and must not start.
    Voided,
    /// The row stores the maximum of voided attempts, so no further attempt may start.
    Full,
}

/// What a process must do to void an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VoidStep {
    /// Write this row; once the write commits, the attempt can never start.
    Write(RunRow),
    /// The attempt can never start.
    Voided,
    /// The attempt is in flight.
    Running,
    /// The attempt has run with this answer.
    Ran(RecordedAnswer),
    /// The row stores the maximum of voided attempts and takes no more.
    Full,
}

/// What an agent must do after a start write without a response, if it did not dispatch the call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RevertStep {
    /// Write this row, so that the caller's retry can run.
    Write(RunRow),
    /// The row needs no change.
    NothingToRevert,
}

/// Decides the transitions of a call's run row for one attempt.
///
/// An attempt starts only by its own committed write to an open row that does not list it as
/// voided. At most one attempt is therefore dispatched, and a voided attempt never is.
#[derive(Debug, Clone, Copy)]
pub struct AttemptTransitions {
    /// The attempt that wants to change the row.
    pub attempt: AttemptId,
    /// Fingerprint of the attempt's request body.
    pub fingerprint: RequestFingerprint,
    /// Current time in seconds since the Unix epoch, stored in the row to compute its age.
    pub unix_s: u64,
}

impl AttemptTransitions {
    /// Decides whether the attempt may be dispatched.
    #[must_use]
    pub fn start(&self, row: Option<&RunRow>) -> StartStep {
        let Some(row) = row else {
            return StartStep::Write(self.row(RunState::Started(self.attempt), Vec::new()));
        };
        if row.voided.contains(&self.attempt) {
            return StartStep::Voided;
        }
        match &row.state {
            RunState::Open if row.voided.len() >= MAX_VOIDED => StartStep::Full,
            RunState::Open => {
                StartStep::Write(self.row(RunState::Started(self.attempt), row.voided.clone()))
            }
            _ if row.fingerprint != self.fingerprint => StartStep::KeyReused,
            RunState::Started(attempt) if *attempt == self.attempt => StartStep::AlreadyOurs,
            RunState::Started(_) => StartStep::OtherRunning,
            RunState::Done(_, answer) => StartStep::Replay(answer.clone()),
        }
    }

    /// Decides how to void the attempt.
    #[must_use]
    pub fn void(&self, row: Option<&RunRow>) -> VoidStep {
        let Some(row) = row else {
            return VoidStep::Write(self.row(RunState::Open, vec![self.attempt]));
        };
        match &row.state {
            RunState::Started(attempt) if *attempt == self.attempt => return VoidStep::Running,
            RunState::Done(attempt, answer) if *attempt == self.attempt => {
                return VoidStep::Ran(answer.clone());
            }
            _ => {}
        }
        if row.voided.contains(&self.attempt) {
            return VoidStep::Voided;
        }
        if row.voided.len() >= MAX_VOIDED {
            return VoidStep::Full;
        }
        let mut next = row.clone();
        next.voided.push(self.attempt);
        next.changed_unix_s = self.unix_s;
        VoidStep::Write(next)
    }

    /// Decides how to undo a start that was not followed by a dispatch: voids the attempt and
    /// reopens the row if it names this attempt.
    #[must_use]
    pub fn revert_start(&self, row: Option<&RunRow>) -> RevertStep {
        match self.void(row) {
            VoidStep::Write(next) => RevertStep::Write(next),
            VoidStep::Running => {
                let row = row.cloned();
                let mut voided = row.map_or_else(Vec::new, |row| row.voided);
                voided.push(self.attempt);
                RevertStep::Write(self.row(RunState::Open, voided))
            }
            VoidStep::Voided | VoidStep::Ran(_) | VoidStep::Full => RevertStep::NothingToRevert,
        }
    }

    /// The row that records the attempt's answer, or `None` if the row does not name this attempt
    /// as started.
    #[must_use]
    pub fn finish(&self, row: Option<&RunRow>, answer: RecordedAnswer) -> Option<RunRow> {
        let row = row?;
        if row.state != RunState::Started(self.attempt) {
            return None;
        }
        let state = RunState::Done(self.attempt, answer);
        Some(self.row(state, row.voided.clone()))
    }

    fn row(&self, state: RunState, voided: Vec<AttemptId>) -> RunRow {
        RunRow {
            fingerprint: self.fingerprint,
            state,
            voided,
            changed_unix_s: self.unix_s,
        }
    }
}
