//! Decides the next orders: what to load, and what to unload to free memory.

use super::engine_order::EngineOrder;
use super::held_replica::HeldReplica;
use super::residency_manager::ResidencyManager;
use crate::memory::{EntryState, MemoryUnit};
use crate::placement::SlotState;
use crate::prelude::*;

/// Orders in flight to one engine at most.
const MAX_ORDERS: usize = 4;

impl ResidencyManager {
    /// Decides the next orders.
    pub fn next_orders(&mut self, now: MonoTime) -> Vec<EngineOrder> {
        let mut orders = self.due_unloads(now);
        for replica in self.replicas_to_load(now) {
            if self.orders_in_flight() >= MAX_ORDERS {
                break;
            }
            self.try_load(now, &replica, &mut orders);
        }
        orders
    }

    pub(super) fn due_unloads(&mut self, now: MonoTime) -> Vec<EngineOrder> {
        let due: Vec<MemoryUnit> = self
            .ledger
            .entries()
            .filter(|(_, entry)| entry.state == EntryState::Loaded)
            .filter(|(_, entry)| self.is_unload_due(now, &entry.unit))
            .map(|(_, entry)| entry.unit.clone())
            .collect();
        let mut orders = Vec::new();
        for unit in due {
            self.begin_unload(now, &unit);
            orders.push(EngineOrder::Unload { unit });
        }
        orders
    }

    pub(super) fn is_unload_due(&self, now: MonoTime, unit: &MemoryUnit) -> bool {
        let MemoryUnit::Replica(replica) = unit else {
            let base_unit = MemoryUnit::Replica(unit.replica().clone());
            return self.ledger.find(&base_unit).is_none();
        };
        let Some(held) = self.replicas.get(replica) else {
            return self.slots_known;
        };
        if held.running > 0 {
            return false;
        }
        match held.slot {
            None => self.slots_known,
            Some(SlotState::Revoked) => held.waiting == 0,
            Some(SlotState::Warm) => false,
            Some(SlotState::Granted) => {
                let limit_ms = self.policy.idle_limit_ms(held.load_ms, held.mean_gap_ms);
                let idle_since = held.used_at.max(held.loaded_at);
                held.waiting == 0 && now.millis_since(idle_since) >= limit_ms
            }
        }
    }

    /// Replicas to load, most urgent first.
    pub(super) fn replicas_to_load(&self, now: MonoTime) -> Vec<ReplicaName> {
        let mut wanted: Vec<(bool, (usize, MonoTime), &ReplicaName)> = self
            .replicas
            .iter()
            .filter(|(name, held)| self.is_load_wanted(now, name, held))
            .map(|(name, held)| (held.waiting == 0, held.urgency, name))
            .collect();
        wanted.sort();
        wanted
            .into_iter()
            .map(|(_, _, name)| name.clone())
            .collect()
    }

    pub(super) fn is_load_wanted(
        &self,
        now: MonoTime,
        name: &ReplicaName,
        held: &HeldReplica,
    ) -> bool {
        let is_in_demand = match held.slot {
            Some(SlotState::Granted) => held.waiting > 0,
            Some(SlotState::Warm) => true,
            Some(SlotState::Revoked) | None => false,
        };
        is_in_demand && now >= held.retry_at && !self.holds_any(name)
    }

    pub(super) fn try_load(
        &mut self,
        now: MonoTime,
        replica: &ReplicaName,
        orders: &mut Vec<EngineOrder>,
    ) {
        let Some(held) = self.replicas.get(replica) else {
            return;
        };
        let memory_mb = held.memory_mb;
        let has_waiting = held.waiting > 0;
        let unit = MemoryUnit::Replica(replica.clone());
        match self.ledger.reserve(unit.clone(), memory_mb) {
            Ok(_) => {
                self.replica_entry(replica).load_began = Some(now);
                self.changed.insert(unit.clone(), now);
                orders.push(EngineOrder::Load { unit, memory_mb });
            }
            Err(shortage) if has_waiting => self.free_memory(now, shortage.missing_mb, orders),
            Err(_) => {}
        }
    }

    /// Evicts idle replicas, least recently used first, if together they free enough memory.
    pub(super) fn free_memory(
        &mut self,
        now: MonoTime,
        missing_mb: u64,
        orders: &mut Vec<EngineOrder>,
    ) {
        let unloading_mb: u64 = self
            .ledger
            .entries()
            .filter(|(_, entry)| entry.state == EntryState::Unloading)
            .map(|(_, entry)| entry.memory_mb)
            .sum();
        let mut remaining_mb = missing_mb.saturating_sub(unloading_mb);
        let mut victims = Vec::new();
        for (_, name, memory_mb) in self.eviction_candidates(now) {
            if remaining_mb == 0 {
                break;
            }
            remaining_mb = remaining_mb.saturating_sub(memory_mb);
            victims.push(name);
        }
        if remaining_mb > 0 {
            return;
        }
        for name in victims {
            let unit = MemoryUnit::Replica(name);
            self.begin_unload(now, &unit);
            orders.push(EngineOrder::Unload { unit });
        }
    }

    pub(super) fn eviction_candidates(&self, now: MonoTime) -> Vec<(MonoTime, ReplicaName, u64)> {
        let mut candidates: Vec<(MonoTime, ReplicaName, u64)> = self
            .replicas
            .iter()
            .filter(|(name, _)| self.is_loaded(&MemoryUnit::Replica((*name).clone())))
            .filter(|(_, held)| self.eviction_wait_ms(now, held) == 0)
            .map(|(name, held)| (held.used_at, name.clone(), held.memory_mb))
            .collect();
        candidates.sort();
        candidates
    }

    pub(super) fn orders_in_flight(&self) -> usize {
        let entries = self.ledger.entries();
        entries
            .filter(|(_, e)| matches!(e.state, EntryState::Reserved | EntryState::Unloading))
            .count()
    }

    /// Records the use of an adapter on a replica; returns the load order if the replica is
    /// loaded, the adapter is not, and memory allows it now.
    pub fn request_adapter(
        &mut self,
        now: MonoTime,
        unit: &MemoryUnit,
        memory_mb: u64,
    ) -> Option<EngineOrder> {
        self.adapters.insert(unit.clone(), now);
        let is_known = self.ledger.find(unit).is_some();
        if is_known || !self.is_loaded(&MemoryUnit::Replica(unit.replica().clone())) {
            return None;
        }
        self.ledger.reserve(unit.clone(), memory_mb).ok()?;
        self.changed.insert(unit.clone(), now);
        Some(EngineOrder::Load {
            unit: unit.clone(),
            memory_mb,
        })
    }

    /// Starts to unload the least recently used adapter that is not busy, to free memory for
    /// another one; returns the order, or `None` if there is no such adapter.
    pub fn evict_adapter(
        &mut self,
        now: MonoTime,
        is_busy: impl Fn(&MemoryUnit) -> bool,
    ) -> Option<EngineOrder> {
        let loaded = self
            .adapters
            .iter()
            .filter(|(unit, _)| self.is_loaded(unit) && !is_busy(unit));
        let (unit, _) = loaded.min_by_key(|(_, used_at)| **used_at)?;
        let unit = unit.clone();
        self.begin_unload(now, &unit);
        Some(EngineOrder::Unload { unit })
    }
}
