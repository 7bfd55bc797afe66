//! Calls that the planner requests.

use super::{LoadSource, OrderVerb, UpstreamTarget};
use crate::fleet::{ModelNeed, UpstreamKey};

/// Values that an order was decided from, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OrderBasis {
    /// Reason for the order.
    pub reason: &'static str,
    /// Source of the weights for a load.
    pub source: LoadSource,
    /// Request rate of the model in requests per second.
    pub rate_per_s: f64,
    /// Number of engines that can serve the model.
    pub copies: usize,
    /// Number of loads from the weight store that are in progress, in flight or waiting for room.
    pub store_loads: usize,
    /// Maximum number of these loads that the capacity of the weight store allows; `None` while
    /// nothing shows that loads slow each other down.
    pub store_limit: Option<usize>,
    /// Thousandths of the value of a load for each second, where room is short; `None` elsewhere.
    pub value: Option<u64>,
}

/// A call to an engine that is due now.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerAction {
    /// Send an order.
    Order {
        /// Key of the engine.
        key: UpstreamKey,
        /// Identity and address of the engine.
        target: UpstreamTarget,
        /// Operation to carry out.
        verb: OrderVerb,
        /// Model or adapter to load or unload.
        need: ModelNeed,
        /// Number of orders that the engine must have accepted before this one.
        precondition: u64,
        /// Values that the order was decided from.
        basis: OrderBasis,
    },
    /// Read the engine's report.
    Read {
        /// Key of the engine.
        key: UpstreamKey,
        /// Identity and address of the engine.
        target: UpstreamTarget,
    },
}
