//! Keeps the entry's quarantine in sync with the quarantine rows in the table.

use std::rc::Rc;
use std::time::Duration;

use super::entry_context::EntryContext;
use crate::decision::unix_ms;
use crate::quarantine::{QUARANTINE_PREFIX, QuarantineRow, RequestFingerprint};
use crate::table::{RowRevision, TableError, TableRow, TableTxn};

/// Milliseconds between two reads of the quarantine rows.
const POLL_INTERVAL_MS: u64 = 2_000;

/// Applies changed quarantine rows, expires old crash records and advances the demand tracker,
/// once per interval in an endless loop.
pub async fn sync_quarantine(context: Rc<EntryContext>) {
    let mut since = RowRevision::ABSENT;
    loop {
        match apply_changed_rows(&context, since).await {
            Ok(newest) => since = newest,
            Err(error) => log::warn!(error:% = error; "reading the quarantine rows failed"),
        }
        let quarantine_ms = context.quarantine_ms();
        let now = context.now();
        context.quarantine.borrow_mut().expire(now, quarantine_ms);
        context.demand.borrow_mut().advance(now);
        compio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

/// Releases a request from quarantine: here at once, at other entries once they read the
/// deleted rows. Returns the number of crashes that it was recorded with.
///
/// # Errors
/// [`TableError`] if the table did not answer; this entry has released the request even so.
pub async fn release_request(
    context: &EntryContext,
    fingerprint: RequestFingerprint,
) -> Result<usize, TableError> {
    let now = context.now();
    let crashes = context.quarantine.borrow_mut().release(now, fingerprint);
    for crash in &crashes {
        let key = QuarantineRow::row_key(fingerprint, *crash);
        let txn = TableTxn::default().delete(&key);
        context.node.table.commit(txn).await?;
    }
    Ok(crashes.len())
}

async fn apply_changed_rows(
    context: &EntryContext,
    since: RowRevision,
) -> Result<RowRevision, TableError> {
    let table = &context.node.table;
    let rows = table.scan(QUARANTINE_PREFIX.to_owned(), since).await?;
    let mut newest = since;
    for row in &rows {
        newest = newest.max(row.revision);
        apply_row(context, row).await?;
    }
    Ok(newest)
}

/// Applies a changed row. A deleted row clears the crash, as an operator's release does; an
/// expired row is deleted from the table.
async fn apply_row(context: &EntryContext, row: &TableRow) -> Result<(), TableError> {
    let now = context.now();
    let Some((fingerprint, crash)) = QuarantineRow::parse_key(&row.key) else {
        return Ok(());
    };
    let Some(quarantine_row) = row.decode::<QuarantineRow>()? else {
        let mut quarantine = context.quarantine.borrow_mut();
        quarantine.forgive(now, fingerprint, crash);
        return Ok(());
    };
    let age_ms = unix_ms().saturating_sub(quarantine_row.at_unix_s * 1_000);
    if age_ms < context.quarantine_ms() {
        let mut quarantine = context.quarantine.borrow_mut();
        quarantine.record(now, fingerprint, crash);
        return Ok(());
    }
    let txn = TableTxn::default()
        .check(&row.key, row.revision)
        .delete(&row.key);
    context.node.table.commit(txn).await?;
    Ok(())
}
