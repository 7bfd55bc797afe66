//! Era of a table between two restores from an older copy.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Number of times that the table was restored from an older copy. Rows that were acknowledged in
/// an earlier era may be lost, and their revisions may be given to other rows.
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
pub struct TableEra(pub u64);
