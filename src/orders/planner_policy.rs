//! How the planner uses the weight store and the engines.

/// Limits and weights of the planner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannerPolicy {
    /// Loads from the weight store at once; more only slow one another.
    pub store_loads: usize,
    /// How many of them stay free for models that requests wait for.
    pub reserved_loads: usize,
    /// Further loads that the most urgent requests may start.
    pub urgent_loads: usize,
    /// Milliseconds that a model stays loaded at least.
    pub min_hold_ms: u64,
    /// Percent of an engine's slots above which a busy model gets a further copy.
    pub crowded_percent: u32,
    /// Requests a second for one copy above which a model gets a further one.
    pub copy_rate_per_s: f64,
}

impl Default for PlannerPolicy {
    fn default() -> Self {
        Self {
            store_loads: 4,
            reserved_loads: 1,
            urgent_loads: 2,
            min_hold_ms: 1_200,
            crowded_percent: 35,
            copy_rate_per_s: 4.0,
        }
    }
}
