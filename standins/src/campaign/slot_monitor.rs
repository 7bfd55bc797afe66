//! Checks continuously that no engine holds a replica without a slot in the table.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use quetzalpin::placement::PlacementRow;
use quetzalpin::prelude::*;

use crate::process_fleet::ProcessFleet;
use crate::standin_fleet::UpstreamStandin;

/// Interval between two checks.
const POLL_MS: u64 = 10;

/// Counts the checks and collects the violations.
#[derive(Debug, Default)]
pub struct SlotMonitor {
    /// Number of checks, one for each replica held at each interval.
    pub checked: Cell<u64>,
    /// Description of each replica held without a slot, without duplicates.
    pub violations: RefCell<Vec<String>>,
    is_stopped: Cell<bool>,
}

impl SlotMonitor {
    /// Makes [`Self::run`] return after its current check.
    pub fn stop(&self) {
        self.is_stopped.set(true);
    }

    /// Checks the fleet at each interval until [`Self::stop`] is called.
    pub async fn run(self: Rc<Self>, fleet: Rc<RefCell<ProcessFleet>>) {
        while !self.is_stopped.get() {
            self.check_fleet(&fleet.borrow());
            compio::time::sleep(Duration::from_millis(POLL_MS)).await;
        }
    }

    fn check_fleet(&self, fleet: &ProcessFleet) {
        for (number, upstream) in fleet.upstreams.iter().enumerate() {
            let UpstreamStandin::Engine(engine) = upstream else {
                continue;
            };
            let instance = InstanceName::from(format!("worker-{number}").as_str());
            for replica in engine.state.held_replicas() {
                self.checked.set(self.checked.get() + 1);
                let key = PlacementRow::row_key(&replica);
                let row = fleet.platform.state.table.read(&key);
                let placement: Option<PlacementRow> = row.decode().ok().flatten();
                let has_slot = placement.is_some_and(|row| row.slot_of(&instance).is_some());
                if !has_slot {
                    let violation = format!("{instance} holds {replica} without a slot");
                    let mut violations = self.violations.borrow_mut();
                    if !violations.contains(&violation) {
                        violations.push(violation);
                    }
                }
            }
        }
    }
}
