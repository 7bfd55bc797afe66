//! The state that an engine reports and the commands that it accepts.

use serde::{Deserialize, Serialize};

use crate::memory::MemoryUnit;
use crate::placement::EngineHolding;
use crate::prelude::*;

/// An engine's state as it reports it; the report lags behind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Changes with each start of the engine.
    pub boot_id: u64,
    /// Highest fencing token accepted; `None` if the engine ignores fencing tokens.
    pub fence: Option<u64>,
    /// Largest batch, in requests.
    pub max_batch: u32,
    /// Units that it holds in memory.
    pub holdings: Vec<EngineHolding>,
    /// Attempts that it is running.
    pub running: Vec<AttemptId>,
    /// Checkpoints in the instance's memory or on its disk.
    pub cached: Vec<ReplicaName>,
}

/// Command to load a unit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadCommand {
    /// The unit.
    pub unit: MemoryUnit,
    /// Its size in megabytes.
    pub memory_mb: u64,
    /// Fencing token of the sender.
    pub fence: u64,
}

/// Command to unload a unit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnloadCommand {
    /// The unit.
    pub unit: MemoryUnit,
    /// Fencing token of the sender.
    pub fence: u64,
}
