//! The upstreams that exist, by identity and start.

use std::collections::HashMap;

use slotmap::SlotMap;

use super::{UpstreamChange, UpstreamEntry, UpstreamPhase, UpstreamUpdate};
use crate::prelude::*;

slotmap::new_key_type! {
    /// Key of one start of one upstream.
    pub struct UpstreamKey;
}

/// Milliseconds after an outage of the list within which upstreams that lapsed are listed
/// again, by the platform's agreement.
const RELIST_MS: u64 = 2_300;

/// What a change of the list did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterChange {
    /// A start of an upstream appeared.
    Joined(UpstreamKey),
    /// An upstream began to leave.
    Leaving(UpstreamKey),
    /// An upstream is gone.
    Gone(UpstreamId),
    /// An entry cannot be read and names no upstream.
    Unreadable(UpstreamId, String),
}

#[derive(Debug)]
struct RosterRow {
    entry: UpstreamEntry,
    /// Set while the entry is missing after an outage of the list and may come back.
    missing_until: Option<MonoTime>,
}

/// Follows the platform's list.
#[derive(Debug, Default)]
pub struct UpstreamRoster {
    rows: SlotMap<UpstreamKey, RosterRow>,
    /// Newest start of each identity; every key is in `rows`.
    by_id: HashMap<UpstreamId, UpstreamKey>,
    /// End of the newest outage of the list, or now while it lasts.
    outage_until: Option<MonoTime>,
}

impl UpstreamRoster {
    /// Opens an empty roster.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Notes that the list cannot be read now.
    pub fn note_outage(&mut self, now: MonoTime) {
        self.outage_until = Some(now);
    }

    /// Takes news from the list.
    pub fn apply(&mut self, now: MonoTime, news: UpstreamUpdate) -> Vec<RosterChange> {
        let mut changes = Vec::new();
        if news.is_snapshot {
            let listed = |id: &UpstreamId| {
                news.changes.iter().any(
                    |change| matches!(change, UpstreamChange::Listed(entry) if entry.id == *id),
                )
            };
            let missing: Vec<UpstreamId> = self
                .by_id
                .keys()
                .filter(|id| !listed(id))
                .cloned()
                .collect();
            for id in missing {
                self.remove(now, id, &mut changes);
            }
        }
        for change in news.changes {
            match change {
                UpstreamChange::Listed(entry) => self.list(entry, &mut changes),
                UpstreamChange::Removed(id) => self.remove(now, id, &mut changes),
                UpstreamChange::Unreadable { id, reason } => {
                    self.drop_now(&id);
                    changes.push(RosterChange::Unreadable(id, reason));
                }
            }
        }
        changes
    }

    /// Drops the entries that stayed missing and returns them.
    pub fn expire(&mut self, now: MonoTime) -> Vec<UpstreamId> {
        let ended: Vec<UpstreamId> = self
            .rows
            .values()
            .filter(|row| row.missing_until.is_some_and(|until| now >= until))
            .map(|row| row.entry.id.clone())
            .collect();
        for id in &ended {
            self.drop_now(id);
        }
        ended
    }

    /// An upstream by key.
    #[must_use]
    pub fn get(&self, key: UpstreamKey) -> Option<&UpstreamEntry> {
        self.rows.get(key).map(|row| &row.entry)
    }

    /// The newest start of an identity.
    #[must_use]
    pub fn key_of(&self, id: &UpstreamId) -> Option<UpstreamKey> {
        self.by_id.get(id).copied()
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &UpstreamEntry)> {
        self.rows.iter().map(|(key, row)| (key, &row.entry))
    }

    fn list(&mut self, entry: UpstreamEntry, changes: &mut Vec<RosterChange>) {
        let known = self
            .key_of(&entry.id)
            .and_then(|key| Some((key, self.rows.get_mut(key)?)));
        if let Some((key, row)) = known {
            if entry.started_at_ms < row.entry.started_at_ms {
                return;
            }
            if entry.started_at_ms == row.entry.started_at_ms {
                row.missing_until = None;
                let was_ready = row.entry.phase == UpstreamPhase::Ready;
                if was_ready && entry.phase == UpstreamPhase::Draining {
                    changes.push(RosterChange::Leaving(key));
                }
                // A leaving upstream does not come back under the same start.
                let phase = if was_ready {
                    entry.phase
                } else {
                    UpstreamPhase::Draining
                };
                row.entry = UpstreamEntry { phase, ..entry };
                return;
            }
            self.rows.remove(key);
        }
        let id = entry.id.clone();
        let key = self.rows.insert(RosterRow {
            entry,
            missing_until: None,
        });
        self.by_id.insert(id, key);
        changes.push(RosterChange::Joined(key));
    }

    fn remove(&mut self, now: MonoTime, id: UpstreamId, changes: &mut Vec<RosterChange>) {
        let relisted_by = self.outage_until.map(|end| end + RELIST_MS);
        let key = self.key_of(&id);
        let row = key.and_then(|key| self.rows.get_mut(key));
        match (row, relisted_by) {
            (Some(row), Some(until)) if now < until && row.entry.phase == UpstreamPhase::Ready => {
                row.missing_until = Some(until);
            }
            (Some(_), _) => {
                self.drop_now(&id);
                changes.push(RosterChange::Gone(id));
            }
            (None, _) => {}
        }
    }

    fn drop_now(&mut self, id: &UpstreamId) {
        if let Some(key) = self.by_id.remove(id) {
            self.rows.remove(key);
        }
    }
}
