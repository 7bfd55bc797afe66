//! The table service over HTTP with JSON bodies.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{RowRevision, TableError, TableRow, TableService, TableTxn, TxnOutcome};

/// Query of a read or scan.
#[derive(Debug, Serialize)]
struct RowQuery<'a> {
    key: &'a str,
    since: RowRevision,
}

/// Client of the table service at one address.
#[derive(Debug, Clone)]
pub struct HttpTable {
    client: cyper::Client,
    base: String,
    timeout_ms: u64,
}

impl HttpTable {
    /// Creates a client; connections are opened on demand.
    ///
    /// # Errors
    /// [`TableError::Transport`] if the HTTP client cannot be set up.
    pub fn open(address: SocketAddr, timeout_ms: u64) -> Result<Self, TableError> {
        Ok(Self {
            client: cyper::Client::new().map_err(TableError::Transport)?,
            base: format!("http://{address}/table"),
            timeout_ms,
        })
    }

    async fn call<Q: Serialize, R: DeserializeOwned>(
        &self,
        operation: &str,
        query: &Q,
    ) -> Result<R, TableError> {
        let limit = Duration::from_millis(self.timeout_ms);
        compio::time::timeout(limit, self.call_without_timeout(operation, query))
            .await
            .map_err(|_| TableError::Timeout(self.timeout_ms))?
    }

    async fn call_without_timeout<Q: Serialize, R: DeserializeOwned>(
        &self,
        operation: &str,
        query: &Q,
    ) -> Result<R, TableError> {
        let response = self
            .client
            .post(format!("{}/{operation}", self.base))
            .and_then(|request| request.json(query))
            .map_err(TableError::Transport)?
            .send()
            .await
            .map_err(TableError::Transport)?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(TableError::Status(status));
        }
        let body = response.bytes().await.map_err(TableError::Transport)?;
        serde_json::from_slice(&body).map_err(TableError::Decode)
    }
}

impl TableService for HttpTable {
    fn commit(&self, txn: TableTxn) -> LocalBoxFuture<'_, Result<TxnOutcome, TableError>> {
        Box::pin(async move { self.call("commit", &txn).await })
    }

    fn read(&self, key: String) -> LocalBoxFuture<'_, Result<TableRow, TableError>> {
        Box::pin(async move {
            let query = RowQuery {
                key: &key,
                since: RowRevision::ABSENT,
            };
            self.call("read", &query).await
        })
    }

    fn scan(
        &self,
        prefix: String,
        since: RowRevision,
    ) -> LocalBoxFuture<'_, Result<Vec<TableRow>, TableError>> {
        Box::pin(async move {
            let query = RowQuery {
                key: &prefix,
                since,
            };
            self.call("scan", &query).await
        })
    }
}
