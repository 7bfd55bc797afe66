//! Units that use accelerator memory.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// One version of a team's adapter, loaded on top of a replica.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{team}/{adapter}@{version}+{replica}")]
pub struct AdapterUnit {
    /// The owning team.
    pub team: TeamName,
    /// The adapter.
    pub adapter: AdapterName,
    /// The adapter's version.
    pub version: u32,
    /// The replica that the adapter applies to.
    pub replica: ReplicaName,
}

/// Something that an engine loads.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemoryUnit {
    /// A model at a version.
    Replica(ReplicaName),
    /// An adapter.
    Adapter(AdapterUnit),
}

impl MemoryUnit {
    /// The replica itself, or the one that the adapter applies to.
    #[must_use]
    pub const fn replica(&self) -> &ReplicaName {
        match self {
            Self::Replica(replica) => replica,
            Self::Adapter(adapter) => &adapter.replica,
        }
    }
}
