//! The token bucket of one account.

use std::collections::VecDeque;

use super::{AccountBounds, LEASE_MS, seconds_between};
use crate::account::AccountLimit;
use crate::prelude::*;

/// Milliseconds of grants that are counted as one.
const GRANT_SLOT_MS: u64 = 100;

/// Token bucket that also counts what was granted and may not be spent yet.
#[derive(Debug)]
pub(super) struct AccountBucket {
    bounds: AccountBounds,
    limit: AccountLimit,
    /// Units to grant; negative after a request that costs more than the depth.
    tokens: f64,
    refilled_at: MonoTime,
    /// Units granted, by the end of the slot in which they were; earliest first.
    granted: VecDeque<(MonoTime, f64)>,
    /// Sum of `granted`.
    in_hand: f64,
    /// Units per second that gateways may be using without a planner.
    reserved_per_s: f64,
}

impl AccountBucket {
    /// Creates a bucket with a number of units, as far as they fit.
    pub fn open(now: MonoTime, bounds: AccountBounds, limit: AccountLimit, tokens: f64) -> Self {
        Self {
            bounds,
            limit,
            tokens: tokens.min(bounds.depth(&limit)),
            refilled_at: now,
            granted: VecDeque::new(),
            in_hand: 0.0,
            reserved_per_s: 0.0,
        }
    }

    pub const fn limit(&self) -> &AccountLimit {
        &self.limit
    }

    /// Units that it holds at most.
    pub fn depth(&self) -> f64 {
        self.bounds.depth(&self.limit)
    }

    /// Whether a request costs too much to be ever granted.
    pub fn is_too_large(&self, cost: u32) -> bool {
        self.bounds.is_too_large(&self.limit, cost)
    }

    /// Applies another limit; what exceeds its depth is dropped.
    pub fn set_limit(&mut self, limit: AccountLimit) {
        self.limit = limit;
        self.tokens = self.tokens.min(self.bounds.depth(&limit));
    }

    /// Units per second that reach the bucket.
    pub fn rate_per_s(&self) -> f64 {
        (self.limit.per_s - self.reserved_per_s).max(0.0)
    }

    /// Leaves units per second to gateways that do not report.
    pub const fn reserve(&mut self, per_s: f64) {
        self.reserved_per_s = per_s;
    }

    /// Adds what the rate gives. `assigned` units are set apart and not yet sent.
    pub fn refill(&mut self, now: MonoTime, assigned: u32) {
        self.drop_expired(now);
        let gained = self.rate_per_s() * seconds_between(self.refilled_at, now);
        self.refilled_at = now;
        self.add(gained, assigned);
    }

    /// Adds units that come back, as far as they fit.
    pub fn add(&mut self, units: f64, assigned: u32) {
        let in_use = self.in_hand + f64::from(assigned);
        let room = self.bounds.exposure(&self.limit) - in_use;
        let most = self.bounds.depth(&self.limit).min(room);
        self.tokens = (self.tokens + units).min(most.max(self.tokens));
    }

    /// Takes the cost of a request. One that costs more than the bucket holds needs a full bucket.
    pub fn take(&mut self, cost: u32) -> bool {
        if self.lacking(f64::from(cost)) > 0.0 {
            return false;
        }
        self.tokens -= f64::from(cost);
        true
    }

    /// Takes units that a gateway holds from an earlier planner.
    pub fn charge(&mut self, units: u32) {
        let depth = self.bounds.depth(&self.limit);
        self.tokens = (self.tokens - f64::from(units)).max(-depth);
    }

    /// Takes up to `units` for requests that are only expected. A quarter of the depth is kept for
    /// those that wait.
    pub fn take_spare(&mut self, units: u32) -> u32 {
        let kept = self.bounds.depth(&self.limit) / 4.0;
        let spare = super::whole_units((self.tokens - kept).max(0.0));
        let taken = units.min(spare);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Units that are missing until a request of this cost can be granted.
    pub fn lacking(&self, cost: f64) -> f64 {
        // With a large part of the depth in hand of gateways the bucket does not become full.
        let full = self.bounds.depth(&self.limit);
        let most = full.min(self.bounds.exposure(&self.limit) - self.in_hand);
        (cost.min(most.max(full / 2.0)) - self.tokens).max(0.0)
    }

    /// Units that are missing until a whole queue of requests can be granted, one after another.
    pub fn lacking_for_queue(&self, units: f64) -> f64 {
        (units - self.tokens).max(0.0)
    }

    /// Counts units that are sent to a gateway now.
    pub fn record_granted(&mut self, now: MonoTime, units: u32) {
        self.in_hand += f64::from(units);
        let ends_at =
            MonoTime::from_millis(now.as_millis() / GRANT_SLOT_MS * GRANT_SLOT_MS) + GRANT_SLOT_MS;
        match self.granted.back_mut() {
            Some((at, sum)) if *at == ends_at => *sum += f64::from(units),
            _ => self.granted.push_back((ends_at, f64::from(units))),
        }
    }

    /// Whether the bucket is as full as a new one could be.
    pub fn is_full(&self) -> bool {
        self.granted.is_empty() && self.tokens >= self.bounds.depth(&self.limit)
    }

    fn drop_expired(&mut self, now: MonoTime) {
        while let Some((at, units)) = self.granted.front().copied() {
            if now < at + LEASE_MS {
                return;
            }
            self.granted.pop_front();
            self.in_hand -= units;
        }
        self.in_hand = 0.0;
    }
}
