//! Waiting requests.

use super::RankKey;
use crate::prelude::*;

slotmap::new_key_type! {
    /// Key of a waiting request in its queue.
    pub struct WorkKey;
}

/// A waiting request as the queue sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkItem {
    /// Rank in the queue's order.
    pub rank: RankKey,
    /// The team, for fair shares within the rank.
    pub team: TeamName,
    /// The team's weight; at least one.
    pub share: u32,
    /// Time by which the answer is due.
    pub deadline: MonoTime,
    /// Forecast run time in milliseconds.
    pub service_ms: u64,
    /// Forecast milliseconds from dispatch to what the deadline applies to: the first token of
    /// a stream, otherwise the complete answer.
    pub needed_ms: u64,
    /// Replica that must be loaded to run it, or `None` for plain services.
    pub replica: Option<ReplicaName>,
    /// Whether it was in flight at a crash; only one suspect runs at a time.
    pub is_suspect: bool,
}
