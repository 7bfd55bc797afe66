//! Adaptive limit on concurrent requests of one upstream.

use crate::time::MonoTime;

/// Least milliseconds between two decreases of the limit.
const DECREASE_INTERVAL_MS: u64 = 500;

/// Numerator and denominator of the factor of one decrease.
const DECREASE_RATIO: (u32, u32) = (9, 10);

/// A new sample has the weight of one over this in the moving average.
const SMOOTHING: u64 = 8;

/// Raises the limit by one per full round of requests while each unit of work, such as a
/// token, stays within its target time, and lowers it by a tenth when it does not.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimiter {
    limit: u32,
    /// Highest limit; follows the upstream's reported batch size.
    ceiling: u32,
    target_unit_us: u64,
    mean_unit_us: u64,
    successes: u32,
    decreased_at: Option<MonoTime>,
}

impl ConcurrencyLimiter {
    /// Creates a limiter that starts at the ceiling; the target is microseconds per unit of work.
    #[must_use]
    pub fn open(ceiling: u32, target_unit_us: u64) -> Self {
        let ceiling = ceiling.max(1);
        Self {
            limit: ceiling,
            ceiling,
            target_unit_us,
            mean_unit_us: 0,
            successes: 0,
            decreased_at: None,
        }
    }

    /// Requests that may run at once; between one and the ceiling.
    #[must_use]
    pub const fn limit(&self) -> u32 {
        self.limit
    }

    /// Sets the ceiling to the upstream's reported batch size, at least one.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        let ceiling = ceiling.max(1);
        if self.limit == self.ceiling || self.limit > ceiling {
            self.limit = ceiling;
        }
        self.ceiling = ceiling;
    }

    /// Adds the microseconds per unit of a finished request; `running` is the number of requests
    /// still running.
    pub fn sample(&mut self, now: MonoTime, unit_us: u64, running: u32) {
        self.mean_unit_us = if self.mean_unit_us == 0 {
            unit_us
        } else {
            (self.mean_unit_us * (SMOOTHING - 1) + unit_us) / SMOOTHING
        };
        if self.mean_unit_us > self.target_unit_us {
            self.decrease(now);
        } else if running + 1 >= self.limit {
            self.increase();
        }
    }

    fn increase(&mut self) {
        self.successes += 1;
        if self.successes >= self.limit {
            self.successes = 0;
            self.limit = (self.limit + 1).min(self.ceiling);
        }
    }

    fn decrease(&mut self, now: MonoTime) {
        let is_recent = self
            .decreased_at
            .is_some_and(|at| now.millis_since(at) < DECREASE_INTERVAL_MS);
        if is_recent {
            return;
        }
        self.decreased_at = Some(now);
        self.successes = 0;
        self.limit = (self.limit * DECREASE_RATIO.0 / DECREASE_RATIO.1).max(1);
    }
}
