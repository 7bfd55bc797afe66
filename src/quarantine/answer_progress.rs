//! How much of an answer has arrived.

use serde::{Deserialize, Serialize};

/// Events by which answers that end by the same fault may differ, besides a factor of two: the fault need
/// not strike at the same event each time, and some events are lost with the connection.
const FAULT_SPREAD_EVENTS: u32 = 8;

/// Events up to which an answer has only just begun.
const BEGIN_EVENTS: u32 = 8;

/// How much of an answer has arrived, in events of a stream; an answer that is no stream counts as one
/// event until it is whole.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AnswerProgress(u32);

impl AnswerProgress {
    /// Nothing, or only the head.
    pub const NOTHING: Self = Self(0);

    /// The first event, or a part of an answer that is no stream.
    pub const BEGUN: Self = Self(1);

    /// All of it.
    pub const WHOLE: Self = Self(u32::MAX);

    /// A number of events.
    #[must_use]
    pub fn events(count: u64) -> Self {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        Self(count.min(u32::MAX - 1))
    }

    /// Whether an answer that came so far passed the fault that ended one at `lost_at`.
    #[must_use]
    pub const fn has_passed(self, lost_at: Self) -> bool {
        self.0 > lost_at.0 && (lost_at.0 == 0 || self.is_clearly_past(lost_at))
    }

    /// Whether an answer that came so far cannot have the fault of one that came to `other`.
    #[must_use]
    pub const fn is_clearly_past(self, other: Self) -> bool {
        let reach = other
            .0
            .saturating_mul(2)
            .saturating_add(FAULT_SPREAD_EVENTS);
        self.0 > reach || (self.0 == u32::MAX && other.0 < u32::MAX)
    }

    /// Whether the answer has only just begun, if at all.
    #[must_use]
    pub const fn is_early(self) -> bool {
        self.0 <= BEGIN_EVENTS
    }
}
