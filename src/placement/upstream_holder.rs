//! Decides which orders one engine gets, within its slots and its memory.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{ResidencyPolicy, SlotState};
use crate::memory::{HoldState, LedgerKey, MemoryLedger, MemoryUnit};
use crate::prelude::*;
use crate::rpc::ReplicaState;

/// Orders on their way to one engine at a time.
const MAX_ORDERS: usize = 4;

/// Milliseconds after a failed load before the next try.
const RETRY_PAUSE_MS: u64 = 500;

/// Milliseconds by which an engine's report of its holdings may lag behind its orders. An
/// order without an answer is taken for lost only after them.
const REPORT_LAG_MS: u64 = 2_000;

/// Weight of a new gap in the mean gap between requests is one over this.
const GAP_SMOOTHING: u64 = 4;

/// An order for the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineOrder {
    /// Load a unit of the given size in megabytes.
    Load {
        /// What to load.
        unit: MemoryUnit,
        /// Its size.
        memory_mb: u64,
    },
    /// Unload a unit.
    Unload {
        /// What to unload.
        unit: MemoryUnit,
    },
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine did it.
    Done,
    /// The engine refused and changed nothing.
    Refused,
    /// No answer came.
    Unanswered,
}

/// A unit that the engine says it holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineHolding {
    /// What it holds.
    pub unit: MemoryUnit,
    /// Megabytes.
    pub memory_mb: u64,
    /// False while the engine still loads it.
    pub ready: bool,
}

/// One replica as the holder sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// How far it is.
    pub state: ReplicaState,
    /// Forecast milliseconds until requests can run.
    pub ready_ms: u64,
    /// Requests handed over and not answered.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

#[derive(Debug, Clone)]
struct HeldReplica {
    /// The slot, or `None` where no slot grants it and it must go.
    slot: Option<SlotState>,
    memory_mb: u64,
    load_ms: u64,
    running: u32,
    waiting: u32,
    /// Order of the most urgent waiting rank and the earliest waiting deadline.
    urgency: (usize, MonoTime),
    used_at: MonoTime,
    loaded_at: MonoTime,
    load_began: Option<MonoTime>,
    retry_at: MonoTime,
    mean_gap_ms: Option<u64>,
    arrivals: u64,
}

/// State of one engine's memory and slots. Loads happen only within slots and memory;
/// an unanswered order keeps its memory until the engine's own state settles it.
#[derive(Debug)]
pub struct UpstreamHolder {
    ledger: MemoryLedger,
    replicas: BTreeMap<ReplicaName, HeldReplica>,
    /// Last use of each adapter.
    adapters: BTreeMap<MemoryUnit, MonoTime>,
    /// Last order or outcome of each unit; reports read before it say nothing.
    changed: BTreeMap<MemoryUnit, MonoTime>,
    /// False until the slots have been read once; until then nothing is unloaded for want
    /// of a slot, and loaded replicas serve.
    slots_known: bool,
    policy: ResidencyPolicy,
}

impl UpstreamHolder {
    /// Opens a holder for an engine with the given memory.
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

    /// Takes over a changed policy.
    pub const fn set_policy(&mut self, policy: ResidencyPolicy) {
        self.policy = policy;
    }

    /// The memory ledger.
    #[must_use]
    pub const fn ledger(&self) -> &MemoryLedger {
        &self.ledger
    }

    /// All slots have been read at least once.
    pub const fn slots_read(&mut self) {
        self.slots_known = true;
    }

    /// Takes a slot, with the replica's size and load time.
    pub fn grant(&mut self, replica: &ReplicaName, slot: SlotState, memory_mb: u64, load_ms: u64) {
        let held = self.replica_entry(replica);
        held.slot = Some(slot);
        held.memory_mb = memory_mb;
        held.load_ms = load_ms;
    }

    /// Takes a slot away; what is loaded under it will be unloaded.
    pub fn withdraw(&mut self, replica: &ReplicaName) {
        if let Some(held) = self.replicas.get_mut(replica) {
            held.slot = None;
        }
        self.forget_if_unused(replica);
    }

    /// Slots held, revoked ones included.
    #[must_use]
    pub fn slots(&self) -> Vec<(ReplicaName, SlotState)> {
        let replicas = self.replicas.iter();
        replicas
            .filter_map(|(name, held)| held.slot.map(|slot| (name.clone(), slot)))
            .collect()
    }

    /// Revoked slots whose replica the engine no longer holds, so that they can be given up.
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

    /// Whether a request for the unit can be handed over now.
    #[must_use]
    pub fn is_loaded(&self, unit: &MemoryUnit) -> bool {
        let entry = self.ledger.find(unit);
        entry.is_some_and(|(_, entry)| entry.state == HoldState::Loaded)
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
            let mean = held.mean_gap_ms.unwrap_or(gap_ms);
            held.mean_gap_ms = Some((mean * (GAP_SMOOTHING - 1) + gap_ms) / GAP_SMOOTHING);
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

    /// A waiting request is handed over or gone.
    pub fn dequeue(&mut self, replica: &ReplicaName) {
        if let Some(held) = self.replicas.get_mut(replica) {
            held.waiting = held.waiting.saturating_sub(1);
        }
    }

    /// A request is handed over.
    pub fn begin_run(&mut self, replica: &ReplicaName) {
        self.replica_entry(replica).running += 1;
    }

    /// A request has ended.
    pub fn end_run(&mut self, now: MonoTime, replica: &ReplicaName) {
        if let Some(held) = self.replicas.get_mut(replica) {
            held.running = held.running.saturating_sub(1);
            held.used_at = now;
        }
    }

    /// Wants an adapter on a loaded replica; returns the order if it must be loaded first
    /// and memory allows it now.
    pub fn want_adapter(
        &mut self,
        now: MonoTime,
        unit: &MemoryUnit,
        memory_mb: u64,
    ) -> Option<EngineOrder> {
        self.adapters.insert(unit.clone(), now);
        let known = self.ledger.find(unit).is_some();
        if known || !self.is_loaded(&MemoryUnit::Replica(unit.replica().clone())) {
            return None;
        }
        self.ledger.reserve(unit.clone(), memory_mb).ok()?;
        self.changed.insert(unit.clone(), now);
        Some(EngineOrder::Load {
            unit: unit.clone(),
            memory_mb,
        })
    }

    /// The adapter that an unload should free first for another adapter, if any.
    pub fn evict_adapter(
        &mut self,
        now: MonoTime,
        busy: impl Fn(&MemoryUnit) -> bool,
    ) -> Option<EngineOrder> {
        let loaded = self
            .adapters
            .iter()
            .filter(|(unit, _)| self.is_loaded(unit) && !busy(unit));
        let (unit, _) = loaded.min_by_key(|(_, used_at)| **used_at)?;
        let unit = unit.clone();
        self.begin_unload(now, &unit);
        Some(EngineOrder::Unload { unit })
    }

    /// Decides the next orders.
    pub fn next_orders(&mut self, now: MonoTime) -> Vec<EngineOrder> {
        let mut orders = self.due_unloads(now);
        for replica in self.wanted(now) {
            if self.orders_under_way() >= MAX_ORDERS {
                break;
            }
            self.try_load(now, &replica, &mut orders);
        }
        orders
    }

    /// Takes the outcome of an order.
    pub fn complete(&mut self, now: MonoTime, order: &EngineOrder, outcome: OrderOutcome) {
        let (EngineOrder::Load { unit, .. } | EngineOrder::Unload { unit }) = order;
        self.changed.insert(unit.clone(), now);
        match order {
            EngineOrder::Load { unit, .. } => self.complete_load(now, unit, outcome),
            EngineOrder::Unload { unit } => self.complete_unload(unit, outcome),
        }
    }

    /// Takes what the engine says it holds, as asked at `asked_at`. Doubtful entries are
    /// settled by it, unknown units enter the ledger, and units that vanished leave it.
    /// Units with an order or outcome shortly before the question are left alone.
    pub fn reconcile(&mut self, asked_at: MonoTime, holdings: &[EngineHolding]) {
        self.changed
            .retain(|_, at| asked_at.millis_since(*at) < 2 * REPORT_LAG_MS);
        let entries: Vec<(LedgerKey, MemoryUnit, HoldState)> = self
            .ledger
            .entries()
            .map(|(key, entry)| (key, entry.unit.clone(), entry.state))
            .filter(|(_, unit, _)| self.is_settled(asked_at, unit))
            .collect();
        for (key, unit, state) in entries {
            let holding = holdings.iter().find(|holding| holding.unit == unit);
            match (state, holding) {
                (HoldState::Doubtful, Some(holding)) if holding.ready => {
                    self.ledger.set_state(key, HoldState::Loaded);
                    self.note_loaded(asked_at, &unit);
                }
                (HoldState::Doubtful | HoldState::Loaded, None) => {
                    self.ledger.release(key);
                    self.adapters.remove(&unit);
                }
                _ => {}
            }
        }
        for holding in holdings {
            let is_new = self.ledger.find(&holding.unit).is_none();
            if is_new && self.is_settled(asked_at, &holding.unit) {
                let key = self.ledger.adopt(holding.unit.clone(), holding.memory_mb);
                self.note_adopted(asked_at, holding, key);
            }
        }
    }

    fn is_settled(&self, asked_at: MonoTime, unit: &MemoryUnit) -> bool {
        let changed_at = self.changed.get(unit);
        changed_at.is_none_or(|at| asked_at.millis_since(*at) >= REPORT_LAG_MS)
    }

    /// The engine died; it holds nothing.
    pub fn engine_lost(&mut self) {
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

    /// Each replica's status.
    #[must_use]
    pub fn statuses(&self, now: MonoTime) -> Vec<(ReplicaName, ReplicaStatus)> {
        let replicas = self.replicas.iter();
        replicas
            .map(|(name, held)| (name.clone(), self.status_of(now, name, held)))
            .collect()
    }

    /// Forecast milliseconds until requests for the replica can run here.
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

    fn status_of(&self, now: MonoTime, name: &ReplicaName, held: &HeldReplica) -> ReplicaStatus {
        let entry = self.ledger.find(&MemoryUnit::Replica(name.clone()));
        let entry_state = entry.map(|(_, entry)| entry.state);
        let draining = !matches!(held.slot, Some(SlotState::Granted | SlotState::Warm));
        let (state, ready_ms) = match entry_state {
            _ if draining => (ReplicaState::Draining, held.load_ms),
            Some(HoldState::Loaded) => (ReplicaState::Loaded, 0),
            Some(HoldState::Reserved | HoldState::Doubtful) => {
                let spent = held.load_began.map_or(0, |began| now.millis_since(began));
                (
                    ReplicaState::Loading,
                    held.load_ms.saturating_sub(spent).max(1),
                )
            }
            Some(HoldState::Unloading) => (ReplicaState::Granted, held.load_ms),
            None => (
                ReplicaState::Granted,
                held.load_ms + self.room_ms(now, held),
            ),
        };
        ReplicaStatus {
            state,
            ready_ms,
            running: held.running,
            waiting: held.waiting,
        }
    }

    /// Forecast milliseconds until room can be made for a replica: the time until enough
    /// other replicas may be pushed out.
    fn room_ms(&self, now: MonoTime, wanted: &HeldReplica) -> u64 {
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

    fn eviction_wait_ms(&self, now: MonoTime, held: &HeldReplica) -> u64 {
        let hold_until = held.loaded_at + self.policy.min_hold_ms(held.load_ms);
        let busy_ms = if held.running + held.waiting > 0 {
            held.load_ms
        } else {
            0
        };
        hold_until.millis_since(now).max(busy_ms)
    }

    fn due_unloads(&mut self, now: MonoTime) -> Vec<EngineOrder> {
        let due: Vec<MemoryUnit> = self
            .ledger
            .entries()
            .filter(|(_, entry)| entry.state == HoldState::Loaded)
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

    fn is_unload_due(&self, now: MonoTime, unit: &MemoryUnit) -> bool {
        let MemoryUnit::Replica(replica) = unit else {
            let below = MemoryUnit::Replica(unit.replica().clone());
            return self.ledger.find(&below).is_none();
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
    fn wanted(&self, now: MonoTime) -> Vec<ReplicaName> {
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

    fn is_load_wanted(&self, now: MonoTime, name: &ReplicaName, held: &HeldReplica) -> bool {
        let in_demand = match held.slot {
            Some(SlotState::Granted) => held.waiting > 0,
            Some(SlotState::Warm) => true,
            Some(SlotState::Revoked) | None => false,
        };
        in_demand && now >= held.retry_at && !self.holds_any(name)
    }

    fn try_load(&mut self, now: MonoTime, replica: &ReplicaName, orders: &mut Vec<EngineOrder>) {
        let Some(held) = self.replicas.get(replica) else {
            return;
        };
        let memory_mb = held.memory_mb;
        let demanded = held.waiting > 0;
        let unit = MemoryUnit::Replica(replica.clone());
        match self.ledger.reserve(unit.clone(), memory_mb) {
            Ok(_) => {
                self.replica_entry(replica).load_began = Some(now);
                self.changed.insert(unit.clone(), now);
                orders.push(EngineOrder::Load { unit, memory_mb });
            }
            Err(short) if demanded => self.make_room(now, short.missing_mb, orders),
            Err(_) => {}
        }
    }

    /// Unloads idle replicas, least recently used first, if together they make enough room.
    fn make_room(&mut self, now: MonoTime, missing_mb: u64, orders: &mut Vec<EngineOrder>) {
        let under_way_mb: u64 = self
            .ledger
            .entries()
            .filter(|(_, entry)| entry.state == HoldState::Unloading)
            .map(|(_, entry)| entry.memory_mb)
            .sum();
        let mut still_missing = missing_mb.saturating_sub(under_way_mb);
        let mut victims = Vec::new();
        for (_, name, memory_mb) in self.eviction_candidates(now) {
            if still_missing == 0 {
                break;
            }
            still_missing = still_missing.saturating_sub(memory_mb);
            victims.push(name);
        }
        if still_missing > 0 {
            return;
        }
        for name in victims {
            let unit = MemoryUnit::Replica(name);
            self.begin_unload(now, &unit);
            orders.push(EngineOrder::Unload { unit });
        }
    }

    fn eviction_candidates(&self, now: MonoTime) -> Vec<(MonoTime, ReplicaName, u64)> {
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

    fn begin_unload(&mut self, now: MonoTime, unit: &MemoryUnit) {
        self.changed.insert(unit.clone(), now);
        if let Some((key, _)) = self.ledger.find(unit) {
            self.ledger.set_state(key, HoldState::Unloading);
        }
    }

    fn complete_load(&mut self, now: MonoTime, unit: &MemoryUnit, outcome: OrderOutcome) {
        let Some((key, _)) = self.ledger.find(unit) else {
            return;
        };
        match outcome {
            OrderOutcome::Done => {
                self.ledger.set_state(key, HoldState::Loaded);
                self.note_loaded(now, unit);
            }
            OrderOutcome::Refused => {
                self.ledger.release(key);
                self.pause_loads(now, unit);
            }
            OrderOutcome::Unanswered => {
                self.ledger.set_state(key, HoldState::Doubtful);
                self.pause_loads(now, unit);
            }
        }
    }

    fn complete_unload(&mut self, unit: &MemoryUnit, outcome: OrderOutcome) {
        let Some((key, _)) = self.ledger.find(unit) else {
            return;
        };
        match outcome {
            OrderOutcome::Done => {
                self.ledger.release(key);
                self.adapters.remove(unit);
                if let MemoryUnit::Replica(replica) = unit {
                    self.forget_if_unused(&replica.clone());
                }
            }
            OrderOutcome::Refused => self.ledger.set_state(key, HoldState::Loaded),
            OrderOutcome::Unanswered => self.ledger.set_state(key, HoldState::Doubtful),
        }
    }

    fn pause_loads(&mut self, now: MonoTime, unit: &MemoryUnit) {
        if let MemoryUnit::Replica(replica) = unit {
            let held = self.replica_entry(&replica.clone());
            held.retry_at = now + RETRY_PAUSE_MS;
            held.load_began = None;
        }
    }

    fn note_loaded(&mut self, now: MonoTime, unit: &MemoryUnit) {
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

    fn note_adopted(&mut self, now: MonoTime, holding: &EngineHolding, key: LedgerKey) {
        if holding.ready {
            self.note_loaded(now, &holding.unit);
        } else {
            self.ledger.set_state(key, HoldState::Doubtful);
        }
        if let MemoryUnit::Replica(replica) = &holding.unit {
            let held = self.replica_entry(&replica.clone());
            held.memory_mb = holding.memory_mb;
        }
    }

    fn orders_under_way(&self) -> usize {
        let entries = self.ledger.entries();
        entries
            .filter(|(_, e)| matches!(e.state, HoldState::Reserved | HoldState::Unloading))
            .count()
    }

    fn holds_any(&self, replica: &ReplicaName) -> bool {
        let mut entries = self.ledger.entries();
        entries.any(|(_, entry)| entry.unit.replica() == replica)
    }

    fn forget_if_unused(&mut self, replica: &ReplicaName) {
        let unused = self
            .replicas
            .get(replica)
            .is_some_and(|held| held.slot.is_none() && held.running == 0 && held.waiting == 0);
        if unused && !self.holds_any(replica) {
            self.replicas.remove(replica);
        }
    }

    fn replica_entry(&mut self, replica: &ReplicaName) -> &mut HeldReplica {
        self.replicas
            .entry(replica.clone())
            .or_insert_with(|| HeldReplica {
                slot: None,
                memory_mb: 0,
                load_ms: 0,
                running: 0,
                waiting: 0,
                urgency: (usize::MAX, MonoTime::default()),
                used_at: MonoTime::default(),
                loaded_at: MonoTime::default(),
                load_began: None,
                retry_at: MonoTime::default(),
                mean_gap_ms: None,
                arrivals: 0,
            })
    }
}
