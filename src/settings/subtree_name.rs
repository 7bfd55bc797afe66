//! Names of the subtrees, which are changed independently of each other.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::settings_row::SETTINGS_PREFIX;
use crate::ids::TeamName;

/// Name of a subtree of the settings, which has its own text and revision.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SubtreeName {
    /// Models, ranks, teams and limits; changed by the platform's operators.
    #[display("root")]
    Root,
    /// Kinds of work and adapters of one team.
    #[display("team.{_0}")]
    Team(TeamName),
}

impl SubtreeName {
    /// Parses `root` or `team.<name>`; `None` for any other text.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        if text == "root" {
            return Some(Self::Root);
        }
        let name = text.strip_prefix("team.")?;
        (!name.is_empty()).then(|| Self::Team(TeamName::from(name)))
    }

    /// Table key of the subtree's row.
    #[must_use]
    pub fn row_key(&self) -> String {
        format!("{SETTINGS_PREFIX}tree/{self}")
    }
}
