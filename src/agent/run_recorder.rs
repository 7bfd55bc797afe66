//! Reads and writes run rows.

use std::rc::Rc;
use std::time::Duration;

use crate::daemon::NodeContext;
use crate::decision::unix_ms;
use crate::prelude::*;
use crate::quarantine::RequestFingerprint;
use crate::run_once::{RecordedAnswer, RunKey, RunLedger, RunRow, SettleStep, StartStep, VoidStep};
use crate::table::{RowRevision, TableError, TableRow, TableTxn, TxnOutcome};

/// Milliseconds between looks at a row whose attempt runs elsewhere.
const LOOK_MS: u64 = 100;

/// First and longest milliseconds between tries of a write that must not be lost.
const RETRY_MS: (u64, u64) = (100, 5_000);

/// Tries of a write that must not be lost.
const MAX_TRIES: u32 = 200;

/// Milliseconds for which an unanswered start is read back.
const READ_BACK_MS: u64 = 1_500;

/// May the attempt be handed over?
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartVerdict {
    /// Yes, now, and by nobody else.
    Run,
    /// It has run before; give this answer.
    Replay(RecordedAnswer),
}

/// What became of giving an attempt up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VoidVerdict {
    /// The attempt has not run and never will.
    NeverRuns,
    /// The attempt has run with this answer.
    Ran(RecordedAnswer),
    /// The attempt may have run or be running.
    Unknown,
}

/// One attempt's access to its run row.
#[derive(Clone)]
pub struct RunRecorder {
    node: Rc<NodeContext>,
    key: String,
    attempt: AttemptId,
    fingerprint: RequestFingerprint,
}

struct SeenRow {
    revision: RowRevision,
    row: Option<RunRow>,
}

impl SeenRow {
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
    /// Opens the record of one attempt.
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

    /// Claims the right to hand the attempt over.
    ///
    /// # Errors
    /// A refusal; `not_run` unless another attempt of the same call may be running.
    pub async fn start(&self, deadline: MonoTime) -> Result<StartVerdict, RequestRefusal> {
        let mut seen = SeenRow::absent();
        loop {
            match self.ledger().start(seen.row.as_ref()) {
                StartStep::Write(row) => match self.write(seen.revision, &row).await {
                    Ok(None) => return Ok(StartVerdict::Run),
                    Ok(Some(current)) => seen = current,
                    Err(_) => seen = self.read_back().await?,
                },
                StartStep::AlreadyOurs => return Ok(StartVerdict::Run),
                StartStep::Replay(answer) => return Ok(StartVerdict::Replay(answer)),
                StartStep::OtherRunning => seen = self.look_again(deadline).await?,
                StartStep::KeyReused => return not_run(RefusalReason::KeyReused),
                StartStep::Voided => return not_run(RefusalReason::DeadlinePassed),
                StartStep::Full => return not_run(RefusalReason::TooManyAttempts),
            }
        }
    }

    /// Records the attempt's answer, in the background and however long it takes.
    pub async fn finish(self, answer: RecordedAnswer) {
        let mut pause_ms = RETRY_MS.0;
        for _ in 0..MAX_TRIES {
            if self.try_finish(&answer).await.is_ok() {
                return;
            }
            compio::time::sleep(Duration::from_millis(pause_ms)).await;
            pause_ms = (pause_ms * 2).min(RETRY_MS.1);
        }
        log::error!(key = self.key; "answer not recorded");
    }

    /// Takes a start back that was never followed by a hand-over, in the background.
    pub async fn settle(self) {
        let mut pause_ms = RETRY_MS.0;
        for _ in 0..MAX_TRIES {
            if let Ok(true) = self.try_settle().await {
                return;
            }
            compio::time::sleep(Duration::from_millis(pause_ms)).await;
            pause_ms = (pause_ms * 2).min(RETRY_MS.1);
        }
        log::error!(key = self.key; "unused start not reverted");
    }

    /// Gives the attempt up; works on one try per call.
    ///
    /// # Errors
    /// [`TableError`] if the table did not answer.
    pub async fn void(&self) -> Result<VoidVerdict, TableError> {
        let mut seen = self.read().await?;
        loop {
            match self.ledger().void(seen.row.as_ref()) {
                VoidStep::Write(row) => match self.write(seen.revision, &row).await? {
                    None => return Ok(VoidVerdict::NeverRuns),
                    Some(current) => seen = current,
                },
                VoidStep::Voided => return Ok(VoidVerdict::NeverRuns),
                VoidStep::Ran(answer) => return Ok(VoidVerdict::Ran(answer)),
                VoidStep::Running | VoidStep::Full => return Ok(VoidVerdict::Unknown),
            }
        }
    }

    async fn try_finish(&self, answer: &RecordedAnswer) -> Result<(), TableError> {
        let mut seen = self.read().await?;
        loop {
            let next = self.ledger().finish(seen.row.as_ref(), answer.clone());
            let Some(row) = next else {
                return Ok(());
            };
            match self.write(seen.revision, &row).await? {
                None => return Ok(()),
                Some(current) => seen = current,
            }
        }
    }

    async fn try_settle(&self) -> Result<bool, TableError> {
        let seen = self.read().await?;
        match self.ledger().settle(seen.row.as_ref()) {
            SettleStep::Settled => Ok(true),
            SettleStep::Write(row) => Ok(self.write(seen.revision, &row).await?.is_none()),
        }
    }

    /// Reads the row after a write without an answer. If the table stays silent, the attempt
    /// is refused before its hand-over, and the row is put right in the background.
    async fn read_back(&self) -> Result<SeenRow, RequestRefusal> {
        let since = self.node.now();
        while self.node.now().millis_since(since) < READ_BACK_MS {
            if let Ok(seen) = self.read().await {
                return Ok(seen);
            }
            compio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        }
        compio::runtime::spawn(self.clone().settle()).detach();
        not_run(RefusalReason::RecordUnavailable)
    }

    async fn look_again(&self, deadline: MonoTime) -> Result<SeenRow, RequestRefusal> {
        loop {
            if self.node.now() + LOOK_MS > deadline {
                return Err(RequestRefusal::unknown(RefusalReason::ResultUnknown));
            }
            compio::time::sleep(Duration::from_millis(LOOK_MS)).await;
            if let Ok(seen) = self.read().await {
                return Ok(seen);
            }
        }
    }

    async fn read(&self) -> Result<SeenRow, TableError> {
        let row = self.node.table.read(self.key.clone()).await?;
        SeenRow::of(&row)
    }

    /// Writes the row; the current one comes back if it was not as expected.
    async fn write(
        &self,
        expected: RowRevision,
        row: &RunRow,
    ) -> Result<Option<SeenRow>, TableError> {
        let txn = TableTxn::default()
            .check(&self.key, expected)
            .write(&self.key, row)?;
        match self.node.table.commit(txn).await? {
            TxnOutcome::Committed(_) => Ok(None),
            TxnOutcome::Conflict(rows) => match rows.first() {
                Some(row) => Ok(Some(SeenRow::of(row)?)),
                None => Ok(Some(SeenRow::absent())),
            },
        }
    }

    fn ledger(&self) -> RunLedger {
        RunLedger {
            attempt: self.attempt,
            fingerprint: self.fingerprint,
            unix_s: unix_ms() / 1_000,
        }
    }
}

/// Gives an attempt up, trying for at most `limit_ms`.
pub async fn void_attempt(recorder: &RunRecorder, limit_ms: u64) -> VoidVerdict {
    let trying = async {
        loop {
            match recorder.void().await {
                Ok(verdict) => return verdict,
                Err(_) => compio::time::sleep(Duration::from_millis(LOOK_MS)).await,
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
