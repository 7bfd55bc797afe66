//! What an engine reports, and the orders it takes.

use serde::{Deserialize, Serialize};

use crate::memory::MemoryUnit;
use crate::placement::EngineHolding;
use crate::prelude::*;

/// An engine's report of itself. It lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Changes with each start of the engine.
    pub boot_id: u64,
    /// Highest fencing number accepted; `None` if the engine ignores them.
    pub fence: Option<u64>,
    /// Requests that it batches at most.
    pub max_batch: u32,
    /// What it holds.
    pub holdings: Vec<EngineHolding>,
    /// Requests that it runs.
    pub running: Vec<AttemptId>,
    /// Checkpoints in the instance's memory or on its disk.
    pub cached: Vec<ReplicaName>,
}

/// Order to load a unit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadCommand {
    /// What.
    pub unit: MemoryUnit,
    /// Its size in megabytes.
    pub memory_mb: u64,
    /// Fencing number of the sender.
    pub fence: u64,
}

/// Order to unload a unit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnloadCommand {
    /// What.
    pub unit: MemoryUnit,
    /// Fencing number of the sender.
    pub fence: u64,
}
