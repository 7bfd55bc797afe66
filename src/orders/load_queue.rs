//! Forecasts when loads that wait for the weight store end.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Loads from the weight store in the order in which they begin, a limited number at a time.
#[derive(Debug)]
pub(super) struct LoadQueue {
    /// Milliseconds until each load in progress ends, or each queued one that has been added.
    ends_ms: BinaryHeap<Reverse<u64>>,
    /// At least 1.
    limit: usize,
}

impl LoadQueue {
    /// Creates a queue behind loads in progress, of which at most `limit` run at a time.
    pub fn open(left_ms: Vec<u64>, limit: usize) -> Self {
        Self {
            ends_ms: left_ms.into_iter().map(Reverse).collect(),
            limit: limit.max(1),
        }
    }

    /// Adds a load that takes `load_ms` to the end of the queue. Returns the milliseconds until it
    /// ends.
    pub fn add(&mut self, load_ms: u64) -> u64 {
        let mut begins_ms = 0;
        while self.ends_ms.len() >= self.limit {
            let Some(Reverse(end_ms)) = self.ends_ms.pop() else {
                break;
            };
            begins_ms = end_ms;
        }
        let end_ms = begins_ms + load_ms;
        self.ends_ms.push(Reverse(end_ms));
        end_ms
    }
}
