//! How long requests with large bodies hold their memory, so that a refused caller can be told when to
//! come back.

use std::cell::Cell;
use std::rc::Rc;

use crate::prelude::*;
use crate::time::MonoClock;

/// Forecast in milliseconds before any large request has ended.
const FIRST_FORECAST_MS: u64 = 1_000;

/// Shortest forecast in milliseconds.
const MIN_FORECAST_MS: u64 = 200;

/// Weight of an ended request in the mean, as a divisor.
const MEAN_DIVISOR: u64 = 8;

/// Counts large requests and measures how long each holds its memory.
#[derive(Debug, Default)]
pub struct LargeCalls {
    in_flight: Cell<u64>,
    /// Moving average; `None` before the first request has ended.
    mean_ms: Cell<Option<u64>>,
}

impl LargeCalls {
    /// Creates the counts of a process without requests.
    #[must_use]
    pub fn open() -> Rc<Self> {
        Rc::default()
    }

    /// Counts a request that has held memory since `began_at`, until the guard is dropped.
    #[must_use]
    pub fn begin(self: &Rc<Self>, clock: MonoClock, began_at: MonoTime) -> LargeCallGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        LargeCallGuard {
            calls: Rc::clone(self),
            began_at,
            clock,
        }
    }

    /// Milliseconds until one of the requests in flight has probably ended.
    #[must_use]
    pub fn forecast_ms(&self) -> u64 {
        let Some(mean_ms) = self.mean_ms.get() else {
            return FIRST_FORECAST_MS;
        };
        (mean_ms / self.in_flight.get().max(1)).max(MIN_FORECAST_MS)
    }

    fn record_end(&self, held_ms: u64) {
        self.in_flight.set(self.in_flight.get() - 1);
        let mean_ms = self.mean_ms.get().map_or(held_ms, |mean_ms| {
            mean_ms - mean_ms / MEAN_DIVISOR + held_ms / MEAN_DIVISOR
        });
        self.mean_ms.set(Some(mean_ms));
    }
}

/// A large request in flight.
#[derive(Debug)]
pub struct LargeCallGuard {
    calls: Rc<LargeCalls>,
    began_at: MonoTime,
    clock: MonoClock,
}

impl Drop for LargeCallGuard {
    fn drop(&mut self) {
        let held_ms = self.clock.now().millis_since(self.began_at);
        self.calls.record_end(held_ms);
    }
}
