//! How the planner uses the weight store and the engines.

/// Limits and weights of the planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerPolicy {
    /// Loads from the weight store at once; more only slow one another.
    pub store_loads: usize,
    /// Milliseconds that a model stays loaded at least.
    pub min_hold_ms: u64,
    /// Percent of an engine's slots above which a busy model gets a further copy.
    pub crowded_percent: u32,
}

impl Default for PlannerPolicy {
    fn default() -> Self {
        Self {
            store_loads: 4,
            min_hold_ms: 1_200,
            crowded_percent: 50,
        }
    }
}
