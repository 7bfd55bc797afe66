//! Counts the calls to the table in the metrics.

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;

use crate::metrics::NodeMetrics;
use crate::table::{RowRevision, TableError, TableRow, TableService, TableTxn, TxnOutcome};

/// A table whose calls are counted by result.
pub struct MeteredTable {
    inner: Rc<dyn TableService>,
    metrics: Rc<NodeMetrics>,
}

impl MeteredTable {
    /// Wraps a table.
    #[must_use]
    pub fn open(inner: Rc<dyn TableService>, metrics: Rc<NodeMetrics>) -> Self {
        Self { inner, metrics }
    }

    async fn count<T>(
        &self,
        operation: &str,
        call: LocalBoxFuture<'_, Result<T, TableError>>,
    ) -> Result<T, TableError> {
        let result = call.await;
        self.metrics.count_table_call(operation, result.is_ok());
        result
    }
}

impl TableService for MeteredTable {
    fn commit(&self, txn: TableTxn) -> LocalBoxFuture<'_, Result<TxnOutcome, TableError>> {
        Box::pin(self.count("commit", self.inner.commit(txn)))
    }

    fn read(&self, key: String) -> LocalBoxFuture<'_, Result<TableRow, TableError>> {
        Box::pin(self.count("read", self.inner.read(key)))
    }

    fn scan(
        &self,
        prefix: String,
        since: RowRevision,
    ) -> LocalBoxFuture<'_, Result<Vec<TableRow>, TableError>> {
        Box::pin(self.count("scan", self.inner.scan(prefix, since)))
    }
}
