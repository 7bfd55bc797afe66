//! Faults in settings text.

use derive_more::Error;
use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// What is wrong with one setting.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultCause {
    /// the text is not INI: {0}
    Syntax(String),
    /// the section is not known here
    UnknownSection,
    /// the key is not known here
    UnknownKey,
    /// the key is missing, expected {0}
    MissingKey(String),
    /// expected {0}
    WrongValue(String),
    /// refers to {0}, which does not exist
    DanglingReference(String),
    /// belongs to another subtree
    ForeignSection,
}

/// {file}: [{section}] {key}: {cause}
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
pub struct SettingsFault {
    /// The file or subtree.
    pub file: String,
    /// The section, or empty.
    pub section: String,
    /// The key, or empty.
    pub key: String,
    /// What is wrong.
    pub cause: FaultCause,
}
