//! Acquires, renews and releases one lease.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{LeaseRow, LeaseWatch};
use crate::prelude::*;
use crate::table::{RowRevision, TableEra};

/// A renewal is due after the term divided by this.
const RENEW_DIVISOR: u64 = 3;

/// The holder stops using the lease early by the term divided by this, to allow for clock drift.
const MARGIN_DIVISOR: u64 = 5;

/// Epochs that are reserved for each era of the table, so that no epoch is used again after the rows
/// of the latest ones are lost.
const EPOCHS_PER_ERA: u64 = 1_000_000;

/// Whose decisions came before those of a new holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeasePredecessor {
    /// Nobody's: the lease was never held before.
    Nobody,
    /// Its own: it was the last holder.
    Itself,
    /// Those of an earlier process of the same instance, which is known to have ended.
    EndedProcess,
    /// Those of another process, which released the lease this many milliseconds ago, as far as is
    /// known.
    Other {
        /// Milliseconds since the release was first seen; 0 without one.
        released_for_ms: u64,
    },
}

/// A conditional write of the lease row that the holder asks its caller to send.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseIntent {
    /// Revision that the row must still have.
    pub expected: RowRevision,
    /// The row to write. The write is void in any other era of the table than the row's.
    pub row: LeaseRow,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeldLease {
    /// Revision of the newest write known to be by this process.
    revision: RowRevision,
    epoch: u64,
    beat: u64,
    /// Send time of the newest successful write plus the term, less the margin for clock drift.
    valid_until: MonoTime,
    renew_at: MonoTime,
}

/// State of one lease as one process sees it.
#[derive(Debug, Clone)]
pub struct LeaseHolder {
    holder: InstanceName,
    address: SocketAddr,
    start_id: u64,
    term_ms: u64,
    watch: LeaseWatch,
    seen: Option<(RowRevision, Option<LeaseRow>)>,
    /// Milliseconds for which an expired lease is left to other processes.
    takeover_delay_ms: u64,
    /// Whether a lease of an earlier process of this instance may be acquired at once.
    is_sole_process: bool,
    /// When the row was first seen as released; `None` while it is not.
    released_at: Option<MonoTime>,
    held: Option<HeldLease>,
    /// Newest era of the table that this process knows.
    era: TableEra,
    /// The lease that was held when the table was restored. While it would be valid, no other
    /// process can have held a later one.
    carried: Option<HeldLease>,
    /// Newest row that was written in the era in which it was read.
    current_row: Option<LeaseRow>,
    /// Highest epoch of any row seen.
    highest_epoch: u64,
    /// Highest epoch under which this process is known to have held the lease.
    own_epoch: u64,
    /// Highest epoch of a row of another process.
    foreign_epoch: u64,
}

impl LeaseHolder {
    /// Creates a holder that has not read the row yet.
    #[must_use]
    pub fn open(holder: InstanceName, address: SocketAddr, start_id: u64, term_ms: u64) -> Self {
        Self {
            holder,
            address,
            start_id,
            term_ms,
            watch: LeaseWatch::default(),
            seen: None,
            takeover_delay_ms: 0,
            is_sole_process: false,
            released_at: None,
            held: None,
            era: TableEra::default(),
            carried: None,
            current_row: None,
            highest_epoch: 0,
            own_epoch: 0,
            foreign_epoch: 0,
        }
    }

    /// Leaves an expired lease to other processes for some milliseconds.
    #[must_use]
    pub const fn with_takeover_delay(mut self, delay_ms: u64) -> Self {
        self.takeover_delay_ms = delay_ms;
        self
    }

    /// Declares that no earlier process of this instance can still be alive, because this one
    /// has bound the address that the lease names.
    #[must_use]
    pub const fn as_sole_process(mut self) -> Self {
        self.is_sole_process = true;
        self
    }

    /// Milliseconds since the lease was first seen as released, or `None` if it is not released.
    #[must_use]
    pub fn released_for_ms(&self, now: MonoTime) -> Option<u64> {
        Some(now.millis_since(self.released_at?))
    }

    /// Records the table's era. A new one ends a lease that is held: the table may have lost it, and
    /// given its row's revision to another row. Returns whether the era is new.
    pub fn observe_era(&mut self, now: MonoTime, era: TableEra) -> bool {
        if era <= self.era {
            return false;
        }
        self.era = era;
        let carried = self.held.take().or(self.carried);
        self.carried = carried.filter(|held| now < held.valid_until);
        self.watch = LeaseWatch::default();
        self.seen = None;
        self.released_at = None;
        true
    }

    /// Records the row as read from the table.
    pub fn observe(&mut self, now: MonoTime, revision: RowRevision, row: Option<LeaseRow>) {
        let is_released = row.as_ref().is_some_and(|row| row.is_released);
        let is_known = self
            .seen
            .as_ref()
            .is_some_and(|(known, _)| *known == revision);
        // A new revision may be the release of another holder, so the time starts again.
        let since = self.released_at.filter(|_| is_known).unwrap_or(now);
        self.released_at = is_released.then_some(since);
        self.watch.observe(revision, now);
        let is_own = row
            .as_ref()
            .is_some_and(|row| self.is_ours(row) && self.is_current(row));
        match (&mut self.held, &row) {
            (Some(held), Some(row)) if is_own && !row.is_released => {
                held.revision = revision;
                held.beat = row.beat;
            }
            _ => self.held = None,
        }
        if let Some(row) = &row {
            self.highest_epoch = self.highest_epoch.max(row.epoch);
            if !self.is_ours(row) {
                self.foreign_epoch = self.foreign_epoch.max(row.epoch);
            }
            if self.is_current(row) {
                self.current_row = Some(row.clone());
            }
        }
        self.seen = Some((revision, row));
    }

    /// The write that is due, if any. `may_acquire` is false while another process has precedence
    /// for acquiring a free lease.
    #[must_use]
    pub fn intent(&self, now: MonoTime, may_acquire: bool) -> Option<LeaseIntent> {
        if let Some(held) = &self.held {
            return (now >= held.renew_at).then(|| self.renewal(held));
        }
        let (revision, row) = self.seen.as_ref()?;
        // A row of an earlier era says nothing of who held the lease last.
        let current = row.as_ref().filter(|row| self.is_current(row));
        let is_own = current.is_some_and(|row| self.is_ours(row));
        let is_released = current.is_some_and(|row| row.is_released);
        let has_expired = self
            .watch
            .has_expired(now, self.term_ms, self.takeover_delay_ms);
        let is_free = may_acquire && (is_released || has_expired);
        let is_predecessor = current.is_some_and(|row| self.is_predecessor(row));
        let is_carried = self.is_carried(now);
        if !is_own && !is_predecessor && !is_free && !is_carried {
            return None;
        }
        let first_of_era = self.era.0.saturating_mul(EPOCHS_PER_ERA);
        let epoch = self.highest_epoch.max(first_of_era).saturating_add(1);
        Some(LeaseIntent {
            expected: *revision,
            row: self.row(epoch, 0),
        })
    }

    /// Records that a write sent at `sent_at` has committed.
    pub fn record_commit(
        &mut self,
        sent_at: MonoTime,
        intent: &LeaseIntent,
        revision: RowRevision,
    ) {
        self.watch.observe(revision, sent_at);
        self.released_at = None;
        self.carried = None;
        self.highest_epoch = self.highest_epoch.max(intent.row.epoch);
        self.own_epoch = self.own_epoch.max(intent.row.epoch);
        self.current_row = Some(intent.row.clone());
        self.seen = Some((revision, Some(intent.row.clone())));
        self.held = (!intent.row.is_released).then(|| HeldLease {
            revision,
            epoch: intent.row.epoch,
            beat: intent.row.beat,
            valid_until: sent_at + (self.term_ms - self.term_ms / MARGIN_DIVISOR),
            renew_at: sent_at + self.term_ms / RENEW_DIVISOR,
        });
    }

    /// Records the row's revision as reported by a peer.
    pub fn observe_revision(&mut self, now: MonoTime, revision: RowRevision) {
        self.watch.observe(revision, now);
    }

    /// Stops using the lease at once and returns the write that releases it, or `None` if it
    /// is not held.
    #[must_use]
    pub fn release(&mut self) -> Option<LeaseIntent> {
        let held = self.held.take()?;
        let mut row = self.row(held.epoch, held.beat + 1);
        row.is_released = true;
        Some(LeaseIntent {
            expected: held.revision,
            row,
        })
    }

    /// Milliseconds until the next renewal is due, if the lease is held.
    #[must_use]
    pub fn renewal_in_ms(&self, now: MonoTime) -> Option<u64> {
        self.held.map(|held| held.renew_at.millis_since(now))
    }

    /// Whether the newest row seen was written by this process.
    #[must_use]
    pub fn is_last_writer(&self) -> bool {
        self.last_row().is_some_and(|row| self.is_ours(row))
    }

    /// Whose decisions come before those under a write that is about to be recorded.
    #[must_use]
    pub fn predecessor(&self, now: MonoTime, intent: &LeaseIntent) -> LeasePredecessor {
        let unknown = LeasePredecessor::Other { released_for_ms: 0 };
        if self.is_carried(now) {
            return LeasePredecessor::Itself;
        }
        match self.last_row() {
            None if intent.expected == RowRevision::ABSENT && self.highest_epoch == 0 => {
                LeasePredecessor::Nobody
            }
            None => unknown,
            Some(row) if !self.is_current(row) => unknown,
            // A write that was never confirmed may have followed the decisions of another process.
            Some(row) if self.is_ours(row) && self.own_epoch <= self.foreign_epoch => unknown,
            Some(row) if self.is_ours(row) => LeasePredecessor::Itself,
            Some(row) if self.is_predecessor(row) && row.beat == 0 => unknown,
            Some(row) if self.is_predecessor(row) => LeasePredecessor::EndedProcess,
            Some(_) => LeasePredecessor::Other {
                released_for_ms: self.released_for_ms(now).unwrap_or(0),
            },
        }
    }

    /// Whether the lease is held and valid now, so that decisions may be made under it.
    #[must_use]
    pub fn is_held(&self, now: MonoTime) -> bool {
        self.held.is_some_and(|held| now < held.valid_until)
    }

    /// Revision that a transaction under the lease must check as its fencing token; `None`
    /// unless the lease is valid now.
    #[must_use]
    pub fn held_revision(&self, now: MonoTime) -> Option<RowRevision> {
        self.held
            .filter(|held| now < held.valid_until)
            .map(|held| held.revision)
    }

    /// Epoch of the held lease; `None` if it is not held.
    #[must_use]
    pub fn epoch(&self) -> Option<u64> {
        self.held.map(|held| held.epoch)
    }

    /// The newest row that is no copy from an earlier era, whichever process wrote it.
    #[must_use]
    pub const fn current_row(&self) -> Option<&LeaseRow> {
        self.current_row.as_ref()
    }

    /// The newest row seen, whichever process wrote it.
    #[must_use]
    pub fn last_row(&self) -> Option<&LeaseRow> {
        self.seen.as_ref().and_then(|(_, row)| row.as_ref())
    }

    /// Whether a row was written in the present era of the table.
    fn is_current(&self, row: &LeaseRow) -> bool {
        row.era == self.era
    }

    fn is_carried(&self, now: MonoTime) -> bool {
        self.carried.is_some_and(|held| now < held.valid_until)
    }

    fn is_ours(&self, row: &LeaseRow) -> bool {
        row.holder == self.holder && row.start_id == self.start_id
    }

    fn is_predecessor(&self, row: &LeaseRow) -> bool {
        self.is_sole_process && row.holder == self.holder && row.address == self.address
    }

    fn renewal(&self, held: &HeldLease) -> LeaseIntent {
        LeaseIntent {
            expected: held.revision,
            row: self.row(held.epoch, held.beat + 1),
        }
    }

    fn row(&self, epoch: u64, beat: u64) -> LeaseRow {
        LeaseRow {
            holder: self.holder.clone(),
            address: self.address,
            start_id: self.start_id,
            epoch,
            beat,
            era: self.era,
            is_released: false,
        }
    }
}
