//! Follows accepted settings; a process never goes back.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::{FleetSettings, SettingsFault, SettingsRow, SubtreeName, parse_tree};

/// Keeps the newest known row of each subtree and the tree they form.
#[derive(Debug, Default)]
pub struct SettingsFollower {
    rows: BTreeMap<SubtreeName, SettingsRow>,
    /// The tree of `rows`; its revision never falls.
    current: Option<Rc<FleetSettings>>,
}

impl SettingsFollower {
    /// Opens a follower that knows nothing yet.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// The tree in force.
    #[must_use]
    pub fn current(&self) -> Option<Rc<FleetSettings>> {
        self.current.clone()
    }

    /// Revision in force, zero before the first.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.current
            .as_ref()
            .map_or(0, |settings| settings.revision)
    }

    /// The followed rows, for peers that start while the table is down.
    #[must_use]
    pub fn rows(&self) -> Vec<SettingsRow> {
        self.rows.values().cloned().collect()
    }

    /// Takes rows from the table or a peer; older ones are ignored.
    /// Returns whether a newer tree came into force.
    ///
    /// # Errors
    /// All faults if the rows form no valid tree; the tree in force then stays.
    pub fn apply_rows(&mut self, rows: Vec<SettingsRow>) -> Result<bool, Vec<SettingsFault>> {
        let mut merged = self.rows.clone();
        let mut changed = false;
        for row in rows {
            let known = merged.get(&row.subtree).map_or(0, |known| known.revision);
            if row.revision > known {
                merged.insert(row.subtree.clone(), row);
                changed = true;
            }
        }
        if !changed {
            return Ok(false);
        }
        let candidate: Vec<SettingsRow> = merged.values().cloned().collect();
        let settings = parse_tree(&candidate)?;
        self.rows = merged;
        self.current = Some(Rc::new(settings));
        Ok(true)
    }
}
