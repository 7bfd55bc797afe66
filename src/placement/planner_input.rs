//! Fleet state that a planning round is computed from.

use std::collections::BTreeMap;

use super::PlacementRow;
use crate::prelude::*;
use crate::rpc::ReplicaState;
use crate::table::RowRevision;

/// One upstream as its agent reported it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamView {
    /// The instance.
    pub instance: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Accelerator memory in megabytes.
    pub memory_mb: u64,
    /// Whether it may take new slots: it responds, is not leaving, and serves models.
    pub is_usable: bool,
    /// Checkpoints in its memory or on its disk.
    pub cached: Vec<ReplicaName>,
    /// State of its replicas.
    pub states: BTreeMap<ReplicaName, ReplicaState>,
}

/// Demand for one replica over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReplicaDemand {
    /// Requests per second in thousandths.
    pub arrivals_milli: u64,
    /// Refusals per second for lack of capacity, in thousandths.
    pub refusals_milli: u64,
    /// Mean run time of a request in milliseconds.
    pub service_ms: u64,
    /// Requests that one upstream runs at once.
    pub limit: u32,
    /// Requests running at upstreams.
    pub running: u32,
    /// Requests that wait at upstreams that have the replica loaded.
    pub waiting: u32,
}

/// Input of one planning round.
#[derive(Debug, Clone, Default)]
pub struct PlannerInput {
    /// Upstreams whose agents have reported.
    pub upstreams: Vec<UpstreamView>,
    /// Instances missing from the member list for longer than the list may lag.
    pub gone: Vec<InstanceName>,
    /// Instances that are about to leave the fleet.
    pub leaving: Vec<InstanceName>,
    /// Rows as the table has them.
    pub rows: BTreeMap<ReplicaName, (RowRevision, PlacementRow)>,
    /// Demand by replica.
    pub demand: BTreeMap<ReplicaName, ReplicaDemand>,
}
