//! The typed and validated settings tree.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};

use crate::prelude::*;

/// Limits that apply to the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetLimits {
    /// Maximum rate of model loads from the weight store, per 1,000 seconds.
    pub loads_per_ks: u64,
    /// Number of concurrent model loads that the weight store serves at full speed.
    pub loads_at_once: u32,
    /// Number of concurrent adapter loads, over all upstreams, that run at full speed.
    pub adapter_loads_at_once: u32,
    /// Number of slots that an idle model keeps.
    pub standby_slots: u32,
    /// Maximum number of slots of one replica.
    pub max_slots: u32,
    /// Number of placement partitions, each planned under its own lease.
    pub partitions: u32,
    /// Lease term in milliseconds.
    pub lease_ms: u64,
    /// Milliseconds after which an instance missing from the member list counts as gone.
    pub gone_after_ms: u64,
    /// Minimum idle time in milliseconds before a replica is unloaded.
    pub min_idle_ms: u64,
    /// Milliseconds for which a request that was in flight at crashes is quarantined.
    pub quarantine_ms: u64,
    /// Milliseconds for which the run record of a non-idempotent call is kept after its end.
    pub record_ms: u64,
}

/// Settings of one rank, which is a priority class of work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RankSettings {
    /// Position among the ranks: lower is more urgent. Unique among ranks.
    pub order: u32,
    /// Value of one request of this rank that is served in time.
    pub worth: u32,
    /// Share of service reserved for this rank under any overload, in percent. The sum over all
    /// ranks is at most 100.
    pub floor_percent: u32,
    /// Deadline in milliseconds of requests for which neither caller nor kind sets one.
    pub deadline_ms: u64,
}

/// Settings of one model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelSettings {
    /// Current version, which new work runs on.
    pub version: u32,
    /// Accelerator memory in megabytes, including the KV cache reserve.
    pub memory_mb: u64,
    /// Time in milliseconds to load the model from the weight store at full speed.
    pub load_ms: u64,
    /// Regions in which the model may be placed; empty for all.
    pub regions: Vec<RegionName>,
    /// Teams that may call the model; empty for all.
    pub teams: Vec<TeamName>,
}

impl ModelSettings {
    /// Name of the replica of the current version.
    #[must_use]
    pub fn replica(&self, name: &ModelName) -> ReplicaName {
        ReplicaName::of(name, self.version)
    }
}

/// Target of a kind of work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkTarget {
    /// A model engine; the request names the model.
    Engine,
    /// A plain service.
    Service(ServiceName),
}

/// Settings of one kind of work of one team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KindSettings {
    /// Rank of the work; a key of [`FleetSettings::ranks`].
    pub rank: RankName,
    /// Whether a call may run more than once without harm.
    pub is_idempotent: bool,
    /// Target of the work.
    pub target: WorkTarget,
    /// Deadline in milliseconds of requests without one; `None` for the deadline of the rank.
    pub deadline_ms: Option<u64>,
}

/// Settings of one adapter of one team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdapterSettings {
    /// Base model of the adapter; a key of [`FleetSettings::models`].
    pub model: ModelName,
    /// Current version of the adapter.
    pub version: u32,
    /// Accelerator memory in megabytes.
    pub memory_mb: u64,
}

/// Settings of one team: those in the root subtree and its own subtree.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TeamSettings {
    /// SHA-256 of the team's credential, in hexadecimal.
    pub credential_sha256: String,
    /// Weight of the team among the teams of a rank; at least 1.
    pub share: u32,
    /// Kinds of work of the team.
    pub kinds: BTreeMap<KindName, KindSettings>,
    /// Adapters of the team.
    pub adapters: BTreeMap<AdapterName, AdapterSettings>,
}

/// The whole settings tree at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSettings {
    /// Highest revision of all subtrees.
    pub revision: u64,
    /// SHA-256 of the operators' credential, in hexadecimal.
    pub operator_sha256: String,
    /// Limits of the fleet.
    pub limits: FleetLimits,
    /// Ranks of work.
    pub ranks: BTreeMap<RankName, RankSettings>,
    /// Models.
    pub models: BTreeMap<ModelName, ModelSettings>,
    /// Teams.
    pub teams: BTreeMap<TeamName, TeamSettings>,
}

impl FleetSettings {
    /// Finds the team that a credential belongs to; `None` if no team has it.
    #[must_use]
    pub fn team_of(&self, credential: &str) -> Option<&TeamName> {
        let digest = credential_digest(credential);
        let mut teams = self.teams.iter();
        teams
            .find(|(_, team)| team.credential_sha256 == digest)
            .map(|(name, _)| name)
    }

    /// The settings of a replica's model; `None` if the model is not in the tree.
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

/// SHA-256 of a credential, in lower-case hexadecimal.
#[must_use]
pub fn credential_digest(credential: &str) -> String {
    let digest = Sha256::digest(credential.as_bytes());
    digest.iter().fold(String::new(), |mut text, byte| {
        use std::fmt::Write;
        let _ = write!(text, "{byte:02x}");
        text
    })
}
