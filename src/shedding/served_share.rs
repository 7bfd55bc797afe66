//! Shares of requests that were sent, over the last seconds.

use crate::prelude::*;

/// Milliseconds after which a request counts half.
const HALF_LIFE_MS: f64 = 10_000.0;

/// Requests from which on a share means anything.
const MIN_ARRIVED: f64 = 4.0;

/// Requests of one kind that arrived and that were sent, older ones with less weight.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServedShare {
    arrived: f64,
    sent: f64,
    at: MonoTime,
}

impl ServedShare {
    /// Counts a request that arrived.
    pub fn record_arrived(&mut self, now: MonoTime) {
        self.fade(now);
        self.arrived += 1.0;
    }

    /// Counts a request that was sent; with -1, one that came back because the upstream was full.
    pub fn record_sent(&mut self, now: MonoTime, change: f64) {
        self.fade(now);
        self.sent = (self.sent + change).max(0.0);
    }

    /// Share of the requests that were sent; `None` with too few requests.
    pub fn share(&self) -> Option<f64> {
        (self.arrived >= MIN_ARRIVED).then(|| (self.sent / self.arrived).min(1.0))
    }

    #[allow(clippy::cast_precision_loss)]
    fn fade(&mut self, now: MonoTime) {
        let factor = (-(now.millis_since(self.at) as f64) / HALF_LIFE_MS).exp2();
        self.arrived *= factor;
        self.sent *= factor;
        self.at = now;
    }
}
