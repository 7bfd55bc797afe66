//! Follows the accepted settings; the revision in force never decreases.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::{FleetSettings, SettingsFault, SettingsRow, SubtreeName, parse_tree};

/// Keeps the newest known row of each subtree, and the tree parsed from these rows.
#[derive(Debug, Default)]
pub struct SettingsFollower {
    rows: BTreeMap<SubtreeName, SettingsRow>,
    /// The tree parsed from `rows`; its revision never decreases.
    current: Option<Rc<FleetSettings>>,
}

impl SettingsFollower {
    /// Creates a follower without settings.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// The tree in force; `None` until valid rows have been applied.
    #[must_use]
    pub fn current(&self) -> Option<Rc<FleetSettings>> {
        self.current.clone()
    }

    /// The revision in force; zero until valid rows have been applied.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.current
            .as_ref()
            .map_or(0, |settings| settings.revision)
    }

    /// The rows in force, for peers that start while the table is unavailable.
    #[must_use]
    pub fn rows(&self) -> Vec<SettingsRow> {
        self.rows.values().cloned().collect()
    }

    /// Applies rows from the table or a peer, ignoring those that are not newer than the known
    /// ones. Returns whether a newer tree came into force.
    ///
    /// # Errors
    /// All faults if the rows form no valid tree; the tree in force is then kept.
    pub fn apply_rows(&mut self, rows: Vec<SettingsRow>) -> Result<bool, Vec<SettingsFault>> {
        let mut merged = self.rows.clone();
        let mut is_changed = false;
        for row in rows {
            let known_revision = merged.get(&row.subtree).map_or(0, |known| known.revision);
            if row.revision > known_revision {
                merged.insert(row.subtree.clone(), row);
                is_changed = true;
            }
        }
        if !is_changed {
            return Ok(false);
        }
        let candidate: Vec<SettingsRow> = merged.values().cloned().collect();
        let settings = parse_tree(&candidate)?;
        self.rows = merged;
        self.current = Some(Rc::new(settings));
        Ok(true)
    }
}
