//! Records of crashing requests in the table, for entries that did not receive them directly.

use std::rc::Rc;

use super::NodeContext;
use crate::decision::unix_ms;
use crate::quarantine::{QuarantineRow, RequestFingerprint};
use crate::table::TableTxn;

/// Records in the table that a request was in flight at a crash.
pub async fn store_crash(node: Rc<NodeContext>, fingerprint: RequestFingerprint, crash: u64) {
    let key = QuarantineRow::row_key(fingerprint, crash);
    let row = QuarantineRow {
        fingerprint,
        crash,
        at_unix_s: unix_ms() / 1_000,
    };
    let Ok(txn) = TableTxn::default().write(&key, &row) else {
        return;
    };
    if let Err(error) = node.table.commit(txn).await {
        log::warn!(error:% = error; "crash not stored in the table");
    }
}

/// Deletes the record of a request that was in flight at a crash.
pub async fn delete_crash(node: Rc<NodeContext>, fingerprint: RequestFingerprint, crash: u64) {
    let key = QuarantineRow::row_key(fingerprint, crash);
    if let Err(error) = node.table.commit(TableTxn::default().delete(&key)).await {
        log::warn!(error:% = error; "crash not deleted from the table");
    }
}
