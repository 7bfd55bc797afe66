//! Allowance that a gateway gives itself while no planner answers.

use super::{PACE_END_MS, seconds_between};
use crate::prelude::*;

/// Seconds whose allowance is saved while no request needs it.
const SAVED_S: f64 = 1.0;

/// What a gateway may use of an account without a planner.
#[derive(Debug, Clone, Copy)]
pub(super) struct PaceShare {
    /// When the last report that a planner answered was sent.
    pub answered_at: MonoTime,
    /// Units per second that it may use for ever.
    pub least_per_s: f64,
    /// Units that it may use at once.
    pub saved: f64,
}

/// Allowance without a planner. Whole requests are admitted; the first one after a random part of its
/// interval, so that the gateways together keep to the sum of their rates.
#[derive(Debug)]
pub(super) struct AllowancePace {
    share: PaceShare,
    /// Units per second that the planner named last, used for some seconds besides the least rate.
    told_per_s: f64,
    saved: f64,
    updated_at: MonoTime,
}

impl AllowancePace {
    /// Begins with a request of the given cost.
    pub fn open(now: MonoTime, share: PaceShare, told_per_s: f64, cost: u32) -> Self {
        Self {
            share,
            told_per_s,
            saved: share.saved + fastrand::f64() * f64::from(cost),
            updated_at: now,
        }
    }

    /// Units per second now.
    pub fn per_s(&self, now: MonoTime) -> f64 {
        if now.millis_since(self.share.answered_at) < PACE_END_MS {
            self.share.least_per_s + self.told_per_s
        } else {
            self.share.least_per_s
        }
    }

    /// Keeps a part of the rates.
    pub fn scale(&mut self, part: f64) {
        self.told_per_s *= part;
        self.share.least_per_s *= part;
        self.saved *= part;
    }

    /// Adds what the rate gives; `cost` is that of the first request that waits.
    pub fn update(&mut self, now: MonoTime, cost: u32) {
        let gained = self.per_s(now) * seconds_between(self.updated_at, now);
        self.updated_at = now;
        let most = (self.per_s(now) * SAVED_S).max(f64::from(cost));
        self.saved = (self.saved + gained).min(most.max(self.saved));
    }

    /// Units that are missing for a cost.
    pub fn lacking(&self, cost: f64) -> f64 {
        (cost - self.saved).max(0.0)
    }

    /// Takes the cost of a request.
    pub fn take(&mut self, cost: u32) -> bool {
        let is_taken = self.lacking(f64::from(cost)) <= 0.0;
        if is_taken {
            self.saved -= f64::from(cost);
        }
        is_taken
    }

    /// Adds units that were not used.
    pub fn give_back(&mut self, units: u32) {
        self.saved += f64::from(units);
    }
}
