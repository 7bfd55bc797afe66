//! Why a model is loaded, and what a load for that purpose may do.

use super::PlannerPolicy;

/// Rank of the most urgent requests.
pub(super) const MOST_URGENT_RANK: u8 = 0;

/// Why a model is loaded at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadPurpose {
    /// Requests wait for the model.
    Wanted {
        /// Most urgent rank among the waiting requests.
        rank: u8,
        /// Whether a model with requests in flight may be evicted.
        may_evict_busy: bool,
    },
    /// An extra copy, because the present copies are crowded.
    Copy {
        /// Whether the request rate is far above what the copies can serve in time.
        is_urgent: bool,
    },
    /// A load from the weight store is already pending for the model, because requests wait for it
    /// or its copies are crowded; a load from another engine's local copy may serve until then.
    Interim,
    /// No engine has a local copy of the model yet.
    Prefetch,
    /// Continues a load that is already planned at the engine: models are being evicted for it.
    Planned,
}

impl LoadPurpose {
    /// The reason that is logged with the order.
    pub(super) const fn reason(self) -> &'static str {
        match self {
            Self::Wanted { .. } => "wanted",
            Self::Copy { .. } => "crowded",
            Self::Interim => "bridge",
            Self::Prefetch => "prefetch",
            Self::Planned => "continue",
        }
    }

    /// Whether the load adds a copy because the present ones are crowded.
    pub(super) const fn is_copy(self) -> bool {
        matches!(self, Self::Copy { .. })
    }

    /// Whether a model with requests in flight may be evicted. Its unload waits for these requests,
    /// and the engine accepts no other order meanwhile.
    pub(super) const fn may_evict_busy(self) -> bool {
        match self {
            Self::Wanted { may_evict_busy, .. } => may_evict_busy,
            Self::Copy { is_urgent } => is_urgent,
            Self::Interim | Self::Prefetch => false,
            Self::Planned => true,
        }
    }

    /// Maximum number of concurrent loads from the weight store, this load included.
    pub(super) const fn store_load_limit(self, policy: &PlannerPolicy) -> usize {
        match self {
            Self::Wanted { rank, .. } if rank == MOST_URGENT_RANK => {
                policy.store_loads + policy.urgent_loads
            }
            Self::Copy { is_urgent: true } => policy.store_loads + policy.urgent_loads,
            Self::Wanted { .. } | Self::Copy { .. } => policy.store_loads,
            Self::Prefetch => policy.store_loads.saturating_sub(policy.reserved_loads),
            Self::Interim => 0,
            // The load was counted against the limit when it was planned.
            Self::Planned => usize::MAX,
        }
    }
}
