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
    /// The rank.
    pub rank: RankKey,
    /// The team, for fair shares within the rank.
    pub team: TeamName,
    /// The team's weight; at least one.
    pub share: u32,
    /// Point by which the answer is due.
    pub deadline: MonoTime,
    /// Forecast milliseconds that it will run.
    pub service_ms: u64,
    /// Forecast milliseconds from the hand-over to what the deadline asks for: the first
    /// token of a stream, otherwise the whole answer.
    pub needed_ms: u64,
    /// What must be loaded to run it, or `None` for plain services.
    pub replica: Option<ReplicaName>,
    /// Seen in flight at a crash; runs alone among suspects.
    pub suspect: bool,
}
