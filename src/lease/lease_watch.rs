//! Judges from outside whether a lease still runs.

use crate::table::RowRevision;
use crate::time::MonoTime;

/// Watches one lease row; it has run out once the row stood unchanged for a whole term.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeaseWatch {
    seen: Option<(RowRevision, MonoTime)>,
}

impl LeaseWatch {
    /// Takes the row's revision as read now.
    pub fn observe(&mut self, revision: RowRevision, now: MonoTime) {
        if self.seen.is_none_or(|(known, _)| known != revision) {
            self.seen = Some((revision, now));
        }
    }

    /// Whether the lease has run out. An absent row has.
    #[must_use]
    pub fn has_expired(&self, now: MonoTime, term_ms: u64) -> bool {
        self.seen.is_some_and(|(revision, since)| {
            revision == RowRevision::ABSENT || now.millis_since(since) > term_ms
        })
    }
}
