//! Follows the table's rows of crashing requests.

use std::rc::Rc;
use std::time::Duration;

use super::entry_context::EntryContext;
use crate::decision::unix_ms;
use crate::quarantine::{QUARANTINE_PREFIX, QuarantineRow, RequestFingerprint};
use crate::table::{RowRevision, TableError, TableRow, TableTxn};

/// Milliseconds between two looks.
const LOOK_MS: u64 = 2_000;

/// Follows the rows for ever.
pub async fn run_quarantine(context: Rc<EntryContext>) {
    let mut since = RowRevision::ABSENT;
    loop {
        match follow_rows(&context, since).await {
            Ok(newest) => since = newest,
            Err(error) => log::warn!(error:% = error; "quarantine not read"),
        }
        let hold_ms = context.hold_ms();
        let now = context.now();
        context.quarantine.borrow_mut().expire(now, hold_ms);
        context.demand.borrow_mut().advance(now);
        compio::time::sleep(Duration::from_millis(LOOK_MS)).await;
    }
}

/// Releases a request on all entries.
///
/// # Errors
/// [`TableError`] if the table did not answer; this entry has released it all the same.
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

async fn follow_rows(
    context: &EntryContext,
    since: RowRevision,
) -> Result<RowRevision, TableError> {
    let table = &context.node.table;
    let rows = table.scan(QUARANTINE_PREFIX.to_owned(), since).await?;
    let mut newest = since;
    for row in &rows {
        newest = newest.max(row.revision);
        take_row(context, row).await?;
    }
    Ok(newest)
}

/// Takes a row; a deleted one is an operator's pardon, and one past its time is cleared.
async fn take_row(context: &EntryContext, row: &TableRow) -> Result<(), TableError> {
    let now = context.now();
    let Some((fingerprint, crash)) = QuarantineRow::parse_key(&row.key) else {
        return Ok(());
    };
    let Some(kept) = row.decode::<QuarantineRow>()? else {
        let mut quarantine = context.quarantine.borrow_mut();
        quarantine.forgive(now, fingerprint, crash);
        return Ok(());
    };
    let age_ms = unix_ms().saturating_sub(kept.at_unix_s * 1_000);
    if age_ms < context.hold_ms() {
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
