//! An agent's share of the weight store's rate limit while no permit issuer is reachable.

use crate::time::MonoTime;

/// Rate limiter that allows one load at a time, at the fleet's rate divided by the number of
/// agents.
#[derive(Debug, Clone, Copy, Default)]
pub struct FallbackShare {
    next_at: MonoTime,
    is_busy: bool,
}

impl FallbackShare {
    /// Starts a load if none is running and the rate allows it; returns whether it did.
    pub fn try_acquire(&mut self, now: MonoTime, loads_per_ks: u64, agents: u64) -> bool {
        if self.is_busy || now < self.next_at {
            return false;
        }
        let interval_ms = agents.max(1).saturating_mul(1_000_000) / loads_per_ks.max(1);
        self.next_at = now + interval_ms;
        self.is_busy = true;
        true
    }

    /// Marks the load as finished.
    pub const fn release(&mut self) {
        self.is_busy = false;
    }
}
