//! Messages of the planner's RPC interface.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::account_limit::{AllowanceGrant, AllowanceReport};
use crate::fleet::ModelNeed;
use crate::lease::LeaseRow;
use crate::orders::EntryDemand;
use crate::prelude::*;
use crate::quarantine::CrashRecord;
use crate::rate_limit::{TokenGrant, TokenRequest};
use crate::table::{RowRevision, TableEra};
use crate::upstream_speed::SpeedReport;

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

/// Ages of what a process has read from the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FeedAges {
    /// Milliseconds since the configuration was last known to be the newest.
    #[serde(rename = "k")]
    pub catalog_ms: u64,
    /// Milliseconds since the list of upstreams was last known to be the newest.
    #[serde(rename = "u")]
    pub roster_ms: u64,
}

/// Up to where a process has received the records of crashes of a planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CrashMark {
    /// Start ID of the planner's process; 0 if none has answered.
    #[serde(rename = "p")]
    pub process: u64,
    /// Number of the newest change there that was received.
    #[serde(rename = "c")]
    pub change: u64,
}

/// What an entry tells the planner of crashes.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CrashReport {
    /// Up to where the entry has received the planner's records.
    #[serde(rename = "k")]
    pub known: CrashMark,
    /// Records of which the planner may not know all that the entry knows.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<CrashRecord>,
}

/// What the planner tells an entry of crashes.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// Up to where the entry knows the planner's records with this update.
    #[serde(rename = "k")]
    pub mark: CrashMark,
    /// Records that changed since the mark that the entry named.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<CrashRecord>,
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
    /// What the entry knows of crashes.
    #[serde(rename = "y", default)]
    pub crashes: CrashReport,
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
    /// Ages of the planner's own reads.
    #[serde(rename = "o", default)]
    pub ages: FeedAges,
    /// Forecasts for the models that the report requests.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub forecasts: Vec<LoadForecast>,
    /// What the planner knows of crashes.
    #[serde(rename = "y", default)]
    pub crashes: CrashUpdate,
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
