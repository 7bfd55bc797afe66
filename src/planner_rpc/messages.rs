//! Bodies of the calls to the planner.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::fleet::ModelNeed;
use crate::orders::EntryDemand;
use crate::prelude::*;
use crate::quarantine::RequestFingerprint;

/// A request that was in flight at a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashRecord(pub RequestFingerprint, pub u64);

/// What an entry reports to the planner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The reporting entry.
    #[serde(rename = "i")]
    pub entry: InstanceName,
    /// Where other processes reach it.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// What it asks for and runs.
    #[serde(rename = "d")]
    pub demand: EntryDemand,
    /// Version of the configuration in force there.
    #[serde(rename = "k")]
    pub catalog_version: u64,
    /// Crashes that the entry saw since its last report.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashRecord>,
}

/// Milliseconds until a missing model should be usable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadForecast(pub ModelNeed, pub u64);

/// The planner's answer to a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandResponse {
    /// Revision of the lease row, so that an entry knows from when it stood unchanged.
    #[serde(rename = "l")]
    pub lease_revision: u64,
    /// Entries that reported lately, this one included.
    #[serde(rename = "n")]
    pub entry_count: u32,
    /// Version of the configuration in force at the planner. An entry that hears of a higher one
    /// than its own reads anew: its call for changes may hang.
    #[serde(rename = "k")]
    pub catalog_version: u64,
    /// Forecasts for the reported wants.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub forecasts: Vec<LoadForecast>,
    /// Crashes that other entries saw lately.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashRecord>,
}

/// Up to where an entry knows the planner's news.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FollowMark {
    /// Epoch of the planner.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Version within the epoch.
    #[serde(rename = "v")]
    pub version: u64,
    /// Milliseconds to wait for news.
    #[serde(rename = "w")]
    pub wait_ms: u64,
}
