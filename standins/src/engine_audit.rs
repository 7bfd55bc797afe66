//! What an engine stand-in did.

use std::collections::BTreeMap;

use quetzalpin::memory::MemoryUnit;
use serde::{Deserialize, Serialize};

/// A change of what the engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldingChange {
    /// Milliseconds since the engine's first start.
    pub at_ms: u64,
    /// What.
    pub unit: MemoryUnit,
    /// True from the load order on, false once unloaded.
    pub is_held: bool,
}

/// What the engine did.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineAudit {
    /// Loads that would have exceeded the memory.
    pub overcommits: u32,
    /// Orders refused for an old fencing number.
    pub fenced: u32,
    /// Crashes.
    pub crashes: u32,
    /// Megabyte-milliseconds held.
    pub held_mb_ms: u64,
    /// Changes of what it holds, oldest first.
    pub changes: Vec<HoldingChange>,
    /// How often each request was run, by attempt.
    pub runs: BTreeMap<String, u32>,
    /// How often each prompt crashed the engine.
    pub poisoned: BTreeMap<String, u32>,
}
