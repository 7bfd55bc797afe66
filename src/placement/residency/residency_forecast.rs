//! Forecasts of when replicas are ready to run requests.

use super::held_replica::HeldReplica;
use super::residency_manager::ResidencyManager;
use crate::memory::{EntryState, MemoryUnit};
use crate::placement::SlotState;
use crate::prelude::*;
use crate::rpc::ReplicaState;

/// Status of one replica on this engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// State of the replica.
    pub state: ReplicaState,
    /// Forecast milliseconds until requests can run.
    pub ready_ms: u64,
    /// Requests in flight.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

impl ResidencyManager {
    /// Each replica's status.
    #[must_use]
    pub fn statuses(&self, now: MonoTime) -> Vec<(ReplicaName, ReplicaStatus)> {
        let replicas = self.replicas.iter();
        replicas
            .map(|(name, held)| (name.clone(), self.status_of(now, name, held)))
            .collect()
    }

    /// Forecast milliseconds until requests for the replica can run here; `None` if the replica
    /// is unknown here.
    #[must_use]
    pub fn ready_ms(&self, now: MonoTime, replica: &ReplicaName) -> Option<u64> {
        let held = self.replicas.get(replica)?;
        Some(self.status_of(now, replica, held).ready_ms)
    }

    /// Total arrivals for a replica.
    #[must_use]
    pub fn arrivals(&self, replica: &ReplicaName) -> u64 {
        self.replicas.get(replica).map_or(0, |held| held.arrivals)
    }

    pub(super) fn status_of(
        &self,
        now: MonoTime,
        name: &ReplicaName,
        held: &HeldReplica,
    ) -> ReplicaStatus {
        let entry = self.ledger.find(&MemoryUnit::Replica(name.clone()));
        let entry_state = entry.map(|(_, entry)| entry.state);
        let is_draining = !matches!(held.slot, Some(SlotState::Granted | SlotState::Warm));
        let (state, ready_ms) = match entry_state {
            _ if is_draining => (ReplicaState::Draining, held.load_ms),
            Some(EntryState::Loaded) => (ReplicaState::Loaded, 0),
            Some(EntryState::Reserved | EntryState::Unconfirmed) => {
                let elapsed_ms = held.load_began.map_or(0, |began| now.millis_since(began));
                (
                    ReplicaState::Loading,
                    held.load_ms.saturating_sub(elapsed_ms).max(1),
                )
            }
            Some(EntryState::Unloading) => (ReplicaState::Granted, held.load_ms),
            None => (
                ReplicaState::Granted,
                held.load_ms + self.memory_wait_ms(now, held),
            ),
        };
        ReplicaStatus {
            state,
            ready_ms,
            running: held.running,
            waiting: held.waiting,
        }
    }

    /// Forecast milliseconds until enough memory can be freed for a replica: the time until
    /// enough other replicas may be evicted.
    pub(super) fn memory_wait_ms(&self, now: MonoTime, wanted: &HeldReplica) -> u64 {
        let mut free_mb = self
            .ledger
            .capacity_mb()
            .saturating_sub(self.ledger.used_mb());
        if free_mb >= wanted.memory_mb {
            return 0;
        }
        let mut waits: Vec<(u64, u64)> = self
            .replicas
            .iter()
            .filter(|(name, _)| self.is_loaded(&MemoryUnit::Replica((*name).clone())))
            .map(|(_, held)| (self.eviction_wait_ms(now, held), held.memory_mb))
            .collect();
        waits.sort_unstable();
        for (wait_ms, memory_mb) in waits {
            free_mb += memory_mb;
            if free_mb >= wanted.memory_mb {
                return wait_ms;
            }
        }
        wanted.load_ms.saturating_mul(10)
    }

    pub(super) fn eviction_wait_ms(&self, now: MonoTime, held: &HeldReplica) -> u64 {
        let hold_until = held.loaded_at + self.policy.min_hold_ms(held.load_ms);
        let busy_ms = if held.running + held.waiting > 0 {
            held.load_ms
        } else {
            0
        };
        hold_until.millis_since(now).max(busy_ms)
    }
}
