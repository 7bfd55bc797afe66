//! Rows as the table service returns them.

use derive_more::Display;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::TableError;

/// Revision of a row; zero stands for an absent row, and a later commit has a higher one.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct RowRevision(pub u64);

impl RowRevision {
    /// The revision of a row that does not exist.
    pub const ABSENT: Self = Self(0);
}

/// One row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key of the row.
    pub key: String,
    /// Revision of the commit that wrote the row.
    pub revision: RowRevision,
    /// JSON text, or `None` where the row was deleted.
    pub value: Option<String>,
}

impl TableRow {
    /// Decodes the row's value.
    ///
    /// # Errors
    /// [`TableError::Decode`] if the value cannot be deserialized as `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<Option<T>, TableError> {
        self.value
            .as_deref()
            .map(serde_json::from_str)
            .transpose()
            .map_err(TableError::Decode)
    }
}
