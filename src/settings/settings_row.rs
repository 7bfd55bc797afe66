//! Table rows of the settings tree.

use serde::{Deserialize, Serialize};

use super::SubtreeName;
use crate::ids::AttemptId;

/// Prefix of all settings rows.
pub const SETTINGS_PREFIX: &str = "settings/";

/// Key of the row that each accepted change advances.
pub const SETTINGS_HEAD_KEY: &str = "settings/head";

/// The newest accepted revision of the whole tree.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SettingsHead {
    /// Rises by one with each accepted change.
    pub revision: u64,
}

/// One accepted subtree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsRow {
    /// Which subtree.
    pub subtree: SubtreeName,
    /// Tree revision at which this text was accepted; never falls for a subtree.
    pub revision: u64,
    /// The INI text.
    pub text: String,
    /// Who applied the change.
    pub author: String,
    /// Marks the one apply that wrote the row, for reading back a lost answer.
    pub attempt: AttemptId,
}
