//! Writes decisions to the log and keeps the newest in memory.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::{SystemTime, UNIX_EPOCH};

use super::{DecisionEvent, DecisionRecord};
use crate::ids::InstanceName;

/// Decisions kept for `explain`.
const KEPT_RECORDS: usize = 2_000;

/// Decision log of one process.
#[derive(Debug)]
pub struct DecisionLog {
    instance: InstanceName,
    records: RefCell<VecDeque<DecisionRecord>>,
}

impl DecisionLog {
    /// Opens an empty log.
    #[must_use]
    pub const fn open(instance: InstanceName) -> Self {
        Self {
            instance,
            records: RefCell::new(VecDeque::new()),
        }
    }

    /// Writes one line and keeps the record.
    pub fn record(&self, event: DecisionEvent) {
        let record = DecisionRecord {
            at_unix_ms: unix_ms(),
            decided_by: self.instance.clone(),
            event,
        };
        let text = serde_json::to_string(&record).unwrap_or_default();
        log::info!(target: "decision", record = text; "decision");
        let mut records = self.records.borrow_mut();
        if records.len() >= KEPT_RECORDS {
            records.pop_front();
        }
        records.push_back(record);
    }

    /// The kept records that a filter allows, oldest first, at most `limit` of the newest.
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

/// Milliseconds since the Unix epoch; only for people and for ageing rows.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
