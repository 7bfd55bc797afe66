//! The value of loading a model where room is short.

use super::demand_aggregator::WaitingTotal;
use crate::prelude::*;

/// Seconds of expected requests that count toward a load: twice the window of the measured rates,
/// which say little about a longer time.
const HORIZON_S: f64 = 10.0;

/// Requests per second from which on a model counts as requested: one request in the last eleven
/// seconds.
pub(super) const REQUESTED_PER_S: f64 = 0.02;

/// Requests per second from which on a load is begun for expected requests alone. A single request
/// gives 0.2 and may be the last one; a second one within about ten seconds, such as that of a caller
/// who comes back, gives more.
const EXPECTED_PER_S: f64 = 0.205;

/// Weight that a rank loses against the next more urgent one.
const RANK_STEP: f64 = 0.25;

/// Lowest weight of a rank, so that its requests get at least a quarter of the service of others.
const MIN_WEIGHT: f64 = 0.25;

/// What a load from the store or a local copy gains.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct LoadValue {
    /// Weighted requests that gain: waiting ones that are still in time, and expected ones.
    pub gain: f64,
    /// Milliseconds that the load takes.
    pub load_ms: u64,
}

impl LoadValue {
    /// Value of a load that ends after `load_ms`. `None` if no request gains enough from it: all
    /// waiting ones end before it does, and few are expected.
    pub fn of(now: MonoTime, total: &WaitingTotal, rate_per_s: f64, load_ms: u64) -> Option<Self> {
        let is_in_time = total.gains_at(now + load_ms);
        if !is_in_time && rate_per_s < EXPECTED_PER_S {
            return None;
        }
        let waiting = if is_in_time {
            f64::from(total.count)
        } else {
            0.0
        };
        let gain = rank_weight(total.rank) * (waiting + rate_per_s * HORIZON_S);
        Some(Self { gain, load_ms })
    }

    /// Thousandths of the gain for each second that the load takes.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    pub fn thousandths(self) -> u64 {
        (self.gain * 1e6 / self.load_ms.max(1) as f64) as u64
    }

    /// The gain as a request rate, comparable with the rate of a model that is evicted for it.
    pub fn rate_per_s(self) -> f64 {
        self.gain / HORIZON_S
    }
}

fn rank_weight(rank: u8) -> f64 {
    (1.0 - RANK_STEP * f64::from(rank)).max(MIN_WEIGHT)
}
