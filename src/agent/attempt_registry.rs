//! Remembers recent attempts, so that an entry can ask for a lost answer.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::run_once::RecordedAnswer;

/// Milliseconds for which an attempt is remembered after its last change.
const KEEP_MS: u64 = 60_000;

/// Attempts remembered at most; the oldest ended ones go first.
const MAX_ATTEMPTS: usize = 20_000;

/// Largest answer that is kept, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// What an agent knows of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptStatus {
    /// Never seen by this process.
    Unseen,
    /// In the queue.
    Waiting,
    /// Handed over or about to be.
    Running,
    /// Refused.
    Refused(RequestRefusal),
    /// Ended with this answer.
    Done(RecordedAnswer),
    /// Ended; the answer was too large or a stream and is not kept.
    Ended,
}

/// Attempts of the last minute. An attempt is accepted at most once.
#[derive(Debug, Default)]
pub struct AttemptRegistry {
    attempts: HashMap<AttemptId, (AttemptStatus, MonoTime)>,
    pruned_at: MonoTime,
}

impl AttemptRegistry {
    /// Opens an empty registry.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Enters a new attempt as waiting.
    ///
    /// # Errors
    /// What is known of it, if the attempt was seen before.
    pub fn begin(&mut self, now: MonoTime, attempt: AttemptId) -> Result<(), AttemptStatus> {
        self.prune(now);
        if let Some((status, _)) = self.attempts.get(&attempt) {
            return Err(status.clone());
        }
        self.attempts.insert(attempt, (AttemptStatus::Waiting, now));
        Ok(())
    }

    /// Changes an attempt's status. A refusal stays.
    pub fn set(&mut self, now: MonoTime, attempt: AttemptId, status: AttemptStatus) {
        let kept = match status {
            AttemptStatus::Done(answer) if answer.body.len() > MAX_ANSWER_BYTES => {
                AttemptStatus::Ended
            }
            other => other,
        };
        if let Some(entry) = self.attempts.get_mut(&attempt)
            && !matches!(entry.0, AttemptStatus::Refused(_))
        {
            *entry = (kept, now);
        }
    }

    /// What is known of an attempt.
    #[must_use]
    pub fn status(&self, attempt: AttemptId) -> AttemptStatus {
        let entry = self.attempts.get(&attempt);
        entry.map_or(AttemptStatus::Unseen, |(status, _)| status.clone())
    }

    /// Forbids an attempt that has not started. One that arrives later is refused.
    pub fn cancel(&mut self, now: MonoTime, attempt: AttemptId) -> AttemptStatus {
        let known = self.status(attempt);
        if !matches!(known, AttemptStatus::Unseen | AttemptStatus::Waiting) {
            return known;
        }
        let refusal = RequestRefusal::not_run(RefusalReason::UpstreamLost);
        let status = AttemptStatus::Refused(refusal);
        self.attempts.insert(attempt, (status.clone(), now));
        status
    }

    fn prune(&mut self, now: MonoTime) {
        if now.millis_since(self.pruned_at) < KEEP_MS / 10 && self.attempts.len() < MAX_ATTEMPTS {
            return;
        }
        self.pruned_at = now;
        self.attempts.retain(|_, (status, at)| {
            let open = matches!(status, AttemptStatus::Waiting | AttemptStatus::Running);
            open || now.millis_since(*at) < KEEP_MS
        });
        let mut excess = self.attempts.len().saturating_sub(MAX_ATTEMPTS - 1);
        self.attempts.retain(|_, (status, _)| {
            let droppable =
                excess > 0 && matches!(status, AttemptStatus::Ended | AttemptStatus::Done(_));
            if droppable {
                excess -= 1;
            }
            !droppable
        });
    }
}
