//! Logs decisions and keeps the newest in memory.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::{SystemTime, UNIX_EPOCH};

use super::{DecisionEvent, DecisionRecord};
use crate::ids::InstanceName;

/// Largest number of records in memory, for `explain`.
const MAX_RECORDS: usize = 2_000;

/// Decision log of one process.
#[derive(Debug)]
pub struct DecisionLog {
    instance: InstanceName,
    records: RefCell<VecDeque<DecisionRecord>>,
}

impl DecisionLog {
    /// Creates an empty log.
    #[must_use]
    pub const fn open(instance: InstanceName) -> Self {
        Self {
            instance,
            records: RefCell::new(VecDeque::new()),
        }
    }

    /// Logs a decision and keeps its record.
    pub fn record(&self, event: DecisionEvent) {
        let record = DecisionRecord {
            at_unix_ms: unix_ms(),
            decided_by: self.instance.clone(),
            event,
        };
        let text = serde_json::to_string(&record).unwrap_or_default();
        log::info!(target: "decision", record = text; "decision");
        let mut records = self.records.borrow_mut();
        if records.len() >= MAX_RECORDS {
            records.pop_front();
        }
        records.push_back(record);
    }

    /// The newest records in memory that pass the filter, at most `limit`, oldest first.
    pub fn select(
        &self,
        limit: usize,
        filter: impl Fn(&DecisionRecord) -> bool,
    ) -> Vec<DecisionRecord> {
        let records = self.records.borrow();
        let newest = records.iter().rev().filter(|record| filter(record));
        let mut selected: Vec<DecisionRecord> = newest.take(limit).cloned().collect();
        selected.reverse();
        selected
    }
}

/// Wall-clock milliseconds since the Unix epoch. The clock may be set back, so use it only for
/// records that people read, for the age of rows and for start IDs.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
