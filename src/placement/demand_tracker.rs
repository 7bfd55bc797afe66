//! Smoothed arrival and refusal rates.

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::rpc::DemandRates;

/// Milliseconds of one counting window.
const WINDOW_MS: u64 = 1_000;

/// The newest window has the weight of one over this in the moving average.
const SMOOTHING: u64 = 8;

/// Rates below this many thousandths per second are dropped.
const MIN_RATE_MILLI: u64 = 1;

#[derive(Debug, Clone, Copy, Default)]
struct DemandCount {
    arrivals: u64,
    refusals: u64,
    arrivals_micro: u64,
    refusals_micro: u64,
}

/// Counts arrivals and refusals by replica. Bounded by the number of replicas in the
/// settings, since only known models are counted.
#[derive(Debug, Default)]
pub struct DemandTracker {
    counts: BTreeMap<ReplicaName, DemandCount>,
    window_at: MonoTime,
}

impl DemandTracker {
    /// Creates a tracker without history.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Counts an arrival.
    pub fn count_arrival(&mut self, replica: &ReplicaName) {
        self.count_of(replica).arrivals += 1;
    }

    /// Counts a refusal for lack of capacity.
    pub fn count_refusal(&mut self, replica: &ReplicaName) {
        self.count_of(replica).refusals += 1;
    }

    /// Closes all windows that have ended by `now`.
    pub fn advance(&mut self, now: MonoTime) {
        while now.millis_since(self.window_at) >= WINDOW_MS {
            self.window_at = self.window_at + WINDOW_MS;
            if self.counts.is_empty() {
                self.window_at = now;
                return;
            }
            self.close_window();
        }
    }

    /// Current rates in thousandths per second.
    #[must_use]
    pub fn report(&self) -> Vec<DemandRates> {
        let counts = self.counts.iter();
        counts
            .map(|(replica, count)| DemandRates {
                replica: replica.clone(),
                arrivals_milli: count.arrivals_micro / 1_000,
                refusals_milli: count.refusals_micro / 1_000,
            })
            .collect()
    }

    fn close_window(&mut self) {
        for count in self.counts.values_mut() {
            count.arrivals_micro = smooth(count.arrivals_micro, count.arrivals);
            count.refusals_micro = smooth(count.refusals_micro, count.refusals);
            count.arrivals = 0;
            count.refusals = 0;
        }
        self.counts
            .retain(|_, c| c.arrivals_micro / 1_000 >= MIN_RATE_MILLI || c.refusals_micro > 0);
    }

    fn count_of(&mut self, replica: &ReplicaName) -> &mut DemandCount {
        self.counts.entry(replica.clone()).or_default()
    }
}

const fn smooth(rate_micro: u64, count: u64) -> u64 {
    (rate_micro * (SMOOTHING - 1) + count * 1_000_000) / SMOOTHING
}
