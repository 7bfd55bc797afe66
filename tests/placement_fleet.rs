//! Property test of planners, leases and agents that share one table, with paused planners, lost
//! responses and dead instances: no engine may hold a replica without a slot in the table.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use proptest::prelude::*;
use quetzalpin::lease::{LeaseHolder, LeaseRow};
use quetzalpin::placement::{
    PLACEMENT_PREFIX, PlacementChange, PlacementPlanner, PlacementRow, PlannerInput, ReplicaDemand,
    SlotState, UpstreamView,
};
use quetzalpin::prelude::*;
use quetzalpin::rpc::ReplicaState;
use quetzalpin::settings::{FleetSettings, SettingsRow, SubtreeName, parse_tree};
use quetzalpin::table::{RowRevision, TableRow, TableTxn, TxnOutcome};
use quetzalpin_standins::TableStandin;

const AGENTS: usize = 5;
const PLANNERS: usize = 2;
const TERM_MS: u64 = 6_000;
const LEASE: &str = "lease/partition/0";

const SETTINGS: &str = "
[fleet]
operator_sha256 = x
partitions = 1
standby_slots = 2
max_slots = 4
[rank.normal]
order = 0
deadline_ms = 1000
[model.a]
memory_mb = 10
load_ms = 1000
[model.b]
memory_mb = 10
load_ms = 1000
";

#[derive(Debug, Clone)]
enum Step {
    Advance(u64),
    /// A planner reads the lease row and acquires or renews the lease if due.
    Lease {
        planner: usize,
        is_answered: bool,
    },
    /// A planner computes its changes; the writes are sent later.
    Decide(usize),
    /// A planner sends its oldest pending write.
    Write {
        planner: usize,
    },
    /// An agent reads its rows and loads or unloads.
    Agent {
        agent: usize,
        wants: bool,
    },
    /// An agent releases its revoked slots.
    ReleaseSlots(usize),
    Demand {
        is_high: bool,
    },
    Kill(usize),
    Leave(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let planner = 0..PLANNERS;
    let agent = 0..AGENTS;
    prop_oneof![
        3 => (1..4_000_u64).prop_map(Step::Advance),
        5 => (planner.clone(), any::<bool>())
            .prop_map(|(planner, is_answered)| Step::Lease { planner, is_answered }),
        4 => planner.clone().prop_map(Step::Decide),
        6 => planner.prop_map(|planner| Step::Write { planner }),
        6 => (agent.clone(), any::<bool>()).prop_map(|(agent, wants)| Step::Agent { agent, wants }),
        3 => agent.clone().prop_map(Step::ReleaseSlots),
        1 => any::<bool>().prop_map(|is_high| Step::Demand { is_high }),
        1 => agent.clone().prop_map(Step::Kill),
        1 => agent.prop_map(Step::Leave),
    ]
}

struct Planner {
    lease: LeaseHolder,
    placement: PlacementPlanner,
    decided: Vec<PlacementChange>,
}

struct Model {
    table: TableStandin,
    settings: FleetSettings,
    now: MonoTime,
    planners: Vec<Planner>,
    /// Replicas that each instance's engine holds; `None` once the instance is dead.
    engines: Vec<Option<BTreeSet<ReplicaName>>>,
    leaving: BTreeSet<usize>,
    is_busy: bool,
    /// Epochs whose holders wrote placement rows, in the order of the writes.
    epochs: Vec<u64>,
}

fn instance(index: usize) -> InstanceName {
    InstanceName::from(format!("i{index}").as_str())
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

impl Model {
    fn open() -> Self {
        let row = SettingsRow {
            subtree: SubtreeName::Root,
            revision: 1,
            text: SETTINGS.to_owned(),
            author: String::new(),
            attempt: AttemptId::new(1),
        };
        let open_planner = |index: usize| Planner {
            lease: LeaseHolder::open(instance(index), address(), index as u64, TERM_MS),
            placement: PlacementPlanner::open(0),
            decided: Vec::new(),
        };
        Self {
            table: TableStandin::default(),
            settings: parse_tree(&[row]).expect("the settings are valid"),
            now: MonoTime::from_millis(1_000),
            planners: (0..PLANNERS).map(open_planner).collect(),
            engines: vec![Some(BTreeSet::new()); AGENTS],
            leaving: BTreeSet::new(),
            is_busy: false,
            epochs: Vec::new(),
        }
    }

    fn rows(&self) -> BTreeMap<ReplicaName, (RowRevision, PlacementRow)> {
        let query = serde_json::from_str(&format!(r#"{{"key":"{PLACEMENT_PREFIX}","since":0}}"#));
        let rows = self.table.scan(&query.expect("a query"));
        let decode = |row: &TableRow| {
            let placement: PlacementRow = row.decode().ok()??;
            Some((placement.replica.clone(), (row.revision, placement)))
        };
        rows.iter().filter_map(decode).collect()
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Advance(millis) => self.now = self.now + *millis,
            Step::Lease {
                planner,
                is_answered,
            } => self.update_lease(*planner, *is_answered),
            Step::Decide(planner) => self.decide(*planner),
            Step::Write { planner } => self.write(*planner),
            Step::Agent { agent, wants } => self.run_agent(*agent, *wants),
            Step::ReleaseSlots(agent) => self.release_slots(*agent),
            Step::Demand { is_high } => self.is_busy = *is_high,
            Step::Kill(agent) => {
                self.engines[*agent] = None;
                self.leaving.remove(agent);
            }
            Step::Leave(agent) => {
                self.leaving.insert(*agent);
            }
        }
    }

    fn update_lease(&mut self, index: usize, is_answered: bool) {
        let now = self.now;
        let row = self.table.read(LEASE);
        let value: Option<LeaseRow> = row.decode().expect("a lease row");
        let lease = &mut self.planners[index].lease;
        lease.observe(now, row.revision, value);
        let Some(intent) = lease.intent(now, true) else {
            return;
        };
        let txn = TableTxn::default()
            .check(LEASE, intent.expected)
            .write(LEASE, &intent.row)
            .expect("encodes");
        let outcome = self.table.commit(&txn);
        if let (TxnOutcome::Committed(revision), true) = (outcome, is_answered) {
            lease.record_commit(now, &intent, revision);
        }
    }

    fn input(&self) -> PlannerInput {
        let alive = self.engines.iter().enumerate();
        let upstreams = alive
            .filter_map(|(index, engine)| {
                let held = engine.as_ref()?.iter();
                Some(UpstreamView {
                    instance: instance(index),
                    zone: ZoneName::from(format!("z{}", index % 2).as_str()),
                    region: RegionName::from("r"),
                    memory_mb: 100,
                    is_usable: !self.leaving.contains(&index),
                    cached: Vec::new(),
                    states: held.map(|r| (r.clone(), ReplicaState::Loaded)).collect(),
                })
            })
            .collect();
        let dead = (0..AGENTS).filter(|index| self.engines[*index].is_none());
        let demand = ReplicaDemand {
            arrivals_milli: if self.is_busy { 50_000 } else { 0 },
            refusals_milli: 0,
            service_ms: 500,
            limit: 16,
            running: 0,
            waiting: 0,
        };
        PlannerInput {
            upstreams,
            gone: dead.map(instance).collect(),
            leaving: self.leaving.iter().map(|index| instance(*index)).collect(),
            rows: self.rows(),
            demand: ["a@1", "b@1"]
                .map(|name| (ReplicaName::from(name), demand))
                .into(),
        }
    }

    fn decide(&mut self, index: usize) {
        if !self.planners[index].lease.is_held(self.now) {
            return;
        }
        let input = self.input();
        let planner = &mut self.planners[index];
        planner.decided = planner.placement.plan(self.now, &self.settings, &input);
    }

    /// Sends the write however old the plan is; only the checks of lease and row revision guard it.
    fn write(&mut self, index: usize) {
        if self.planners[index].decided.is_empty() {
            return;
        }
        let change = self.planners[index].decided.remove(0);
        let lease = &self.planners[index].lease;
        let (Some(revision), Some(epoch)) = (lease.held_revision(self.now), lease.epoch()) else {
            return;
        };
        let key = PlacementRow::row_key(&change.row.replica);
        let txn = TableTxn::default()
            .check(LEASE, revision)
            .check(&key, change.expected);
        let txn = if change.row.slots.is_empty() {
            txn.delete(&key)
        } else {
            txn.write(&key, &change.row).expect("encodes")
        };
        if let TxnOutcome::Committed(_) = self.table.commit(&txn) {
            self.epochs.push(epoch);
        }
    }

    fn run_agent(&mut self, index: usize, wants: bool) {
        let rows = self.rows();
        let Some(engine) = &mut self.engines[index] else {
            return;
        };
        for (replica, (_, row)) in rows {
            match row.slot_of(&instance(index)).map(|slot| slot.state) {
                Some(SlotState::Granted) if wants => {
                    engine.insert(replica);
                }
                Some(SlotState::Warm) => {
                    engine.insert(replica);
                }
                Some(SlotState::Granted) => {}
                Some(SlotState::Revoked) | None => {
                    engine.remove(&replica);
                }
            }
        }
    }

    fn release_slots(&mut self, index: usize) {
        let Some(engine) = &self.engines[index] else {
            return;
        };
        for (replica, (revision, mut row)) in self.rows() {
            let slot = row.slot_of(&instance(index)).map(|slot| slot.state);
            if slot == Some(SlotState::Revoked) && !engine.contains(&replica) {
                row.slots.retain(|slot| slot.instance != instance(index));
                let key = PlacementRow::row_key(&replica);
                let txn = TableTxn::default().check(&key, revision);
                self.table.commit(&txn.write(&key, &row).expect("encodes"));
            }
        }
    }

    fn check(&self) {
        let rows = self.rows();
        for (index, engine) in self.engines.iter().enumerate() {
            for replica in engine.iter().flatten() {
                let row = rows.get(replica).map(|(_, row)| row);
                let slot = row.and_then(|row| row.slot_of(&instance(index)));
                assert!(
                    slot.is_some(),
                    "{replica} is loaded at {index} without a slot"
                );
            }
        }
        for (_, row) in rows.values() {
            let active = row
                .slots
                .iter()
                .filter(|s| s.state != SlotState::Revoked)
                .count();
            assert!(active <= 4, "{active} slots of {}", row.replica);
            let mut holders: Vec<_> = row.slots.iter().map(|slot| &slot.instance).collect();
            holders.sort();
            holders.dedup();
            assert_eq!(holders.len(), row.slots.len(), "an instance has two slots");
        }
        assert!(
            self.epochs.is_sorted(),
            "a planner with an older epoch wrote after one with a newer epoch"
        );
        let holding = self
            .planners
            .iter()
            .filter(|p| p.lease.is_held(self.now))
            .count();
        assert!(holding <= 1, "two planners hold the lease");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_replica_is_loaded_without_a_slot(
        steps in proptest::collection::vec(step(), 1..200),
    ) {
        let mut model = Model::open();
        for step in &steps {
            model.apply(step);
            model.check();
        }
    }
}

/// Returns a model in which planner 0 has placed both replicas.
fn placed_model() -> Model {
    let mut model = Model::open();
    model.apply(&Step::Lease {
        planner: 0,
        is_answered: true,
    });
    model.apply(&Step::Decide(0));
    model.apply(&Step::Write { planner: 0 });
    model.apply(&Step::Write { planner: 0 });
    model
}

#[test]
fn idle_replicas_get_slots_in_different_zones() {
    let model = placed_model();
    for (_, row) in model.rows().values() {
        assert_eq!(row.slots.len(), 2);
        let zone = |name: &InstanceName| name.as_str()[1..].parse::<usize>().map(|i| i % 2);
        assert_ne!(zone(&row.slots[0].instance), zone(&row.slots[1].instance));
    }
}

#[test]
fn a_planner_paused_between_plan_and_write_is_fenced() {
    let mut model = placed_model();
    model.apply(&Step::Demand { is_high: true });
    model.apply(&Step::Decide(0));
    assert!(!model.planners[0].decided.is_empty());
    let before = model.rows();
    let late_revision = model.planners[0].lease.held_revision(model.now);
    let change = model.planners[0].decided[0].clone();
    model.apply(&Step::Lease {
        planner: 1,
        is_answered: true,
    });
    model.apply(&Step::Advance(TERM_MS + 1));
    model.apply(&Step::Lease {
        planner: 1,
        is_answered: true,
    });
    assert!(model.planners[1].lease.is_held(model.now));
    let key = PlacementRow::row_key(&change.row.replica);
    let txn = TableTxn::default()
        .check(LEASE, late_revision.expect("the lease was held"))
        .check(&key, change.expected)
        .write(&key, &change.row)
        .expect("encodes");
    assert!(matches!(model.table.commit(&txn), TxnOutcome::Conflict(_)));
    assert_eq!(model.rows(), before);
}

#[test]
fn a_leaving_instance_is_replaced() {
    let mut model = placed_model();
    let holder = model
        .rows()
        .values()
        .next()
        .map(|(_, row)| row.slots[0].instance.clone());
    let holder = holder.expect("a slot");
    let index: usize = holder.as_str()[1..].parse().expect("an index");
    model.apply(&Step::Leave(index));
    model.apply(&Step::Decide(0));
    while !model.planners[0].decided.is_empty() {
        model.apply(&Step::Write { planner: 0 });
    }
    model.apply(&Step::ReleaseSlots(index));
    for (_, row) in model.rows().values() {
        assert!(row.slot_of(&holder).is_none());
        assert_eq!(row.slots.len(), 2);
    }
}
