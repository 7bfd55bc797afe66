//! Reads and writes run rows, which ensure that a non-idempotent call runs at most once.

use std::rc::Rc;
use std::time::Duration;

use crate::daemon::NodeContext;
use crate::decision::unix_ms;
use crate::prelude::*;
use crate::quarantine::RequestFingerprint;
use crate::run_once::{
    AttemptTransitions, RecordedAnswer, RevertStep, RunKey, RunRow, StartStep, VoidStep,
};
use crate::table::{RowRevision, TableError, TableRow, TableTxn, TxnOutcome};

/// Interval between reads of a row, in milliseconds: while another attempt runs, or after a
/// failed table call.
const POLL_MS: u64 = 100;

/// Initial and maximum backoff between tries of a write that must not be lost, in
/// milliseconds.
const RETRY_BACKOFF_MS: (u64, u64) = (100, 5_000);

/// Maximum number of tries of a write that must not be lost.
const MAX_TRIES: u32 = 200;

/// Time limit for reading a row back after its start got no answer, in milliseconds.
const READ_BACK_TIMEOUT_MS: u64 = 1_500;

/// Whether an attempt may be sent to the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartVerdict {
    /// The attempt may run now; no other attempt of the call may.
    Run,
    /// The call has already run; return this answer.
    Replay(RecordedAnswer),
}

/// Outcome of voiding an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VoidVerdict {
    /// The attempt has not run and can never run.
    NeverRuns,
    /// The attempt has run with this answer.
    Ran(RecordedAnswer),
    /// The attempt may have run or may still run.
    Unknown,
}

/// Access of one attempt to its run row.
#[derive(Clone)]
pub struct RunRecorder {
    node: Rc<NodeContext>,
    key: String,
    attempt: AttemptId,
    fingerprint: RequestFingerprint,
}

struct RowSnapshot {
    revision: RowRevision,
    row: Option<RunRow>,
}

impl RowSnapshot {
    fn of(row: &TableRow) -> Result<Self, TableError> {
        let decoded: Option<RunRow> = row.decode()?;
        let revision = if decoded.is_some() {
            row.revision
        } else {
            RowRevision::ABSENT
        };
        Ok(Self {
            revision,
            row: decoded,
        })
    }

    const fn absent() -> Self {
        Self {
            revision: RowRevision::ABSENT,
            row: None,
        }
    }
}

impl RunRecorder {
    /// Creates the recorder of one attempt; does not access the table.
    #[must_use]
    pub fn open(
        node: Rc<NodeContext>,
        key: &RunKey,
        attempt: AttemptId,
        fingerprint: RequestFingerprint,
    ) -> Self {
        Self {
            node,
            key: key.to_string(),
            attempt,
            fingerprint,
        }
    }

    /// Claims the right to run the attempt.
    ///
    /// # Errors
    /// A refusal; `not_run` unless another attempt of the same call may be running.
    pub async fn start(&self, deadline: MonoTime) -> Result<StartVerdict, RequestRefusal> {
        let mut snapshot = RowSnapshot::absent();
        loop {
            match self.transitions().start(snapshot.row.as_ref()) {
                StartStep::Write(row) => match self.write(snapshot.revision, &row).await {
                    Ok(None) => return Ok(StartVerdict::Run),
                    Ok(Some(current)) => snapshot = current,
                    Err(_) => snapshot = self.read_back().await?,
                },
                StartStep::AlreadyOurs => return Ok(StartVerdict::Run),
                StartStep::Replay(answer) => return Ok(StartVerdict::Replay(answer)),
                StartStep::OtherRunning => snapshot = self.await_other_attempt(deadline).await?,
                StartStep::KeyReused => return not_run(RefusalReason::KeyReused),
                StartStep::Voided => return not_run(RefusalReason::DeadlinePassed),
                StartStep::Full => return not_run(RefusalReason::TooManyAttempts),
            }
        }
    }

    /// Records the attempt's answer, with up to 200 tries and a backoff between them, and
    /// logs an error if all fail. Callers run it in the background.
    pub async fn finish(self, answer: RecordedAnswer) {
        let mut pause_ms = RETRY_BACKOFF_MS.0;
        for _ in 0..MAX_TRIES {
            if self.try_finish(&answer).await.is_ok() {
                return;
            }
            compio::time::sleep(Duration::from_millis(pause_ms)).await;
            pause_ms = (pause_ms * 2).min(RETRY_BACKOFF_MS.1);
        }
        log::error!(key = self.key; "answer not recorded");
    }

    /// Reverts a start of an attempt that was never sent to the upstream. Retries like
    /// [`Self::finish`].
    pub async fn revert_start(self) {
        let mut pause_ms = RETRY_BACKOFF_MS.0;
        for _ in 0..MAX_TRIES {
            if let Ok(true) = self.try_revert_start().await {
                return;
            }
            compio::time::sleep(Duration::from_millis(pause_ms)).await;
            pause_ms = (pause_ms * 2).min(RETRY_BACKOFF_MS.1);
        }
        log::error!(key = self.key; "unused start not reverted");
    }

    /// Voids the attempt, so that it can no longer start. Retries after conflicts, but not
    /// after errors.
    ///
    /// # Errors
    /// [`TableError`] if the table did not answer.
    pub async fn void(&self) -> Result<VoidVerdict, TableError> {
        let mut snapshot = self.read().await?;
        loop {
            match self.transitions().void(snapshot.row.as_ref()) {
                VoidStep::Write(row) => match self.write(snapshot.revision, &row).await? {
                    None => return Ok(VoidVerdict::NeverRuns),
                    Some(current) => snapshot = current,
                },
                VoidStep::Voided => return Ok(VoidVerdict::NeverRuns),
                VoidStep::Ran(answer) => return Ok(VoidVerdict::Ran(answer)),
                VoidStep::Running | VoidStep::Full => return Ok(VoidVerdict::Unknown),
            }
        }
    }

    async fn try_finish(&self, answer: &RecordedAnswer) -> Result<(), TableError> {
        let mut snapshot = self.read().await?;
        loop {
            let next = self
                .transitions()
                .finish(snapshot.row.as_ref(), answer.clone());
            let Some(row) = next else {
                return Ok(());
            };
            match self.write(snapshot.revision, &row).await? {
                None => return Ok(()),
                Some(current) => snapshot = current,
            }
        }
    }

    async fn try_revert_start(&self) -> Result<bool, TableError> {
        let snapshot = self.read().await?;
        match self.transitions().revert_start(snapshot.row.as_ref()) {
            RevertStep::NothingToRevert => Ok(true),
            RevertStep::Write(row) => Ok(self.write(snapshot.revision, &row).await?.is_none()),
        }
    }

    /// Reads the row after a write that got no answer. If the table does not answer in
    /// time, the attempt is refused before it runs, and the start is reverted in the
    /// background.
    async fn read_back(&self) -> Result<RowSnapshot, RequestRefusal> {
        let since = self.node.now();
        while self.node.now().millis_since(since) < READ_BACK_TIMEOUT_MS {
            if let Ok(snapshot) = self.read().await {
                return Ok(snapshot);
            }
            compio::time::sleep(Duration::from_millis(POLL_MS)).await;
        }
        compio::runtime::spawn(self.clone().revert_start()).detach();
        not_run(RefusalReason::RecordUnavailable)
    }

    async fn await_other_attempt(&self, deadline: MonoTime) -> Result<RowSnapshot, RequestRefusal> {
        loop {
            if self.node.now() + POLL_MS > deadline {
                return Err(RequestRefusal::unknown(RefusalReason::ResultUnknown));
            }
            compio::time::sleep(Duration::from_millis(POLL_MS)).await;
            if let Ok(snapshot) = self.read().await {
                return Ok(snapshot);
            }
        }
    }

    async fn read(&self) -> Result<RowSnapshot, TableError> {
        let row = self.node.table.read(self.key.clone()).await?;
        RowSnapshot::of(&row)
    }

    /// Writes the row if it still has the expected revision; otherwise returns the current
    /// row.
    async fn write(
        &self,
        expected: RowRevision,
        row: &RunRow,
    ) -> Result<Option<RowSnapshot>, TableError> {
        let txn = TableTxn::default()
            .check(&self.key, expected)
            .write(&self.key, row)?;
        match self.node.table.commit(txn).await? {
            TxnOutcome::Committed(_) => Ok(None),
            TxnOutcome::Conflict(rows) => match rows.first() {
                Some(row) => Ok(Some(RowSnapshot::of(row)?)),
                None => Ok(Some(RowSnapshot::absent())),
            },
        }
    }

    fn transitions(&self) -> AttemptTransitions {
        AttemptTransitions {
            attempt: self.attempt,
            fingerprint: self.fingerprint,
            unix_s: unix_ms() / 1_000,
        }
    }
}

/// Voids an attempt, retrying after errors for at most `limit_ms`; [`VoidVerdict::Unknown`]
/// if the time runs out.
pub async fn void_attempt(recorder: &RunRecorder, limit_ms: u64) -> VoidVerdict {
    let trying = async {
        loop {
            match recorder.void().await {
                Ok(verdict) => return verdict,
                Err(_) => compio::time::sleep(Duration::from_millis(POLL_MS)).await,
            }
        }
    };
    compio::time::timeout(Duration::from_millis(limit_ms), trying)
        .await
        .unwrap_or(VoidVerdict::Unknown)
}

const fn not_run<T>(reason: RefusalReason) -> Result<T, RequestRefusal> {
    Err(RequestRefusal::not_run(reason))
}
