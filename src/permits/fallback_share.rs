//! An agent's own share of the weight store while no issuer can be reached.

use crate::time::MonoTime;

/// Allows one load at a time, at the fleet's rate divided by the number of agents.
#[derive(Debug, Clone, Copy, Default)]
pub struct FallbackShare {
    next_at: MonoTime,
    busy: bool,
}

impl FallbackShare {
    /// Takes the share if it is free now.
    pub fn try_acquire(&mut self, now: MonoTime, loads_per_ks: u64, agents: u64) -> bool {
        if self.busy || now < self.next_at {
            return false;
        }
        let pause_ms = agents.max(1).saturating_mul(1_000_000) / loads_per_ks.max(1);
        self.next_at = now + pause_ms;
        self.busy = true;
        true
    }

    /// Ends the load.
    pub const fn release(&mut self) {
        self.busy = false;
    }
}
