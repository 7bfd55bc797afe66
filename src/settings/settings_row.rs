//! Table rows of the settings tree.

use serde::{Deserialize, Serialize};

use super::SubtreeName;
use crate::ids::AttemptId;

/// Key prefix of all settings rows.
pub const SETTINGS_PREFIX: &str = "settings/";

/// Key of the row with the newest revision, which each accepted change advances.
pub const SETTINGS_HEAD_KEY: &str = "settings/head";

/// The newest accepted revision of the whole tree.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SettingsHead {
    /// Increases by one with each accepted change.
    pub revision: u64,
}

/// The accepted text of one subtree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsRow {
    /// Name of the subtree.
    pub subtree: SubtreeName,
    /// Tree revision at which this text was accepted; never decreases for a subtree.
    pub revision: u64,
    /// Text of the subtree, in INI format.
    pub text: String,
    /// Author of the change.
    pub author: String,
    /// Identifies the change that wrote the row, so that after a lost answer, reading the
    /// row back tells whether the commit succeeded.
    pub attempt: AttemptId,
}
