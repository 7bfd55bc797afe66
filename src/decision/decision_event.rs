//! Decisions with the inputs that led to them.

use serde::Serialize;

use crate::memory::MemoryUnit;
use crate::placement::SlotGrant;
use crate::prelude::*;
use crate::routing::{RouteChoice, RouteTarget};

/// One decision.
#[derive(Debug, Clone, Serialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum DecisionEvent {
    /// An entry sent a request to an upstream.
    Route {
        /// The request.
        request: String,
        /// Its attempt.
        attempt: AttemptId,
        /// The team.
        team: TeamName,
        /// The replica that it needs loaded, if any.
        replica: Option<ReplicaName>,
        /// The chosen upstream.
        instance: InstanceName,
        /// The choice.
        choice: RouteChoice,
        /// Milliseconds until the deadline.
        remaining_ms: u64,
        /// The upstreams that were considered.
        targets: Vec<RouteTarget>,
    },
    /// A request was refused.
    Refuse {
        /// The request.
        request: String,
        /// The team, once known.
        team: Option<TeamName>,
        /// The refusal.
        refusal: RequestRefusal,
        /// Milliseconds until the deadline.
        remaining_ms: u64,
        /// The upstreams that were considered.
        targets: Vec<RouteTarget>,
    },
    /// An agent handed a request to its upstream.
    HandOver {
        /// The request.
        request: String,
        /// Its attempt.
        attempt: AttemptId,
        /// The rank.
        rank: RankName,
        /// Milliseconds that it waited.
        waited_ms: u64,
        /// Running requests, this one included.
        running: u32,
        /// Limit of concurrent requests.
        limit: u32,
    },
    /// An agent ordered a load.
    Load {
        /// The unit.
        unit: MemoryUnit,
        /// Its size in megabytes.
        memory_mb: u64,
        /// Megabytes used, this one included.
        used_mb: u64,
        /// Total megabytes.
        capacity_mb: u64,
    },
    /// An agent ordered an unload.
    Unload {
        /// The unit.
        unit: MemoryUnit,
        /// Megabytes used before.
        used_mb: u64,
        /// Total megabytes.
        capacity_mb: u64,
    },
    /// A planner changed a replica's slots.
    Place {
        /// The replica.
        replica: ReplicaName,
        /// Its slots now.
        slots: Vec<SlotGrant>,
        /// The planner's epoch.
        epoch: u64,
    },
    /// A process acquired a lease.
    TakeLease {
        /// The lease.
        lease: String,
        /// Its epoch.
        epoch: u64,
    },
}

/// A decision with its time.
#[derive(Debug, Clone, Serialize)]
pub struct DecisionRecord {
    /// Milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The deciding instance.
    pub decided_by: InstanceName,
    /// The decision.
    #[serde(flatten)]
    pub event: DecisionEvent,
}

impl DecisionEvent {
    /// The request that the decision is about, if any.
    #[must_use]
    pub fn request(&self) -> Option<&str> {
        match self {
            Self::Route { request, .. }
            | Self::Refuse { request, .. }
            | Self::HandOver { request, .. } => Some(request),
            _ => None,
        }
    }

    /// The team that the decision is about, if any.
    #[must_use]
    pub const fn team(&self) -> Option<&TeamName> {
        match self {
            Self::Route { team, .. } => Some(team),
            Self::Refuse { team, .. } => team.as_ref(),
            _ => None,
        }
    }
}
