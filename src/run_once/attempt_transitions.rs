//! What a process may do given a run row.

use super::{RecordedAnswer, RunRow, RunState};
use crate::ids::AttemptId;
use crate::quarantine::RequestFingerprint;

/// Given-up attempts that one key remembers at most.
const MAX_VOIDED: usize = 64;

/// Step of an agent that wants to hand a call over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartStep {
    /// Write this row on condition of the revision read; hand over only if that commits.
    Write(RunRow),
    /// The row already names this attempt: the answer to its write was lost.
    AlreadyOurs,
    /// Another attempt was handed over and has no answer yet.
    OtherRunning,
    /// The call has run; give this answer again.
    Replay(RecordedAnswer),
    /// The key was used with another body.
    KeyReused,
    /// This attempt was given up and must not start.
    Voided,
    /// Too many attempts were given up.
    Full,
}

/// Step of a process that gives an attempt up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VoidStep {
    /// Write this row; once it commits the attempt can never start.
    Write(RunRow),
    /// The attempt can never start.
    Voided,
    /// The attempt was handed over and has no answer yet.
    Running,
    /// The attempt has run with this answer.
    Ran(RecordedAnswer),
    /// The row remembers no further attempts.
    Full,
}

/// Step of an agent whose write had no answer and that has not handed over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RevertStep {
    /// Write this row, so that the caller's resend can run.
    Write(RunRow),
    /// Nothing is left to settle.
    NothingToRevert,
}

/// The rules for rows of one call, for one attempt.
///
/// An attempt starts only by its own committed write over an open row that does not void it,
/// so at most one attempt is handed over, and a voided attempt never is.
#[derive(Debug, Clone, Copy)]
pub struct AttemptTransitions {
    /// The attempt.
    pub attempt: AttemptId,
    /// Fingerprint of its body.
    pub fingerprint: RequestFingerprint,
    /// Seconds since the Unix epoch, for the row's age.
    pub unix_s: u64,
}

impl AttemptTransitions {
    /// Decides whether the attempt may be handed over.
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

    /// Decides how to give the attempt up.
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

    /// Decides how to take back a start that was never followed by a hand-over.
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

    /// The row that records the attempt's answer, or `None` if the row is not this attempt's.
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
