//! Orders to an engine, and what it says.

use serde::{Deserialize, Serialize};

use crate::memory::MemoryUnit;

/// An order for the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineOrder {
    /// Load a unit of the given size in megabytes.
    Load {
        /// What to load.
        unit: MemoryUnit,
        /// Its size.
        memory_mb: u64,
    },
    /// Unload a unit.
    Unload {
        /// What to unload.
        unit: MemoryUnit,
    },
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine did it.
    Done,
    /// The engine refused and changed nothing.
    Refused,
    /// No answer came.
    Unanswered,
}

/// A unit that the engine says it holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineHolding {
    /// What it holds.
    pub unit: MemoryUnit,
    /// Megabytes.
    pub memory_mb: u64,
    /// False while the engine still loads it.
    pub ready: bool,
}
