//! Applies the outcomes of orders and the engine's reports of what it holds.

use super::engine_order::{EngineHolding, EngineOrder, OrderOutcome};
use super::residency_manager::ResidencyManager;
use crate::memory::{EntryState, LedgerKey, MemoryUnit};
use crate::prelude::*;

/// Milliseconds after a failed load before the next attempt.
const RETRY_DELAY_MS: u64 = 500;

/// Milliseconds by which an engine's report of its holdings may lag behind its orders. An order
/// without a response is considered lost only after this time.
const REPORT_LAG_MS: u64 = 2_000;

impl ResidencyManager {
    /// Applies the outcome of an order.
    pub fn complete(&mut self, now: MonoTime, order: &EngineOrder, outcome: OrderOutcome) {
        let (EngineOrder::Load { unit, .. } | EngineOrder::Unload { unit }) = order;
        self.changed.insert(unit.clone(), now);
        match order {
            EngineOrder::Load { unit, .. } => self.complete_load(now, unit, outcome),
            EngineOrder::Unload { unit } => self.complete_unload(unit, outcome),
        }
    }

    pub(super) fn complete_load(
        &mut self,
        now: MonoTime,
        unit: &MemoryUnit,
        outcome: OrderOutcome,
    ) {
        let Some((key, _)) = self.ledger.find(unit) else {
            return;
        };
        match outcome {
            OrderOutcome::Done => {
                self.ledger.set_state(key, EntryState::Loaded);
                self.note_loaded(now, unit);
            }
            OrderOutcome::Refused => {
                self.ledger.release(key);
                self.delay_next_load(now, unit);
            }
            OrderOutcome::Unanswered => {
                self.ledger.set_state(key, EntryState::Unconfirmed);
                self.delay_next_load(now, unit);
            }
        }
    }

    pub(super) fn complete_unload(&mut self, unit: &MemoryUnit, outcome: OrderOutcome) {
        let Some((key, _)) = self.ledger.find(unit) else {
            return;
        };
        match outcome {
            OrderOutcome::Done => {
                self.ledger.release(key);
                self.adapters.remove(unit);
                if let MemoryUnit::Replica(replica) = unit {
                    self.remove_if_unused(&replica.clone());
                }
            }
            OrderOutcome::Refused => self.ledger.set_state(key, EntryState::Loaded),
            OrderOutcome::Unanswered => self.ledger.set_state(key, EntryState::Unconfirmed),
        }
    }

    pub(super) fn delay_next_load(&mut self, now: MonoTime, unit: &MemoryUnit) {
        if let MemoryUnit::Replica(replica) = unit {
            let held = self.replica_entry(&replica.clone());
            held.retry_at = now + RETRY_DELAY_MS;
            held.load_began = None;
        }
    }

    /// Reconciles the ledger with the engine's report of what it holds, requested at
    /// `requested_at`. Unconfirmed entries are confirmed or removed, unknown units are added, and
    /// units that the engine no longer holds are removed. Units with an order or outcome shortly
    /// before the request are skipped.
    pub fn reconcile(&mut self, requested_at: MonoTime, holdings: &[EngineHolding]) {
        self.changed
            .retain(|_, at| requested_at.millis_since(*at) < 2 * REPORT_LAG_MS);
        let entries: Vec<(LedgerKey, MemoryUnit, EntryState)> = self
            .ledger
            .entries()
            .map(|(key, entry)| (key, entry.unit.clone(), entry.state))
            .filter(|(_, unit, _)| self.may_reconcile(requested_at, unit))
            .collect();
        for (key, unit, state) in entries {
            let holding = holdings.iter().find(|holding| holding.unit == unit);
            match (state, holding) {
                (EntryState::Unconfirmed, Some(holding)) if holding.ready => {
                    self.ledger.set_state(key, EntryState::Loaded);
                    self.note_loaded(requested_at, &unit);
                }
                (EntryState::Unconfirmed | EntryState::Loaded, None) => {
                    self.ledger.release(key);
                    self.adapters.remove(&unit);
                }
                _ => {}
            }
        }
        for holding in holdings {
            let is_new = self.ledger.find(&holding.unit).is_none();
            if is_new && self.may_reconcile(requested_at, &holding.unit) {
                let key = self.ledger.adopt(holding.unit.clone(), holding.memory_mb);
                self.note_adopted(requested_at, holding, key);
            }
        }
    }

    /// Whether a report requested at `requested_at` is certain to show the unit's last order and
    /// its outcome.
    pub(super) fn may_reconcile(&self, requested_at: MonoTime, unit: &MemoryUnit) -> bool {
        let changed_at = self.changed.get(unit);
        changed_at.is_none_or(|at| requested_at.millis_since(*at) >= REPORT_LAG_MS)
    }

    pub(super) fn note_adopted(&mut self, now: MonoTime, holding: &EngineHolding, key: LedgerKey) {
        if holding.ready {
            self.note_loaded(now, &holding.unit);
        } else {
            self.ledger.set_state(key, EntryState::Unconfirmed);
        }
        if let MemoryUnit::Replica(replica) = &holding.unit {
            let held = self.replica_entry(&replica.clone());
            held.memory_mb = holding.memory_mb;
        }
    }

    /// Frees all entries after a crash of the engine, which then holds nothing.
    pub fn clear_after_crash(&mut self) {
        let keys: Vec<LedgerKey> = self.ledger.entries().map(|(key, _)| key).collect();
        for key in keys {
            self.ledger.release(key);
        }
        self.adapters.clear();
        self.changed.clear();
        for held in self.replicas.values_mut() {
            held.load_began = None;
        }
    }
}
