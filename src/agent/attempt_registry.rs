//! Keeps the status of recent attempts, so that an entry can query the result after its
//! connection was lost.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::run_once::RecordedAnswer;

/// Time in milliseconds that an attempt is kept after its last status change.
const RETENTION_MS: u64 = 60_000;

/// Number of attempts above which attempts that ended with an answer are dropped early.
const MAX_ATTEMPTS: usize = 20_000;

/// Maximum size in bytes of an answer that is kept.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Status of an attempt, as the agent reports it to entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptStatus {
    /// This process has never seen the attempt.
    Unseen,
    /// The attempt waits in the queue.
    Waiting,
    /// The attempt runs at the upstream or is about to.
    Running,
    /// The attempt was refused.
    Refused(RequestRefusal),
    /// The attempt ended with this answer.
    Done(RecordedAnswer),
    /// The attempt ended; its answer is not kept, since it was streamed or too large.
    Ended,
}

/// Attempts of the last minute. Each attempt id is accepted at most once while it is kept.
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

    /// Registers a new attempt as waiting.
    ///
    /// # Errors
    /// The recorded status, if the attempt is already registered.
    pub fn begin(&mut self, now: MonoTime, attempt: AttemptId) -> Result<(), AttemptStatus> {
        self.prune(now);
        if let Some((status, _)) = self.attempts.get(&attempt) {
            return Err(status.clone());
        }
        self.attempts.insert(attempt, (AttemptStatus::Waiting, now));
        Ok(())
    }

    /// Sets the status of a registered attempt. A refusal is final and is not overwritten.
    pub fn set(&mut self, now: MonoTime, attempt: AttemptId, status: AttemptStatus) {
        let stored = match status {
            AttemptStatus::Done(answer) if answer.body.len() > MAX_ANSWER_BYTES => {
                AttemptStatus::Ended
            }
            other => other,
        };
        if let Some(entry) = self.attempts.get_mut(&attempt)
            && !matches!(entry.0, AttemptStatus::Refused(_))
        {
            *entry = (stored, now);
        }
    }

    /// Status of an attempt; [`AttemptStatus::Unseen`] if it is not registered.
    #[must_use]
    pub fn status(&self, attempt: AttemptId) -> AttemptStatus {
        let entry = self.attempts.get(&attempt);
        entry.map_or(AttemptStatus::Unseen, |(status, _)| status.clone())
    }

    /// Cancels an attempt that has not started, and returns the resulting status. If the
    /// attempt arrives after its cancellation, it is refused.
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
        if now.millis_since(self.pruned_at) < RETENTION_MS / 10
            && self.attempts.len() < MAX_ATTEMPTS
        {
            return;
        }
        self.pruned_at = now;
        self.attempts.retain(|_, (status, at)| {
            let is_open = matches!(status, AttemptStatus::Waiting | AttemptStatus::Running);
            is_open || now.millis_since(*at) < RETENTION_MS
        });
        let mut excess = self.attempts.len().saturating_sub(MAX_ATTEMPTS - 1);
        self.attempts.retain(|_, (status, _)| {
            let is_droppable =
                excess > 0 && matches!(status, AttemptStatus::Ended | AttemptStatus::Done(_));
            if is_droppable {
                excess -= 1;
            }
            !is_droppable
        });
    }
}
