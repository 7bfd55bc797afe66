//! How far an account may exceed its limit.

use crate::account::AccountLimit;

/// Seconds between the grant that a request spends and its arrival at an upstream, beyond the lease:
/// the longest time for a connection, and the way there.
const SEND_DELAY_S: f64 = 0.4;

/// What may arrive at upstreams in any window: the limit's rate over the window and its burst, enlarged
/// by the overage, and the slack.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountBounds {
    /// Length of the window in seconds.
    pub window_s: f64,
    /// Part by which rate and burst may be exceeded.
    pub overage: f64,
    /// Units that may be used beyond that.
    pub slack: f64,
}

impl AccountBounds {
    /// Units that may be used in one window.
    #[must_use]
    pub fn window_units(&self, limit: &AccountLimit) -> f64 {
        (limit.per_s * self.window_s + limit.burst) * (1.0 + self.overage) + self.slack
    }

    /// Units that are saved while an account uses less than its rate. The other half of the slack
    /// covers what is in hand of the gateways as a window begins.
    #[must_use]
    pub fn depth(&self, limit: &AccountLimit) -> f64 {
        (limit.burst + self.slack / 2.0).max(1.0)
    }

    /// Whether a request costs so much that it cannot be granted: it would exceed the bound, and the
    /// account would pay for it for long. Callers may state any cost.
    #[must_use]
    pub fn is_too_large(&self, limit: &AccountLimit, cost: u32) -> bool {
        f64::from(cost) > self.exposure(limit).max(limit.per_s)
    }

    /// Units that may be saved and in hand of the gateways together: with the rate over one window
    /// they are all that can arrive in it.
    #[must_use]
    pub fn exposure(&self, limit: &AccountLimit) -> f64 {
        let spare = self.window_units(limit) - limit.per_s * (self.window_s + SEND_DELAY_S);
        spare.max(self.depth(limit) / 2.0).max(1.0)
    }
}
