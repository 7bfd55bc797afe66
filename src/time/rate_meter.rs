//! Moving average of an event rate.

use super::MonoTime;

/// Exponential average of the rate of events.
#[derive(Debug, Clone, Copy)]
pub struct RateMeter {
    /// Time constant of the average in milliseconds.
    window_ms: f64,
    /// Events per second at `at`.
    per_s: f64,
    at: MonoTime,
}

impl RateMeter {
    /// Creates a meter at zero with a time constant in milliseconds.
    #[must_use]
    pub const fn open(window_ms: f64) -> Self {
        Self {
            window_ms,
            per_s: 0.0,
            at: MonoTime::from_millis(0),
        }
    }

    /// Counts events.
    pub fn record(&mut self, now: MonoTime, count: u32) {
        self.per_s = self.per_s(now) + f64::from(count) * 1_000.0 / self.window_ms;
        self.at = now;
    }

    /// Events per second.
    #[must_use]
    pub fn per_s(&self, now: MonoTime) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let age_ms = now.millis_since(self.at) as f64;
        self.per_s * (-age_ms / self.window_ms).exp()
    }
}
