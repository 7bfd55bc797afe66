//! Transactions on the table.

use serde::{Deserialize, Serialize};

use super::{RowRevision, TableError, TableRow};

/// A precondition: the row still has this revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCheck {
    /// Key of the row.
    pub key: String,
    /// The expected revision.
    pub revision: RowRevision,
}

/// A write of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: String,
    /// The new JSON text; `None` deletes the row.
    pub value: Option<String>,
}

/// Writes that take effect together if all checks hold.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TableTxn {
    /// Preconditions on rows.
    pub checks: Vec<RowCheck>,
    /// Rows to write.
    pub writes: Vec<RowWrite>,
}

impl TableTxn {
    /// Adds a precondition.
    #[must_use]
    pub fn check(mut self, key: &str, revision: RowRevision) -> Self {
        self.checks.push(RowCheck {
            key: key.to_owned(),
            revision,
        });
        self
    }

    /// Adds a write of an encoded value.
    ///
    /// # Errors
    /// [`TableError::Decode`] if the value cannot be encoded.
    pub fn write<T: Serialize>(mut self, key: &str, value: &T) -> Result<Self, TableError> {
        let text = serde_json::to_string(value).map_err(TableError::Decode)?;
        self.writes.push(RowWrite {
            key: key.to_owned(),
            value: Some(text),
        });
        Ok(self)
    }

    /// Adds a deletion.
    #[must_use]
    pub fn delete(mut self, key: &str) -> Self {
        self.writes.push(RowWrite {
            key: key.to_owned(),
            value: None,
        });
        self
    }
}

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TxnOutcome {
    /// All writes took effect at this revision.
    Committed(RowRevision),
    /// Nothing was written; holds the current rows whose check failed.
    Conflict(Vec<TableRow>),
}
