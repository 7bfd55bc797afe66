//! Source of monotonic time for the daemons.

use std::time::{Duration, Instant};

use super::MonoTime;

/// Reads the monotonic clock relative to the moment it was opened.
#[derive(Debug, Clone, Copy)]
pub struct MonoClock {
    zero: Instant,
}

impl MonoClock {
    /// Opens a clock whose zero is now.
    #[must_use]
    pub fn open() -> Self {
        Self {
            zero: Instant::now(),
        }
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        let millis = u64::try_from(self.zero.elapsed().as_millis()).unwrap_or(u64::MAX);
        MonoTime::from_millis(millis)
    }

    /// The instant of a point in time.
    #[must_use]
    pub fn instant(&self, time: MonoTime) -> Instant {
        self.zero + Duration::from_millis(time.as_millis())
    }
}
