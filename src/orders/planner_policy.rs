//! Limits on the planner's use of the weight store and the engines.

/// Limits and thresholds of the planner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannerPolicy {
    /// Maximum number of concurrent loads from the weight store; more only slow each other down.
    pub store_loads: usize,
    /// How many of `store_loads` a prefetch must leave free for models that requests wait for.
    pub reserved_loads: usize,
    /// Loads beyond `store_loads` that the most urgent requests and urgent extra copies may start.
    pub urgent_loads: usize,
    /// Minimum time in milliseconds that a model stays loaded before it may be evicted.
    pub min_hold_ms: u64,
    /// Percent of the slots of the engines with a copy that may be in use before the model gets an
    /// extra copy.
    pub crowded_percent: u32,
    /// Requests per second and slot of a copy's engine above which a model gets an extra copy. The
    /// slots are shared by all models of the engine.
    pub copy_rate_per_slot: f64,
}

impl PlannerPolicy {
    /// Requests per second that one copy serves, at an engine with this many slots, before its model
    /// gets an extra copy.
    #[must_use]
    pub fn copy_rate_per_s(&self, slots: u32) -> f64 {
        f64::from(slots) * self.copy_rate_per_slot
    }

    /// The policy with at most `limit` concurrent loads from the weight store, urgent ones included.
    #[must_use]
    pub fn with_store_limit(self, limit: usize) -> Self {
        let store_loads = self.store_loads.min(limit);
        Self {
            store_loads,
            urgent_loads: self.urgent_loads.min(limit - store_loads),
            ..self
        }
    }
}

impl Default for PlannerPolicy {
    fn default() -> Self {
        Self {
            store_loads: 4,
            reserved_loads: 1,
            urgent_loads: 2,
            min_hold_ms: 1_200,
            crowded_percent: 35,
            copy_rate_per_slot: 0.125,
        }
    }
}
