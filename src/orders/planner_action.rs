//! Calls that the planner wants made.

use super::{LoadSource, OrderVerb, UpstreamTarget};
use crate::fleet::{ModelNeed, UpstreamKey};

/// What an order was decided from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OrderBasis {
    /// Purpose of the order.
    pub reason: &'static str,
    /// Where a load takes the weights from.
    pub source: LoadSource,
    /// Requests a second for the model.
    pub rate_per_s: f64,
    /// Engines that can serve the model.
    pub copies: usize,
    /// Loads from the weight store under way.
    pub store_loads: usize,
}

/// A call that the planner wants made now.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerAction {
    /// Give an order.
    Order {
        /// The engine.
        key: UpstreamKey,
        /// Whom it is meant for.
        target: UpstreamTarget,
        /// What to do.
        verb: OrderVerb,
        /// With what.
        need: ModelNeed,
        /// Orders that the engine must have accepted.
        precondition: u64,
        /// Why, for the log.
        basis: OrderBasis,
    },
    /// Read the engine's state.
    Read {
        /// The engine.
        key: UpstreamKey,
        /// Whom it is meant for.
        target: UpstreamTarget,
    },
}
