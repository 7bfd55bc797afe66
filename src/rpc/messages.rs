//! Messages of the control interface.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::quarantine::RequestFingerprint;

/// Loading state of a replica on one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaState {
    /// A slot is held, nothing is loaded.
    Granted,
    /// The load is in progress.
    Loading,
    /// Requests can run.
    Loaded,
    /// The slot is being released.
    Draining,
}

/// One replica slot as its agent sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// The model and version.
    pub replica: ReplicaName,
    /// Its loading state.
    pub state: ReplicaState,
    /// Forecast milliseconds until requests can run; zero when loaded.
    pub ready_ms: u64,
    /// Requests in flight at the upstream.
    pub running: u32,
    /// Requests that wait for this replica.
    pub waiting: u32,
    /// Requests that arrived since the agent started.
    pub arrived: u64,
}

/// Forecast wait of one rank on one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankWait {
    /// The rank.
    pub rank: RankName,
    /// Forecast milliseconds that a new request would wait.
    pub wait_ms: u64,
}

/// A request seen in flight when an upstream crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request's fingerprint.
    pub fingerprint: RequestFingerprint,
    /// ID of the crash, unique in the fleet.
    pub crash: u64,
}

/// An agent's report on its upstream, sent to entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// The agent's instance.
    pub instance: InstanceName,
    /// Identifies one start of the agent's process; a report of a later start, which has a higher
    /// ID, replaces those of earlier ones.
    pub start_id: u64,
    /// Increases with each report of one start.
    pub sequence: u64,
    /// Address at which entries reach the agent.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: ZoneName,
    /// The region.
    pub region: RegionName,
    /// The plain service of the upstream, or `None` for a model engine.
    pub service: Option<ServiceName>,
    /// Whether the agent accepts no new work.
    pub leaving: bool,
    /// Whether the upstream responds.
    pub healthy: bool,
    /// Identifies the start of the engine, once known.
    pub boot_id: Option<u64>,
    /// Accelerator memory in megabytes.
    pub memory_mb: u64,
    /// Highest settings revision in force.
    pub settings_revision: u64,
    /// Requests in flight at the upstream.
    pub running: u32,
    /// Limit of concurrent requests.
    pub limit: u32,
    /// Mean milliseconds to the first token, or of the whole call of a plain service.
    pub first_ms: u64,
    /// Mean microseconds of upstream time per requested token.
    pub token_us: u64,
    /// Mean milliseconds that a request runs.
    pub mean_ms: u64,
    /// Forecast waits.
    pub ranks: Vec<RankWait>,
    /// Replica slots.
    pub replicas: Vec<ReplicaReport>,
    /// Checkpoints in the instance's memory or on its disk.
    pub cached: Vec<ReplicaName>,
    /// Recent crashes of the upstream.
    pub crashes: Vec<CrashReport>,
}

/// Confirms an unchanged report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentHeartbeat {
    /// The agent's instance.
    pub instance: InstanceName,
    /// Identifies the start of its process.
    pub start_id: u64,
    /// Sequence number of the report that is still valid.
    pub sequence: u64,
}

/// An entry's response to a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Whether the entry has the report.
    pub is_known: bool,
    /// The entry's settings revision.
    pub settings_revision: u64,
}

/// Demand for one replica as one entry sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandRates {
    /// The model and version.
    pub replica: ReplicaName,
    /// Requests per second, averaged over about ten seconds, in thousandths.
    pub arrivals_milli: u64,
    /// Refusals per second for lack of capacity, in thousandths.
    pub refusals_milli: u64,
}

/// Agent reports and demand that an entry passes to planners.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EntryView {
    /// The last report of each live agent.
    pub reports: Vec<AgentReport>,
    /// Demand that this entry saw.
    pub demand: Vec<DemandRates>,
}

/// Request for a permit to load from the weight store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Order of the most urgent waiting rank; lower is more urgent.
    pub rank_order: u32,
    /// Milliseconds until the earliest waiting deadline.
    pub remaining_ms: u64,
}

/// The issuer's response to a permit request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PermitResponse {
    /// The load may start; the permit of this number is released at its end.
    Granted(u64),
    /// This process does not issue permits.
    NotIssuer,
    /// No permit became free within the time that the request allows.
    TimedOut,
}
