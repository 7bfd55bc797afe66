//! The typed settings tree.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};

use crate::prelude::*;

/// Limits that the whole fleet shares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetLimits {
    /// Model loads per thousand seconds from the weight store.
    pub loads_per_ks: u64,
    /// Model loads at once at full speed.
    pub loads_at_once: u32,
    /// Adapter loads in flight across all upstreams at full speed.
    pub adapter_loads_at_once: u32,
    /// Slots that an idle model keeps.
    pub standby_slots: u32,
    /// Most slots of one replica.
    pub max_slots: u32,
    /// Placement partitions, each planned under its own lease.
    pub partitions: u32,
    /// Lease term in milliseconds.
    pub lease_ms: u64,
    /// Milliseconds after which an instance missing from the list counts as gone.
    pub gone_after_ms: u64,
    /// Shortest idle time in milliseconds before a replica is unloaded.
    pub min_idle_ms: u64,
    /// Milliseconds for which a crashing request is held back.
    pub quarantine_ms: u64,
    /// Milliseconds for which run records are kept after their end.
    pub record_ms: u64,
}

/// One rank of work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RankSettings {
    /// Lower is more urgent; unique among ranks.
    pub order: u32,
    /// Worth of one request served in time.
    pub worth: u32,
    /// Share of service kept under any flood, in percent; all floors sum to at most 100.
    pub floor_percent: u32,
    /// Deadline in milliseconds where neither request nor kind gives one.
    pub deadline_ms: u64,
}

/// One model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelSettings {
    /// The version that new work runs on.
    pub version: u32,
    /// Accelerator memory in megabytes, KV reserve included.
    pub memory_mb: u64,
    /// Milliseconds to load from the weight store at full speed.
    pub load_ms: u64,
    /// Regions that may hold it; empty for all.
    pub regions: Vec<RegionName>,
    /// Teams that may call it; empty for all.
    pub teams: Vec<TeamName>,
}

impl ModelSettings {
    /// The replica that new work runs on.
    #[must_use]
    pub fn replica(&self, name: &ModelName) -> ReplicaName {
        ReplicaName::of(name, self.version)
    }
}

/// Where a kind of work goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkTarget {
    /// A model engine; the request names the model.
    Engine,
    /// A plain service.
    Service(ServiceName),
}

/// One kind of work of one team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KindSettings {
    /// Rank of the work; names an entry of [`FleetSettings::ranks`].
    pub rank: RankName,
    /// Whether a repeat is harmless.
    pub is_idempotent: bool,
    /// Where it goes.
    pub target: WorkTarget,
    /// Deadline in milliseconds where the request gives none.
    pub deadline_ms: Option<u64>,
}

/// One adapter of one team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdapterSettings {
    /// The model below; names an entry of [`FleetSettings::models`].
    pub model: ModelName,
    /// The adapter's version.
    pub version: u32,
    /// Accelerator memory in megabytes.
    pub memory_mb: u64,
}

/// One team with its subtree.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TeamSettings {
    /// SHA-256 of the team's credential in hexadecimal.
    pub credential_sha256: String,
    /// Weight among teams of the same rank; at least one.
    pub share: u32,
    /// Kinds of work.
    pub kinds: BTreeMap<KindName, KindSettings>,
    /// Adapters.
    pub adapters: BTreeMap<AdapterName, AdapterSettings>,
}

/// The whole tree at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSettings {
    /// Revision of the newest subtree.
    pub revision: u64,
    /// SHA-256 of the operators' credential for the root subtree.
    pub operator_sha256: String,
    /// Shared limits.
    pub limits: FleetLimits,
    /// Ranks of work.
    pub ranks: BTreeMap<RankName, RankSettings>,
    /// Models.
    pub models: BTreeMap<ModelName, ModelSettings>,
    /// Teams.
    pub teams: BTreeMap<TeamName, TeamSettings>,
}

impl FleetSettings {
    /// Finds the team of a credential.
    #[must_use]
    pub fn team_of(&self, credential: &str) -> Option<&TeamName> {
        let digest = credential_digest(credential);
        let mut teams = self.teams.iter();
        teams
            .find(|(_, team)| team.credential_sha256 == digest)
            .map(|(name, _)| name)
    }

    /// The settings of a replica's model.
    #[must_use]
    pub fn model_of(&self, replica: &ReplicaName) -> Option<&ModelSettings> {
        self.models.get(&replica.model())
    }

    /// Ranks from most to least urgent.
    #[must_use]
    pub fn ranks_by_order(&self) -> Vec<(&RankName, &RankSettings)> {
        let mut ranks: Vec<_> = self.ranks.iter().collect();
        ranks.sort_by_key(|(_, rank)| rank.order);
        ranks
    }
}

/// SHA-256 of a credential in hexadecimal.
#[must_use]
pub fn credential_digest(credential: &str) -> String {
    let digest = Sha256::digest(credential.as_bytes());
    digest.iter().fold(String::new(), |mut text, byte| {
        use std::fmt::Write;
        let _ = write!(text, "{byte:02x}");
        text
    })
}
