//! Messages of the planner's RPC interface.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::account_limit::{AllowanceGrant, AllowanceReport};
use crate::fleet::ModelNeed;
use crate::lease::LeaseRow;
use crate::orders::EntryDemand;
use crate::prelude::*;
use crate::quarantine::{PartRecord, RequestFingerprint};
use crate::rate_limit::{TokenGrant, TokenRequest};
use crate::table::{RowRevision, TableEra};
use crate::upstream_speed::SpeedReport;

/// A request that was in flight at a crash, and the number of the crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashRecord(pub RequestFingerprint, pub u64);

/// The newest changes that a process has read from the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FeedVersions {
    /// Era of the platform's table in which the list of upstreams was read.
    #[serde(rename = "g", default)]
    pub era: TableEra,
    /// Version of the configuration in force.
    #[serde(rename = "k")]
    pub catalog: u64,
    /// Table version of the newest change of the list of upstreams.
    #[serde(rename = "u", default)]
    pub roster: u64,
}

/// What a process knows of parts of prompts at crashes.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PartKnowledge {
    /// Digest of all records; 0 without records.
    #[serde(rename = "d")]
    pub digest: u64,
    /// All records, unless the receiver is known to have them.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<PartRecord>,
}

/// An entry's report to the planner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The reporting entry.
    #[serde(rename = "i")]
    pub entry: InstanceName,
    /// Address at which other processes reach it.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// What it requests and runs.
    #[serde(rename = "d")]
    pub demand: EntryDemand,
    /// Newest changes that it has read. The planner reads a feed again if its own version is lower.
    #[serde(flatten)]
    pub feeds: FeedVersions,
    /// Crashes that the entry saw since its last report.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashRecord>,
    /// What the entry knows of parts of prompts at crashes.
    #[serde(rename = "q", default)]
    pub parts: PartKnowledge,
    /// Tokens that the entry needs for limited upstreams.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub tokens: Vec<TokenRequest>,
    /// What the entry needs of the limits of accounts.
    #[serde(
        rename = "w",
        default,
        skip_serializing_if = "AllowanceReport::is_empty"
    )]
    pub allowance: AllowanceReport,
    /// Upstreams whose work lastingly takes longer or less time than that of their peers.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub speeds: Vec<SpeedReport>,
}

/// Forecast of the milliseconds until a model that is not loaded can be used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadForecast(pub ModelNeed, pub u64);

/// The planner's response to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandResponse {
    /// Revision of the lease row, by which an entry notices that the lease was renewed; 0 if the
    /// planner does not hold the lease.
    #[serde(rename = "l")]
    pub lease_revision: u64,
    /// Number of entries that reported recently, this one included.
    #[serde(rename = "n")]
    pub entry_count: u32,
    /// Newest changes that the planner has read. An entry reads a feed again if its own version is
    /// lower, since its call for changes may hang.
    #[serde(flatten)]
    pub feeds: FeedVersions,
    /// Forecasts for the models that the report requests.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub forecasts: Vec<LoadForecast>,
    /// Crashes that other entries saw recently.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashRecord>,
    /// What the planner knows of parts of prompts at crashes.
    #[serde(rename = "q", default)]
    pub parts: PartKnowledge,
    /// Tokens for limited upstreams, and limits that the entry may not know.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub tokens: Vec<TokenGrant>,
    /// Allowance of accounts.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub allowance: Vec<AllowanceGrant>,
}

/// The planner's lease as a process reads it from the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseSnapshot {
    /// Revision of the row.
    pub revision: RowRevision,
    /// Era of the table; `None` if it names none.
    pub era: Option<TableEra>,
    /// The row; `None` if there is none.
    pub row: Option<LeaseRow>,
}

/// Position up to which an entry has followed the planner's updates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FollowMark {
    /// Epoch of the planner.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Version within the epoch.
    #[serde(rename = "v")]
    pub version: u64,
    /// Milliseconds to wait for an update.
    #[serde(rename = "w")]
    pub wait_ms: u64,
}
