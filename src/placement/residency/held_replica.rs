//! Slot, load state and demand of one replica.

use crate::placement::SlotState;
use crate::prelude::*;

/// A replica that is granted, loaded or both.
#[derive(Debug, Clone)]
pub(super) struct HeldReplica {
    /// The slot, or `None` if there is none, so that the replica must be unloaded.
    pub(super) slot: Option<SlotState>,
    pub(super) memory_mb: u64,
    pub(super) load_ms: u64,
    pub(super) running: u32,
    pub(super) waiting: u32,
    /// Order of the most urgent waiting rank and the earliest waiting deadline.
    pub(super) urgency: (usize, MonoTime),
    pub(super) used_at: MonoTime,
    pub(super) loaded_at: MonoTime,
    pub(super) load_began: Option<MonoTime>,
    pub(super) retry_at: MonoTime,
    pub(super) mean_gap_ms: Option<u64>,
    pub(super) arrivals: u64,
}

impl HeldReplica {
    /// A replica without a slot that was never used.
    pub(super) fn unused() -> Self {
        Self {
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
        }
    }
}
