//! Table rows that grant replica slots.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::routing::rendezvous_weight;

/// Prefix of all placement rows.
pub const PLACEMENT_PREFIX: &str = "placement/";

/// How far a slot is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotState {
    /// The instance may load and unload at will.
    Granted,
    /// The instance should hold the replica loaded.
    Warm,
    /// The instance must unload and then give the slot up.
    Revoked,
}

/// The right of one instance to hold one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// The instance.
    pub instance: InstanceName,
    /// How far the slot is.
    pub state: SlotState,
}

/// All slots of one replica. The number of loaded replicas never exceeds the number of
/// slots here, since only slot holders load and a slot goes only after its unload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRow {
    /// The replica.
    pub replica: ReplicaName,
    /// Slots, revoked ones included; no instance twice.
    pub slots: Vec<SlotGrant>,
}

impl PlacementRow {
    /// A row without slots.
    #[must_use]
    pub const fn empty(replica: ReplicaName) -> Self {
        Self {
            replica,
            slots: Vec::new(),
        }
    }

    /// The table key of a replica's row.
    #[must_use]
    pub fn row_key(replica: &ReplicaName) -> String {
        format!("{PLACEMENT_PREFIX}{replica}")
    }

    /// The slot of an instance.
    #[must_use]
    pub fn slot_of(&self, instance: &InstanceName) -> Option<&SlotGrant> {
        self.slots.iter().find(|slot| slot.instance == *instance)
    }
}

/// The partition in which a replica is planned. All versions of a model share one.
#[must_use]
pub fn partition_of(replica: &ReplicaName, partitions: u32) -> u32 {
    let weight = rendezvous_weight(replica.model().as_str(), "partition");
    let index = weight % u64::from(partitions.max(1));
    u32::try_from(index).unwrap_or(0)
}
