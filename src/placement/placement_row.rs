//! Table rows that grant replica slots to instances.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::routing::rendezvous_weight;

/// Prefix of all placement rows.
pub const PLACEMENT_PREFIX: &str = "placement/";

/// State of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotState {
    /// The instance may load and unload the replica on demand.
    Granted,
    /// The instance should keep the replica loaded.
    Warm,
    /// The instance must unload the replica and then release the slot.
    Revoked,
}

/// The right of one instance to hold one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// The instance.
    pub instance: InstanceName,
    /// State of the slot.
    pub state: SlotState,
}

/// All slots of one replica. The replica is never loaded on more instances than there are
/// slots: only instances with a slot load it, and a slot is removed only after the unload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRow {
    /// The replica.
    pub replica: ReplicaName,
    /// Slots, including revoked ones; each instance has at most one.
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

    /// The slot of an instance, or `None` if it has none.
    #[must_use]
    pub fn slot_of(&self, instance: &InstanceName) -> Option<&SlotGrant> {
        self.slots.iter().find(|slot| slot.instance == *instance)
    }
}

/// Index of the partition whose planner places the replica; the same for all versions of a
/// model.
#[must_use]
pub fn partition_of(replica: &ReplicaName, partitions: u32) -> u32 {
    let weight = rendezvous_weight(replica.model().as_str(), "partition");
    let index = weight % u64::from(partitions.max(1));
    u32::try_from(index).unwrap_or(0)
}
