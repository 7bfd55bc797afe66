//! Keeps the records for which suspects are held back in the platform's table, for a planner that knows none.

use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::GatewayContext;
use crate::decision::unix_ms;
use crate::quarantine::CrashRecord;
use crate::table::{RowRevision, TableEra, TableError, TableTxn, TxnOutcome};

/// Table key of the records.
const CRASHES_KEY: &str = "crash-records";

/// Milliseconds between two checks for records that are not stored.
const CHECK_MS: u64 = 250;

/// Milliseconds before a failed call is repeated.
const RETRY_MS: u64 = 1_000;

/// Records stored at most, the newest first; a row of the platform has a limited size.
const MAX_STORED_RECORDS: usize = 256;

/// The table row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct StoredCrashes {
    /// When it was written, in milliseconds since the Unix epoch; the ages count from then.
    at_unix_ms: u64,
    records: Vec<CrashRecord>,
}

/// What a planner knows of the row.
#[derive(Debug, Clone, Copy)]
struct StoredState {
    revision: RowRevision,
    /// Digest of the records that were written.
    digest: u64,
    /// Era of the table in which the row was read or written.
    era: Option<TableEra>,
}

/// Reads the records when this process begins to plan, and stores them while it plans.
pub async fn run_crash_store(context: Rc<GatewayContext>) {
    let mut state: Option<StoredState> = None;
    loop {
        let mut pause_ms = CHECK_MS;
        if context.host.is_active() {
            if let Err(error) = sync(&context, &mut state).await {
                log::warn!(dependency = "table", error:% = error; "records of crashes not read or stored");
                pause_ms = RETRY_MS;
            }
        } else {
            state = None;
        }
        compio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

async fn sync(context: &GatewayContext, state: &mut Option<StoredState>) -> Result<(), TableError> {
    // After a restore, the row may lack records that were stored.
    let known = state.filter(|known| known.era == context.era.get());
    let Some(known) = known else {
        *state = Some(read(context).await?);
        return Ok(());
    };
    if context.crashes.held_back_digest() != known.digest {
        *state = store(context, known.revision).await?;
    }
    Ok(())
}

async fn read(context: &GatewayContext) -> Result<StoredState, TableError> {
    let row = context.ports.table.read(CRASHES_KEY.to_owned()).await?;
    let stored: StoredCrashes = row.decode()?.unwrap_or_default();
    let elapsed_ms = unix_ms().saturating_sub(stored.at_unix_ms);
    let records: Vec<CrashRecord> = stored
        .records
        .into_iter()
        .map(|record| CrashRecord {
            age_ms: record.age_ms.saturating_add(elapsed_ms),
            ..record
        })
        .collect();
    context.crashes.merge(context.now(), &records);
    Ok(StoredState {
        revision: row.revision,
        digest: 0,
        era: context.era.get(),
    })
}

/// Stores the records. Returns `None` if another process has changed the row.
async fn store(
    context: &GatewayContext,
    revision: RowRevision,
) -> Result<Option<StoredState>, TableError> {
    let digest = context.crashes.held_back_digest();
    let mut records = context.crashes.held_back_records(context.now());
    records.sort_by_key(|record| record.age_ms);
    records.truncate(MAX_STORED_RECORDS);
    let row = StoredCrashes {
        at_unix_ms: unix_ms(),
        records,
    };
    let txn = TableTxn::default()
        .check(CRASHES_KEY, revision)
        .write(CRASHES_KEY, &row)?;
    match context.ports.table.commit(txn).await? {
        TxnOutcome::Committed(revision) => {
            log::info!(digest, records = row.records.len(); "records of crashes stored");
            Ok(Some(StoredState {
                revision,
                digest,
                era: context.era.get(),
            }))
        }
        TxnOutcome::Conflict(_) => Ok(None),
    }
}
