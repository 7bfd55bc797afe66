//! Property test of the limits on loads by slots and memory, against an engine that crashes and
//! whose responses are late or lost.

use std::collections::BTreeMap;

use proptest::prelude::*;
use quetzalpin::memory::MemoryUnit;
use quetzalpin::placement::{
    EngineHolding, EngineOrder, HoldingPolicy, OrderOutcome, ResidencyManager, ResidencyPolicy,
    SlotState,
};
use quetzalpin::prelude::*;

const CAPACITY_MB: u64 = 100;
const REPLICAS: usize = 6;
const LOAD_MS: u64 = 500;

#[derive(Debug, Clone)]
enum Step {
    Grant(usize),
    Revoke(usize),
    Withdraw(usize),
    Enqueue(usize),
    Serve(usize),
    Advance(u64),
    /// The oldest order takes effect or not, and has a response or not.
    CompleteOrder {
        takes_effect: bool,
        is_answered: bool,
    },
    Report,
    Crash,
}

fn step() -> impl Strategy<Value = Step> {
    let replica = 0..REPLICAS;
    prop_oneof![
        2 => replica.clone().prop_map(Step::Grant),
        1 => replica.clone().prop_map(Step::Revoke),
        1 => replica.clone().prop_map(Step::Withdraw),
        4 => replica.clone().prop_map(Step::Enqueue),
        3 => replica.prop_map(Step::Serve),
        4 => (1..3_000_u64).prop_map(Step::Advance),
        6 => (any::<bool>(), any::<bool>())
            .prop_map(|(takes_effect, is_answered)| Step::CompleteOrder { takes_effect, is_answered }),
        3 => Just(Step::Report),
        1 => Just(Step::Crash),
    ]
}

fn replica(index: usize) -> ReplicaName {
    ReplicaName::of(&ModelName::from(format!("m{index}").as_str()), 1)
}

const fn memory_mb(index: usize) -> u64 {
    20 + 8 * index as u64
}

struct Model {
    manager: ResidencyManager,
    now: MonoTime,
    engine: BTreeMap<MemoryUnit, u64>,
    orders: Vec<EngineOrder>,
    granted: BTreeMap<usize, SlotState>,
}

impl Model {
    fn open() -> Self {
        let policy = ResidencyPolicy {
            holding: HoldingPolicy::Slots,
            min_idle_ms: 1_000,
        };
        let mut manager = ResidencyManager::open(CAPACITY_MB, policy);
        manager.mark_slots_known();
        Self {
            manager,
            now: MonoTime::from_millis(10_000),
            engine: BTreeMap::new(),
            orders: Vec::new(),
            granted: BTreeMap::new(),
        }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Grant(index) => self.set_slot(*index, SlotState::Granted),
            Step::Revoke(index) if self.granted.contains_key(index) => {
                self.set_slot(*index, SlotState::Revoked);
            }
            Step::Withdraw(index) => {
                if self.manager.releasable().contains(&replica(*index)) {
                    assert!(
                        !self.engine_holds(*index),
                        "a slot was released while its replica was loaded"
                    );
                    self.granted.remove(index);
                    self.manager.withdraw(&replica(*index));
                }
            }
            Step::Enqueue(index) if self.manager.accepts(&replica(*index)) => {
                let deadline = self.now + 5_000;
                self.manager
                    .enqueue(self.now, &replica(*index), 0, deadline);
            }
            Step::Serve(index) => self.serve(*index),
            Step::Advance(millis) => self.now = self.now + *millis,
            Step::CompleteOrder {
                takes_effect,
                is_answered,
            } => {
                self.complete_order(*takes_effect, *is_answered);
            }
            Step::Report => self.report(),
            Step::Crash => self.crash(),
            Step::Revoke(_) | Step::Enqueue(_) => {}
        }
        let orders = self.manager.next_orders(self.now);
        for order in &orders {
            self.check_slot(order);
        }
        self.orders.extend(orders);
    }

    fn set_slot(&mut self, index: usize, state: SlotState) {
        self.granted.insert(index, state);
        self.manager
            .grant(&replica(index), state, memory_mb(index), LOAD_MS);
    }

    fn check_slot(&self, order: &EngineOrder) {
        if let EngineOrder::Load { unit, .. } = order {
            let index = (0..REPLICAS).find(|i| replica(*i) == *unit.replica());
            let slot = index.and_then(|index| self.granted.get(&index));
            assert_eq!(slot, Some(&SlotState::Granted), "a load without a slot");
        }
    }

    fn serve(&mut self, index: usize) {
        let name = replica(index);
        if self.manager.is_loaded(&MemoryUnit::Replica(name.clone())) {
            self.manager.dequeue(&name);
            self.manager.begin_run(&name);
            self.manager.end_run(self.now, &name);
        }
    }

    fn complete_order(&mut self, takes_effect: bool, is_answered: bool) {
        if self.orders.is_empty() {
            return;
        }
        let order = self.orders.remove(0);
        if takes_effect {
            match &order {
                EngineOrder::Load { unit, memory_mb } => {
                    self.engine.insert(unit.clone(), *memory_mb);
                }
                EngineOrder::Unload { unit } => {
                    self.engine.remove(unit);
                }
            }
        }
        let outcome = match (is_answered, takes_effect) {
            (false, _) => OrderOutcome::Unanswered,
            (true, true) => OrderOutcome::Done,
            (true, false) => OrderOutcome::Refused,
        };
        self.manager.complete(self.now, &order, outcome);
    }

    fn report(&mut self) {
        let holdings: Vec<EngineHolding> = self
            .engine
            .iter()
            .map(|(unit, memory_mb)| EngineHolding {
                unit: unit.clone(),
                memory_mb: *memory_mb,
                ready: true,
            })
            .collect();
        self.manager.reconcile(self.now, &holdings);
    }

    fn crash(&mut self) {
        self.engine.clear();
        self.manager.clear_after_crash();
        let lost = std::mem::take(&mut self.orders);
        for order in lost {
            self.manager
                .complete(self.now, &order, OrderOutcome::Unanswered);
        }
    }

    fn engine_holds(&self, index: usize) -> bool {
        self.engine
            .keys()
            .any(|unit| *unit.replica() == replica(index))
    }

    fn check(&self) {
        let held: u64 = self.engine.values().sum();
        assert!(held <= CAPACITY_MB, "the engine holds {held} MB");
        let used = self.manager.ledger().used_mb();
        assert!(
            used >= held,
            "the ledger has {used} MB, the engine holds {held} MB"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn loads_stay_within_memory_and_slots_despite_lost_orders(
        steps in proptest::collection::vec(step(), 1..150),
    ) {
        let mut model = Model::open();
        for step in &steps {
            model.apply(step);
            model.check();
        }
    }
}

#[test]
fn an_idle_replica_is_unloaded_and_a_used_one_is_kept() {
    let mut model = Model::open();
    model.apply(&Step::Grant(0));
    model.apply(&Step::Enqueue(0));
    model.apply(&Step::CompleteOrder {
        takes_effect: true,
        is_answered: true,
    });
    model.apply(&Step::Serve(0));
    model.apply(&Step::Advance(900));
    assert!(model.engine_holds(0));
    model.apply(&Step::Advance(5_000));
    model.apply(&Step::CompleteOrder {
        takes_effect: true,
        is_answered: true,
    });
    assert!(!model.engine_holds(0));
}

#[test]
fn two_replicas_that_want_the_same_memory_do_not_thrash() {
    let mut model = Model::open();
    model
        .manager
        .grant(&replica(0), SlotState::Granted, 70, LOAD_MS);
    model
        .manager
        .grant(&replica(1), SlotState::Granted, 70, LOAD_MS);
    model
        .granted
        .extend([(0, SlotState::Granted), (1, SlotState::Granted)]);
    let mut loads = 0;
    for _ in 0..100 {
        for index in 0..2 {
            model.apply(&Step::Enqueue(index));
            model.apply(&Step::Advance(10));
            loads += model
                .orders
                .iter()
                .filter(|o| matches!(o, EngineOrder::Load { .. }))
                .count();
            while !model.orders.is_empty() {
                model.complete_order(true, true);
            }
            model.apply(&Step::Serve(index));
        }
    }
    let elapsed_ms = 2_000;
    let most = usize::try_from(elapsed_ms / LOAD_MS).unwrap_or(0) + 1;
    assert!(loads <= most, "{loads} loads in {elapsed_ms} ms");
}

#[test]
fn nothing_is_unloaded_before_the_slots_are_known() {
    let policy = ResidencyPolicy {
        holding: HoldingPolicy::Slots,
        min_idle_ms: 1_000,
    };
    let mut manager = ResidencyManager::open(CAPACITY_MB, policy);
    let unit = MemoryUnit::Replica(replica(0));
    let holding = EngineHolding {
        unit: unit.clone(),
        memory_mb: 20,
        ready: true,
    };
    let now = MonoTime::from_millis(60_000);
    manager.reconcile(now, &[holding]);
    assert!(manager.accepts(&replica(0)));
    assert_eq!(manager.next_orders(now), []);
    manager.mark_slots_known();
    assert_eq!(manager.next_orders(now), [EngineOrder::Unload { unit }]);
}
