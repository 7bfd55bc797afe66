//! A point on a process's monotonic clock.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// Milliseconds on the monotonic clock of one process; never compared across processes.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct MonoTime(u64);

impl MonoTime {
    /// The point that is the given number of milliseconds after the clock's zero.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the clock's zero.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Milliseconds from `earlier` to this point, zero if `earlier` is later.
    #[must_use]
    pub const fn millis_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for MonoTime {
    type Output = Self;

    fn add(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }
}

impl Sub<u64> for MonoTime {
    type Output = Self;

    fn sub(self, millis: u64) -> Self {
        Self(self.0.saturating_sub(millis))
    }
}
