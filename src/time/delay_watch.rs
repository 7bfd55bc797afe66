//! Detects that the process itself got too little processor time.

use std::cell::Cell;

use super::MonoTime;

/// Milliseconds by which a regular tick may be late before the process counts as delayed.
const MAX_LATENESS_MS: u64 = 200;

/// Measures how late regular ticks of the process's own timer are.
#[derive(Debug)]
pub struct DelayWatch {
    /// Milliseconds between two ticks.
    interval_ms: u64,
    last_tick: Cell<MonoTime>,
    /// End of the latest delay; `None` if there was none.
    delayed_until: Cell<Option<MonoTime>>,
    /// Milliseconds by which all ticks so far were late, together.
    total_ms: Cell<u64>,
}

impl DelayWatch {
    /// Creates a watch whose first tick is due `interval_ms` after `now`.
    #[must_use]
    pub const fn open(now: MonoTime, interval_ms: u64) -> Self {
        Self {
            interval_ms,
            last_tick: Cell::new(now),
            delayed_until: Cell::new(None),
            total_ms: Cell::new(0),
        }
    }

    /// Records a tick.
    pub fn tick(&self, now: MonoTime) {
        if self.is_late(now) {
            self.delayed_until.set(Some(now));
        }
        self.total_ms.set(self.total_ms(now));
        self.last_tick.set(now);
    }

    /// Milliseconds by which all ticks until `now` were late, together. The difference between two
    /// times tells how long the process got no processor time in between.
    #[must_use]
    pub const fn total_ms(&self, now: MonoTime) -> u64 {
        self.total_ms.get() + self.lateness_ms(now)
    }

    /// Whether the process was delayed at some time from `since` until `now`.
    #[must_use]
    pub fn was_delayed(&self, since: MonoTime, now: MonoTime) -> bool {
        let until = self.delayed_until.get();
        self.is_late(now) || until.is_some_and(|until| until >= since)
    }

    /// Milliseconds by which the next tick is late; 0 while it is not due.
    #[must_use]
    pub const fn lateness_ms(&self, now: MonoTime) -> u64 {
        now.millis_since(self.last_tick.get())
            .saturating_sub(self.interval_ms)
    }

    const fn is_late(&self, now: MonoTime) -> bool {
        self.lateness_ms(now) > MAX_LATENESS_MS
    }
}
