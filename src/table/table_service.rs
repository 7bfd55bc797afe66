//! The table's interface for the controllers.

use futures_util::future::LocalBoxFuture;

use super::{RowRevision, TableEra, TableError, TableRow, TableTxn, TxnOutcome};

/// A transactional table with compare-and-set.
///
/// An error from [`TableService::commit`] leaves open whether the transaction took effect: the
/// caller reads the rows back.
pub trait TableService {
    /// The newest era that any response named; `None` if none did.
    fn era(&self) -> Option<TableEra> {
        None
    }

    /// Commits a transaction.
    fn commit(&self, txn: TableTxn) -> LocalBoxFuture<'_, Result<TxnOutcome, TableError>>;

    /// Reads one row; a missing row has [`RowRevision::ABSENT`].
    fn read(&self, key: String) -> LocalBoxFuture<'_, Result<TableRow, TableError>>;

    /// Reads the rows under a prefix that were written after `since`, deleted ones included.
    fn scan(
        &self,
        prefix: String,
        since: RowRevision,
    ) -> LocalBoxFuture<'_, Result<Vec<TableRow>, TableError>>;
}
