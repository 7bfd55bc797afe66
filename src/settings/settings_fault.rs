//! Faults in settings and configuration files.

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
    /// Name of the file or subtree.
    pub file: String,
    /// Name of the section; empty if the fault is not in a section.
    pub section: String,
    /// Name of the key; empty if the fault is not in one key.
    pub key: String,
    /// Cause of the fault.
    pub cause: FaultCause,
}
