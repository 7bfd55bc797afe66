//! Client side of the platform's transactional table service.

mod errors;
mod http_table;
mod table_era;
mod table_row;
mod table_service;
mod table_txn;

pub use errors::TableError;
pub use http_table::HttpTable;
pub use table_era::TableEra;
pub use table_row::{RowRevision, TableRow};
pub use table_service::TableService;
pub use table_txn::{RowCheck, RowWrite, TableTxn, TxnOutcome};
