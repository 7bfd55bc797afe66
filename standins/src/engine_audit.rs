//! Audit of an engine stand-in, which tests read.

use std::collections::BTreeMap;

use quetzalpin::memory::MemoryUnit;
use serde::{Deserialize, Serialize};

/// One load or unload of a unit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldingChange {
    /// Milliseconds since the engine's first start.
    pub at_ms: u64,
    /// Replica or adapter.
    pub unit: MemoryUnit,
    /// True from the load command on, also while loading; false once unloaded.
    pub is_held: bool,
}

/// Counters and events since the engine's first start, kept over crashes.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineAudit {
    /// Number of loads rejected because they exceed the free memory.
    pub overcommits: u32,
    /// Number of commands rejected because of a stale fencing token.
    pub fenced: u32,
    /// Number of crashes.
    pub crashes: u32,
    /// Memory held, integrated over time, in megabyte-milliseconds.
    pub held_mb_ms: u64,
    /// Loads and unloads, oldest first.
    pub changes: Vec<HoldingChange>,
    /// How often each request was run, by attempt identifier.
    pub runs: BTreeMap<String, u32>,
    /// How often each prompt crashed the engine.
    pub poisoned: BTreeMap<String, u32>,
}
