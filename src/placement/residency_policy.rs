//! How long a replica stays loaded on the accelerator.

/// Idle time, in multiples of the load time, after which keeping a replica loaded costs as much as
/// reloading it.
const BREAK_EVEN_LOADS: u64 = 3;

/// Longest idle time before an unload, in multiples of the load time, unless `min_idle_ms` is
/// longer.
const MAX_IDLE_LOADS: u64 = 20;

/// Least time loaded, in multiples of the load time, before another replica may evict it.
const MIN_HOLD_LOADS: u64 = 1;

/// Which replicas are unloaded when idle; all but `Slots` are baselines for benchmarks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum HoldingPolicy {
    /// Load on demand within slots; unload after an idle time computed from load time and demand.
    #[default]
    Slots,
    /// Never unload idle replicas.
    AlwaysLoaded,
}

/// Computes how long replicas stay loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResidencyPolicy {
    /// Whether idle replicas are unloaded.
    pub holding: HoldingPolicy,
    /// Shortest idle milliseconds before an unload.
    pub min_idle_ms: u64,
}

impl ResidencyPolicy {
    /// Idle milliseconds after which a replica is unloaded, given its load time and the
    /// mean milliseconds between its recent requests. A replica whose next request is
    /// expected before the break-even time is kept twice as long as the mean gap.
    #[must_use]
    pub fn idle_limit_ms(&self, load_ms: u64, mean_gap_ms: Option<u64>) -> u64 {
        if self.holding == HoldingPolicy::AlwaysLoaded {
            return u64::MAX;
        }
        let break_even_ms = load_ms * BREAK_EVEN_LOADS;
        let expected_ms = match mean_gap_ms {
            Some(gap_ms) if gap_ms <= break_even_ms => (gap_ms * 2).max(break_even_ms),
            _ => break_even_ms,
        };
        expected_ms
            .min(load_ms * MAX_IDLE_LOADS)
            .max(self.min_idle_ms)
    }

    /// Milliseconds after its load during which other replicas may not evict it.
    #[must_use]
    pub const fn min_hold_ms(&self, load_ms: u64) -> u64 {
        load_ms * MIN_HOLD_LOADS
    }
}
