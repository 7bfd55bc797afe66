//! The known upstreams, by identity and start.

use std::collections::HashMap;

use slotmap::SlotMap;

use super::{SourceError, UpstreamChange, UpstreamEntry, UpstreamPhase, UpstreamUpdate};
use crate::prelude::*;
use crate::table::TableEra;
use crate::time::DelayWatch;

slotmap::new_key_type! {
    /// Key of one start of one upstream.
    pub struct UpstreamKey;
}

/// Grace period in milliseconds after an outage of the list. The platform guarantees that
/// upstreams whose entries lapsed in the outage are listed again within it.
const RELIST_GRACE_MS: u64 = 2_300;

/// Milliseconds for which an upstream that was dropped is remembered; longer than a copy from which
/// the platform is restored is old.
const DEPARTED_TTL_MS: u64 = 60_000;

/// Milliseconds for which an entry that a restore brought back is not used. Until then the platform
/// has removed it again, or its upstream has written it again.
const HELD_BACK_MS: u64 = 5_000;

/// Effect of an update on the roster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterChange {
    /// An upstream was listed with a new start.
    Joined(UpstreamKey),
    /// An upstream started to drain.
    Leaving(UpstreamKey),
    /// An upstream was dropped because its entry was removed.
    Gone(UpstreamId),
    /// An upstream was dropped because its entry stayed missing after an outage of the list.
    Lapsed(UpstreamId),
    /// An entry cannot be decoded; its upstream was dropped if it was known.
    Unreadable(UpstreamId, String),
}

#[derive(Debug)]
struct RosterRow {
    entry: UpstreamEntry,
    /// Set while the entry is missing after an outage of the list: when it is dropped unless it
    /// is listed again.
    missing_until: Option<MonoTime>,
}

/// An upstream that was dropped.
#[derive(Debug)]
struct DepartedUpstream {
    started_at_ms: u64,
    phase: UpstreamPhase,
    dropped_at: MonoTime,
}

/// The upstreams of the platform's list, with a grace period after outages of the list.
#[derive(Debug, Default)]
pub struct UpstreamRoster {
    rows: SlotMap<UpstreamKey, RosterRow>,
    /// Newest start of each identity; every key is in `rows`.
    by_id: HashMap<UpstreamId, UpstreamKey>,
    /// Time of the last failed read of the list.
    last_failed_read: Option<MonoTime>,
    /// Era of the list as it was last read; `None` before the first read.
    era: Option<TableEra>,
    /// Upstreams that were dropped a short while ago.
    departed: HashMap<UpstreamId, DepartedUpstream>,
    /// Entries of departed upstreams that a restore brought back, and when they were read.
    held_back: HashMap<UpstreamId, (MonoTime, UpstreamEntry)>,
}

impl UpstreamRoster {
    /// Creates an empty roster.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Records a read of the list that began at `started_at` and failed. Returns whether it shows
    /// an outage of the platform.
    pub fn note_failed_read(
        &mut self,
        started_at: MonoTime,
        now: MonoTime,
        error: &SourceError,
        delay: &DelayWatch,
    ) -> bool {
        // A delayed process gives up calls that were answered in time, and no entry has lapsed then.
        let is_own_delay = error.is_timeout() && delay.was_delayed(started_at, now);
        if !is_own_delay {
            self.note_outage(now);
        }
        !is_own_delay
    }

    /// Records an outage of the list.
    pub fn note_outage(&mut self, now: MonoTime) {
        self.last_failed_read = Some(now);
    }

    /// Applies an update of the list and returns its effects.
    pub fn apply(&mut self, now: MonoTime, update: UpstreamUpdate) -> Vec<RosterChange> {
        let mut changes = Vec::new();
        let era = update.version.era;
        let known_era = self.era.replace(era);
        let is_restored = update.is_snapshot && known_era.is_some_and(|known| known != era);
        if is_restored {
            self.held_back.clear();
        }
        if update.is_snapshot {
            let is_listed = |id: &UpstreamId| {
                update.changes.iter().any(
                    |change| matches!(change, UpstreamChange::Listed(entry) if entry.id == *id),
                )
            };
            let missing: Vec<UpstreamId> = self
                .by_id
                .keys()
                .filter(|id| !is_listed(id))
                .cloned()
                .collect();
            self.held_back.retain(|id, _| is_listed(id));
            for id in missing {
                self.remove(now, id, &mut changes);
            }
        }
        for change in update.changes {
            match change {
                UpstreamChange::Listed(entry) if is_restored && self.has_departed(now, &entry) => {
                    self.held_back.insert(entry.id.clone(), (now, entry));
                }
                // A snapshot does not tell whether the upstream has written its entry again.
                UpstreamChange::Listed(entry)
                    if update.is_snapshot && self.is_held_back(&entry) => {}
                UpstreamChange::Listed(entry) => {
                    self.held_back.remove(&entry.id);
                    self.upsert(now, entry, &mut changes);
                }
                UpstreamChange::Removed(id) => {
                    self.held_back.remove(&id);
                    self.remove(now, id, &mut changes);
                }
                UpstreamChange::Unreadable { id, reason } => {
                    self.drop_now(now, &id);
                    changes.push(RosterChange::Unreadable(id, reason));
                }
            }
        }
        changes
    }

    /// Marks a start of an upstream as draining because it said so itself. Returns whether it was
    /// ready.
    pub fn mark_draining(&mut self, id: &UpstreamId, started_at_ms: u64) -> bool {
        let key = self.by_id.get(id).copied();
        let row = key.and_then(|key| self.rows.get_mut(key));
        if let Some(row) = row.filter(|row| row.entry.started_at_ms == started_at_ms) {
            let phase = std::mem::replace(&mut row.entry.phase, UpstreamPhase::Draining);
            return phase == UpstreamPhase::Ready;
        }
        let departed = self.departed.get_mut(id);
        if let Some(departed) = departed.filter(|it| it.started_at_ms == started_at_ms) {
            departed.phase = UpstreamPhase::Draining;
        }
        false
    }

    /// Drops the upstreams whose grace period has expired, and uses the entries that were held back
    /// and are still listed.
    pub fn expire(&mut self, now: MonoTime) -> Vec<RosterChange> {
        let expired: Vec<UpstreamId> = self
            .rows
            .values()
            .filter(|row| row.missing_until.is_some_and(|until| now >= until))
            .map(|row| row.entry.id.clone())
            .collect();
        let mut changes = Vec::new();
        for id in expired {
            self.drop_now(now, &id);
            changes.push(RosterChange::Lapsed(id));
        }
        let is_due = |read_at: MonoTime| now.millis_since(read_at) >= HELD_BACK_MS;
        let due: Vec<UpstreamEntry> = self
            .held_back
            .extract_if(|_, (read_at, _)| is_due(*read_at))
            .map(|(_, (_, entry))| entry)
            .collect();
        for entry in due {
            self.upsert(now, entry, &mut changes);
        }
        self.departed
            .retain(|_, departed| now.millis_since(departed.dropped_at) < DEPARTED_TTL_MS);
        changes
    }

    /// An upstream by key.
    #[must_use]
    pub fn get(&self, key: UpstreamKey) -> Option<&UpstreamEntry> {
        self.rows.get(key).map(|row| &row.entry)
    }

    /// Key of the newest start of an identity.
    #[must_use]
    pub fn key_of(&self, id: &UpstreamId) -> Option<UpstreamKey> {
        self.by_id.get(id).copied()
    }

    /// Number of upstreams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no upstreams.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &UpstreamEntry)> {
        self.rows.iter().map(|(key, row)| (key, &row.entry))
    }

    fn upsert(&mut self, now: MonoTime, mut entry: UpstreamEntry, changes: &mut Vec<RosterChange>) {
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
                // A draining upstream never becomes ready again under the same start.
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
        // A draining upstream that was dropped stays draining if it is listed again.
        let departed = self.departed.get(&id);
        let was_draining = departed.is_some_and(|departed| {
            departed.started_at_ms == entry.started_at_ms
                && departed.phase == UpstreamPhase::Draining
                && now.millis_since(departed.dropped_at) < DEPARTED_TTL_MS
        });
        if was_draining {
            entry.phase = UpstreamPhase::Draining;
        }
        let key = self.rows.insert(RosterRow {
            entry,
            missing_until: None,
        });
        self.by_id.insert(id, key);
        changes.push(RosterChange::Joined(key));
    }

    fn remove(&mut self, now: MonoTime, id: UpstreamId, changes: &mut Vec<RosterChange>) {
        let grace_end = self.last_failed_read.map(|at| at + RELIST_GRACE_MS);
        let key = self.key_of(&id);
        let row = key.and_then(|key| self.rows.get_mut(key));
        match (row, grace_end) {
            (Some(row), Some(until)) if now < until && row.entry.phase == UpstreamPhase::Ready => {
                row.missing_until = Some(until);
            }
            (Some(_), _) => {
                self.drop_now(now, &id);
                changes.push(RosterChange::Gone(id));
            }
            (None, _) => {}
        }
    }

    fn drop_now(&mut self, now: MonoTime, id: &UpstreamId) {
        let row = self.by_id.remove(id).and_then(|key| self.rows.remove(key));
        let Some(row) = row else { return };
        let departed = DepartedUpstream {
            started_at_ms: row.entry.started_at_ms,
            phase: row.entry.phase,
            dropped_at: now,
        };
        self.departed.insert(id.clone(), departed);
    }

    /// Whether an entry is held back, with the same start.
    fn is_held_back(&self, entry: &UpstreamEntry) -> bool {
        let held = self.held_back.get(&entry.id);
        held.is_some_and(|(_, held)| held.started_at_ms == entry.started_at_ms)
    }

    /// Whether an entry is of an upstream that was dropped a short while ago.
    fn has_departed(&self, now: MonoTime, entry: &UpstreamEntry) -> bool {
        let departed = self.departed.get(&entry.id);
        departed.is_some_and(|departed| {
            departed.started_at_ms >= entry.started_at_ms
                && now.millis_since(departed.dropped_at) < DEPARTED_TTL_MS
        })
    }
}
