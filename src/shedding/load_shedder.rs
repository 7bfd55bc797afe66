//! Decides whether a request is sent, waits or is refused while upstreams are full.

use super::RequestWork;
use super::served_share::ServedShare;
use super::size_quantile::SizeQuantile;
use crate::prelude::*;

/// Lowest price; nothing is delayed below it. A few requests that upstreams turn away and others
/// accept don't reach a price that delays anything.
const MIN_PRICE: f64 = 0.01;

/// Factor on the price for each request that an upstream turned away as full.
const PRICE_STEP: f64 = 1.3;

/// Highest price; no request of the most urgent rank with the mean work has a higher value.
const MAX_PRICE: f64 = 4.0;

/// Milliseconds in which the price falls to half.
const HALF_PRICE_MS: f64 = 1_000.0;

/// Longest `Retry-After` in milliseconds.
const MAX_RETRY_MS: u64 = 5_000;

/// Longest wait in milliseconds before the request is decided on again.
const MAX_DELAY_MS: u64 = 100;

/// Share of a rank's requests that is sent at least, as a fraction of the share of all requests.
const RANK_FLOOR: f64 = 0.25;

/// The same for the largest tenth of requests.
const LARGE_FLOOR: f64 = 0.5;

/// Ranks that are told apart; those beyond count as the last one.
const RANKS: usize = 4;

/// Whether a request is sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShedVerdict {
    /// It is sent.
    Send,
    /// It waits this many milliseconds and is decided on again.
    Delay(u64),
    /// It is refused, because it could not be sent in time.
    Refuse {
        /// Milliseconds after which a new request may be sent.
        retry_ms: u64,
    },
}

/// Weighs requests against a price that rises with each request that an upstream turns away as full
/// and falls with time. A request whose value for each unit of work is below the price gives way.
#[derive(Debug, Default)]
pub struct LoadShedder {
    /// Price at `priced_at`; 0 while upstreams are not full.
    price: f64,
    priced_at: MonoTime,
    /// When the price last rose from 0.
    short_since: MonoTime,
    sizes: SizeQuantile,
    all: ServedShare,
    large: ServedShare,
    ranks: [ServedShare; RANKS],
}

impl LoadShedder {
    /// Whether upstreams turned requests away lately. While this is false, every request is sent.
    #[must_use]
    pub fn is_active(&self, now: MonoTime) -> bool {
        self.price(now) > 0.0
    }

    /// Price of a unit of work; 0 while upstreams are not full.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn price(&self, now: MonoTime) -> f64 {
        let age_ms = now.millis_since(self.priced_at) as f64;
        let price = self.price * (-age_ms / HALF_PRICE_MS).exp2();
        if price < MIN_PRICE { 0.0 } else { price }
    }

    /// Counts a request when it is decided on for the first time.
    pub fn record_arrived(&mut self, now: MonoTime, work: RequestWork) {
        self.sizes.record(work.tokens);
        for share in self.shares(work) {
            share.record_arrived(now);
        }
    }

    /// Counts a request that is sent.
    pub fn record_sent(&mut self, now: MonoTime, work: RequestWork) {
        for share in self.shares(work) {
            share.record_sent(now, 1.0);
        }
    }

    /// Records that an upstream turned a request away as full that was counted as sent.
    pub fn record_full(&mut self, now: MonoTime, work: RequestWork) {
        let price = self.price(now);
        if price <= 0.0 {
            self.short_since = now;
        }
        self.price = (price.max(MIN_PRICE) * PRICE_STEP).min(MAX_PRICE);
        self.priced_at = now;
        for share in self.shares(work) {
            share.record_sent(now, -1.0);
        }
    }

    /// Decides about a request.
    #[must_use]
    pub fn verdict(&self, now: MonoTime, work: RequestWork) -> ShedVerdict {
        let price = self.price(now);
        let value = work.value(self.sizes.mean());
        if price <= value || self.is_below_floor(work) {
            return ShedVerdict::Send;
        }
        let wait_ms = wait_ms(price, value);
        if wait_ms > work.left_ms {
            return ShedVerdict::Refuse {
                retry_ms: self.retry_ms(now, wait_ms),
            };
        }
        ShedVerdict::Delay(wait_ms.clamp(1, MAX_DELAY_MS))
    }

    /// Whether the kinds that the request belongs to have been served less than their floors.
    fn is_below_floor(&self, work: RequestWork) -> bool {
        let Some(all) = self.all.share() else {
            return false;
        };
        let is_below = |share: &ServedShare, floor: f64| {
            share.share().is_some_and(|share| share < all * floor)
        };
        is_below(&self.ranks[rank_index(work.rank)], RANK_FLOOR)
            || (self.sizes.is_large(work.tokens) && is_below(&self.large, LARGE_FLOOR))
    }

    /// How long the price takes to fall if no upstream is full any more, and at least as long again
    /// as upstreams have been full.
    fn retry_ms(&self, now: MonoTime, wait_ms: u64) -> u64 {
        let short_ms = now.millis_since(self.short_since);
        wait_ms.max(short_ms).min(MAX_RETRY_MS)
    }

    /// The kinds that a request counts for.
    fn shares(&mut self, work: RequestWork) -> impl Iterator<Item = &mut ServedShare> {
        let is_large = self.sizes.is_large(work.tokens);
        let large = is_large.then_some(&mut self.large);
        let rank = &mut self.ranks[rank_index(work.rank)];
        [&mut self.all, rank].into_iter().chain(large)
    }
}

fn rank_index(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}

/// Milliseconds until the price has fallen to a value.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn wait_ms(price: f64, value: f64) -> u64 {
    let half_lives = (price / value.max(f64::MIN_POSITIVE)).log2();
    (half_lives * HALF_PRICE_MS).ceil().max(0.0) as u64
}
