//! Random choice among candidates, decided by hashes of the request and the upstream.

use crate::upstream_speed::DurationFactor;

/// Largest difference from the lowest cost of a candidate that may be drawn: a full upstream, as much
/// as loads that are some hundred milliseconds old may be wrong. With half of that, 68 gateways with
/// loads that are 300 ms old sent three of five requests to one of nine engines.
const CLOSE_COST: f64 = 1.0;

/// Largest difference in the cost of distance: a draw crosses zones, but no regions.
const CLOSE_DISTANCE: f64 = 0.05;

/// Steps of the fraction that breaks ties.
const FRACTION_STEPS: u64 = 1_024;

/// Hash (FNV-1a) of the id of a request, to which the id of an upstream is added.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestHash(u64);

impl RequestHash {
    /// Hashes the id of a request.
    pub(super) fn of(request: &str) -> Self {
        Self(hash_bytes(0xcbf2_9ce4_8422_2325, request))
    }

    /// Adds the id of an upstream.
    pub(super) fn with(self, upstream: &str) -> u64 {
        hash_bytes(self.0, upstream)
    }

    /// Fraction of 1 that a hash stands for.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn fraction(hash: u64) -> f64 {
        (hash % FRACTION_STEPS) as f64 / FRACTION_STEPS as f64
    }
}

fn hash_bytes(hash: u64, text: &str) -> u64 {
    text.bytes().fold(hash, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Draws two candidates, each with a probability that its speed is in proportion to, and keeps the
/// one of lower cost.
#[derive(Debug)]
pub(super) struct ChoiceDraw<T> {
    max_cost: f64,
    max_distance: f64,
    /// The two candidates with the earliest arrival of a race: its arrival, cost and name.
    first: Option<(f64, f64, T)>,
    second: Option<(f64, f64, T)>,
}

impl<T: Copy> ChoiceDraw<T> {
    /// Begins a draw among the candidates close to the best one.
    pub(super) const fn open(lowest_cost: f64, distance: f64) -> Self {
        Self {
            max_cost: lowest_cost + CLOSE_COST,
            max_distance: distance + CLOSE_DISTANCE,
            first: None,
            second: None,
        }
    }

    /// Adds a candidate if it is close. Its arrival has an exponential distribution with its speed as
    /// the rate, so that the first one is drawn in proportion to speed.
    pub(super) fn add(
        &mut self,
        cost: f64,
        distance: f64,
        duration: DurationFactor,
        hash: u64,
        name: T,
    ) {
        if cost > self.max_cost || distance > self.max_distance {
            return;
        }
        let arrival = -unit_fraction(hash).ln() * duration.value();
        let is_before =
            |known: &Option<(f64, f64, T)>| known.as_ref().is_none_or(|known| arrival < known.0);
        if is_before(&self.first) {
            self.second = self.first.replace((arrival, cost, name));
        } else if is_before(&self.second) {
            self.second = Some((arrival, cost, name));
        }
    }

    /// The drawn candidate of lower cost; `None` if none is close.
    pub(super) fn chosen(&self) -> Option<T> {
        let (_, first_cost, first) = self.first?;
        match self.second {
            Some((_, cost, second)) if cost < first_cost => Some(second),
            _ => Some(first),
        }
    }
}

/// A number above 0 and at most 1 with the randomness of a hash. The hash is mixed first: those of
/// similar ids differ in few bits.
#[allow(clippy::cast_precision_loss)]
fn unit_fraction(hash: u64) -> f64 {
    let mixed = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    let bits = (mixed ^ (mixed >> 31)) >> 11;
    (bits as f64 + 1.0) / (1_u64 << 53) as f64
}
