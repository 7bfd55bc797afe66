//! Why a model is brought to an engine, and what that allows.

use super::PlannerPolicy;

/// Rank of the most urgent requests.
pub(super) const MOST_URGENT_RANK: u8 = 0;

/// Why a model is brought to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadPurpose {
    /// Requests wait for it.
    Wanted {
        /// The most urgent rank among them.
        rank: u8,
        /// Whether it may wait for the requests of a busy model that makes room.
        may_evict_busy: bool,
    },
    /// Its copies are crowded.
    ExtraCopy {
        /// Whether they are far beyond what they can serve in time.
        is_urgent: bool,
    },
    /// Requests wait for it or its copies are crowded, and a load from the weight store is on
    /// its way: another engine's own copy may serve until then.
    Interim,
    /// No engine has a copy yet.
    Prefetch,
    /// Room is being made for it already.
    Planned,
}

impl LoadPurpose {
    /// The purpose in the log.
    pub(super) const fn reason(self) -> &'static str {
        match self {
            Self::Wanted { .. } => "wanted",
            Self::ExtraCopy { .. } => "crowded",
            Self::Interim => "bridge",
            Self::Prefetch => "prefetch",
            Self::Planned => "continue",
        }
    }

    /// Whether it is a copy besides others.
    pub(super) const fn is_extra_copy(self) -> bool {
        matches!(self, Self::ExtraCopy { .. })
    }

    /// Whether a busy model may make room: its unload waits for its requests, and the engine
    /// takes no other order meanwhile.
    pub(super) const fn may_evict_busy(self) -> bool {
        match self {
            Self::Wanted { may_evict_busy, .. } => may_evict_busy,
            Self::ExtraCopy { is_urgent } => is_urgent,
            Self::Interim | Self::Prefetch => false,
            Self::Planned => true,
        }
    }

    /// Loads from the weight store that may run at once, this one included.
    pub(super) const fn store_load_limit(self, policy: &PlannerPolicy) -> usize {
        match self {
            Self::Wanted { rank, .. } if rank == MOST_URGENT_RANK => {
                policy.store_loads + policy.urgent_loads
            }
            Self::ExtraCopy { is_urgent: true } => policy.store_loads + policy.urgent_loads,
            Self::Wanted { .. } | Self::ExtraCopy { .. } => policy.store_loads,
            Self::Prefetch => policy.store_loads.saturating_sub(policy.reserved_loads),
            Self::Interim => 0,
            // Its place was taken when the goal was set.
            Self::Planned => usize::MAX,
        }
    }
}
