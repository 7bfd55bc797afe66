//! Faults in settings and configuration files.

use std::fmt;

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

/// A fault and where it is.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub struct SettingsFault {
    /// Name of the file or subtree.
    pub file: String,
    /// Number of the line, from 1; `None` if the key is missing or the place is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub line: Option<usize>,
    /// Name of the section; empty if the fault is not in a section.
    pub section: String,
    /// Name of the key; empty if the fault is not in one key.
    pub key: String,
    /// Cause of the fault.
    pub cause: FaultCause,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            section,
            key,
            cause,
        } = self;
        write!(formatter, "{file}:")?;
        if let Some(line) = line {
            write!(formatter, "{line}:")?;
        }
        write!(formatter, " [{section}] {key}: {cause}")
    }
}

impl SettingsFault {
    /// Adds the number of the line in the text of the file.
    #[must_use]
    pub fn with_line_in(self, text: &str) -> Self {
        let line = line_of(text, &self.section, &self.key);
        Self { line, ..self }
    }
}

/// Number of the line of a key, or of the section's head for an empty key.
fn line_of(text: &str, section: &str, key: &str) -> Option<usize> {
    let mut current = "";
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        let head = line
            .strip_prefix('[')
            .and_then(|rest| rest.strip_suffix(']'));
        if let Some(name) = head {
            current = name.trim();
        }
        let name = line.split_once('=').map_or("", |(name, _)| name.trim());
        let is_place = if key.is_empty() {
            head.is_some()
        } else {
            name == key
        };
        if is_place && current == section {
            return Some(index + 1);
        }
    }
    None
}
