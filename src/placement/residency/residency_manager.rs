//! Manages one engine's memory and slots.

use std::collections::BTreeMap;

use super::held_replica::HeldReplica;
use crate::memory::{EntryState, MemoryLedger, MemoryUnit};
use crate::placement::{ResidencyPolicy, SlotState};
use crate::prelude::*;

/// A new gap has the weight of one over this in the mean gap between requests.
const GAP_SMOOTHING: u64 = 4;

/// Manages one engine's memory and slots. Loads happen only within slots and memory; an order
/// without a response keeps its memory reserved until the engine reports its state.
#[derive(Debug)]
pub struct ResidencyManager {
    pub(super) ledger: MemoryLedger,
    pub(super) replicas: BTreeMap<ReplicaName, HeldReplica>,
    /// Last use of each adapter.
    pub(super) adapters: BTreeMap<MemoryUnit, MonoTime>,
    /// Time of the last order or outcome of each unit; a report requested before may not show it.
    pub(super) changed: BTreeMap<MemoryUnit, MonoTime>,
    /// False until the slots have been read once; until then no replica is unloaded for lack of
    /// a slot, and loaded replicas serve requests.
    pub(super) slots_known: bool,
    pub(super) policy: ResidencyPolicy,
}

impl ResidencyManager {
    /// Creates a manager for an engine with the given memory in megabytes.
    #[must_use]
    pub fn open(capacity_mb: u64, policy: ResidencyPolicy) -> Self {
        Self {
            ledger: MemoryLedger::open(capacity_mb),
            replicas: BTreeMap::new(),
            adapters: BTreeMap::new(),
            changed: BTreeMap::new(),
            slots_known: false,
            policy,
        }
    }

    /// Applies a changed policy.
    pub const fn set_policy(&mut self, policy: ResidencyPolicy) {
        self.policy = policy;
    }

    /// The memory ledger.
    #[must_use]
    pub const fn ledger(&self) -> &MemoryLedger {
        &self.ledger
    }

    /// Records that all slots have been read at least once.
    pub const fn mark_slots_known(&mut self) {
        self.slots_known = true;
    }

    /// Adds or updates a slot, with the replica's size and load time.
    pub fn grant(&mut self, replica: &ReplicaName, slot: SlotState, memory_mb: u64, load_ms: u64) {
        let held = self.replica_entry(replica);
        held.slot = Some(slot);
        held.memory_mb = memory_mb;
        held.load_ms = load_ms;
    }

    /// Removes a slot; a replica loaded under it will be unloaded.
    pub fn withdraw(&mut self, replica: &ReplicaName) {
        if let Some(held) = self.replicas.get_mut(replica) {
            held.slot = None;
        }
        self.remove_if_unused(replica);
    }

    /// Slots held, including revoked ones.
    #[must_use]
    pub fn slots(&self) -> Vec<(ReplicaName, SlotState)> {
        let replicas = self.replicas.iter();
        replicas
            .filter_map(|(name, held)| held.slot.map(|slot| (name.clone(), slot)))
            .collect()
    }

    /// Revoked slots whose replica the engine no longer holds, so that they can be released.
    #[must_use]
    pub fn releasable(&self) -> Vec<ReplicaName> {
        let replicas = self.replicas.iter();
        replicas
            .filter(|(name, held)| held.slot == Some(SlotState::Revoked) && !self.holds_any(name))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Whether new requests for the replica may wait here.
    #[must_use]
    pub fn accepts(&self, replica: &ReplicaName) -> bool {
        if !self.slots_known {
            return self.is_loaded(&MemoryUnit::Replica(replica.clone()));
        }
        let held = self.replicas.get(replica);
        held.is_some_and(|held| matches!(held.slot, Some(SlotState::Granted | SlotState::Warm)))
    }

    /// Whether a request for the unit can be dispatched now.
    #[must_use]
    pub fn is_loaded(&self, unit: &MemoryUnit) -> bool {
        let entry = self.ledger.find(unit);
        entry.is_some_and(|(_, entry)| entry.state == EntryState::Loaded)
    }

    /// Counts an arrival and a waiting request.
    pub fn enqueue(
        &mut self,
        now: MonoTime,
        replica: &ReplicaName,
        rank_order: usize,
        deadline: MonoTime,
    ) {
        let held = self.replica_entry(replica);
        if held.arrivals > 0 {
            let gap_ms = now.millis_since(held.used_at);
            let mean_ms = held.mean_gap_ms.unwrap_or(gap_ms);
            held.mean_gap_ms = Some((mean_ms * (GAP_SMOOTHING - 1) + gap_ms) / GAP_SMOOTHING);
        }
        held.arrivals += 1;
        held.used_at = now;
        held.urgency = if held.waiting == 0 {
            (rank_order, deadline)
        } else {
            held.urgency.min((rank_order, deadline))
        };
        held.waiting += 1;
    }

    /// Counts a request that no longer waits because it was dispatched or removed.
    pub fn dequeue(&mut self, replica: &ReplicaName) {
        if let Some(held) = self.replicas.get_mut(replica) {
            held.waiting = held.waiting.saturating_sub(1);
        }
    }

    /// Counts a dispatched request.
    pub fn begin_run(&mut self, replica: &ReplicaName) {
        self.replica_entry(replica).running += 1;
    }

    /// Counts a request that has ended.
    pub fn end_run(&mut self, now: MonoTime, replica: &ReplicaName) {
        if let Some(held) = self.replicas.get_mut(replica) {
            held.running = held.running.saturating_sub(1);
            held.used_at = now;
        }
    }

    pub(super) fn begin_unload(&mut self, now: MonoTime, unit: &MemoryUnit) {
        self.changed.insert(unit.clone(), now);
        if let Some((key, _)) = self.ledger.find(unit) {
            self.ledger.set_state(key, EntryState::Unloading);
        }
    }

    pub(super) fn note_loaded(&mut self, now: MonoTime, unit: &MemoryUnit) {
        match unit {
            MemoryUnit::Replica(replica) => {
                let held = self.replica_entry(&replica.clone());
                held.loaded_at = now;
                held.load_began = None;
            }
            MemoryUnit::Adapter(_) => {
                self.adapters.insert(unit.clone(), now);
            }
        }
    }

    pub(super) fn holds_any(&self, replica: &ReplicaName) -> bool {
        let mut entries = self.ledger.entries();
        entries.any(|(_, entry)| entry.unit.replica() == replica)
    }

    pub(super) fn remove_if_unused(&mut self, replica: &ReplicaName) {
        let is_unused = self
            .replicas
            .get(replica)
            .is_some_and(|held| held.slot.is_none() && held.running == 0 && held.waiting == 0);
        if is_unused && !self.holds_any(replica) {
            self.replicas.remove(replica);
        }
    }

    pub(super) fn replica_entry(&mut self, replica: &ReplicaName) -> &mut HeldReplica {
        self.replicas
            .entry(replica.clone())
            .or_insert_with(HeldReplica::unused)
    }
}
