//! In-memory stand-in for the transactional table.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use quetzalpin::table::{RowRevision, TableRow, TableTxn, TxnOutcome};
use serde::Deserialize;

/// Parameters of a read or scan.
#[derive(Debug, Clone, Deserialize)]
pub struct RowQuery {
    /// Key of a read, or key prefix of a scan.
    pub key: String,
    /// A scan returns the rows written after this revision; a read ignores it.
    pub since: RowRevision,
}

/// Rows with their revisions; deleted rows remain as tombstones so that scans return them.
#[derive(Debug, Default)]
pub struct TableStandin {
    rows: RefCell<BTreeMap<String, TableRow>>,
    revision: Cell<u64>,
    commits: Cell<u64>,
    reads: Cell<u64>,
}

impl TableStandin {
    /// Commits a transaction, or returns the rows whose revision does not match its checks.
    pub fn commit(&self, txn: &TableTxn) -> TxnOutcome {
        self.commits.set(self.commits.get() + 1);
        let failed: Vec<TableRow> = txn
            .checks
            .iter()
            .map(|check| (check, self.current(&check.key)))
            .filter(|(check, row)| effective_revision(row) != check.revision)
            .map(|(_, row)| row)
            .collect();
        if !failed.is_empty() {
            return TxnOutcome::Conflict(failed);
        }
        let revision = RowRevision(self.revision.get() + 1);
        self.revision.set(revision.0);
        let mut rows = self.rows.borrow_mut();
        for write in &txn.writes {
            let row = TableRow {
                key: write.key.clone(),
                revision,
                value: write.value.clone(),
            };
            rows.insert(write.key.clone(), row);
        }
        TxnOutcome::Committed(revision)
    }

    /// Reads one row; a deleted one is returned as absent.
    pub fn read(&self, key: &str) -> TableRow {
        self.reads.set(self.reads.get() + 1);
        let mut row = self.current(key);
        row.revision = effective_revision(&row);
        row
    }

    /// Reads the rows under a key prefix; tombstones are left out of a scan from the beginning.
    pub fn scan(&self, query: &RowQuery) -> Vec<TableRow> {
        self.reads.set(self.reads.get() + 1);
        let rows = self.rows.borrow();
        let range = rows.range(query.key.clone()..);
        let matching = range.take_while(|(key, _)| key.starts_with(&query.key));
        matching
            .filter(|(_, row)| row.revision > query.since)
            .filter(|(_, row)| row.value.is_some() || query.since != RowRevision::ABSENT)
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Number of commits, and of reads and scans, since the start.
    pub fn call_counts(&self) -> (u64, u64) {
        (self.commits.get(), self.reads.get())
    }

    fn current(&self, key: &str) -> TableRow {
        let rows = self.rows.borrow();
        rows.get(key).cloned().unwrap_or_else(|| TableRow {
            key: key.to_owned(),
            revision: RowRevision::ABSENT,
            value: None,
        })
    }
}

fn effective_revision(row: &TableRow) -> RowRevision {
    if row.value.is_some() {
        row.revision
    } else {
        RowRevision::ABSENT
    }
}
