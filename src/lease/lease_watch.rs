//! Detects the expiry of a lease from the revisions of its row.

use crate::table::RowRevision;
use crate::time::MonoTime;

/// Observes one lease row; the lease has expired once its revision is unchanged for more than
/// a term.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeaseWatch {
    seen: Option<(RowRevision, MonoTime)>,
}

impl LeaseWatch {
    /// Records the row's current revision.
    pub fn observe(&mut self, revision: RowRevision, now: MonoTime) {
        if self.seen.is_none_or(|(known, _)| known != revision) {
            self.seen = Some((revision, now));
        }
    }

    /// Whether the lease has been expired for `delay_ms`. An absent row counts as expired since it
    /// was first read, an unread one does not.
    #[must_use]
    pub fn has_expired(&self, now: MonoTime, term_ms: u64, delay_ms: u64) -> bool {
        self.seen.is_some_and(|(revision, since)| {
            let seen_ms = now.millis_since(since);
            if revision == RowRevision::ABSENT {
                seen_ms >= delay_ms
            } else {
                seen_ms > term_ms + delay_ms
            }
        })
    }
}
