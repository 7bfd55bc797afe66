//! Load and unload orders to an engine, their outcomes, and the engine's reports.

use serde::{Deserialize, Serialize};

use crate::memory::MemoryUnit;

/// A load or unload order for the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineOrder {
    /// Load a unit of the given size in megabytes.
    Load {
        /// What to load.
        unit: MemoryUnit,
        /// Its size in megabytes.
        memory_mb: u64,
    },
    /// Unload a unit.
    Unload {
        /// What to unload.
        unit: MemoryUnit,
    },
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine carried the order out.
    Done,
    /// The engine refused and changed nothing.
    Refused,
    /// No response came, so the order may or may not have taken effect.
    Unanswered,
}

/// A unit that the engine reports as held.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineHolding {
    /// The unit.
    pub unit: MemoryUnit,
    /// Memory used in megabytes.
    pub memory_mb: u64,
    /// False while the engine is still loading it.
    pub ready: bool,
}
