//! Progress of the orders to one engine.

use super::OrderVerb;
use crate::fleet::ModelNeed;
use crate::prelude::*;

/// Source of the weights for a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadSource {
    /// The engine's own host memory or disk.
    Local,
    /// The weight store.
    Store,
}

/// An accepted order to load or unload a whole model that is still being carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningOrder {
    /// Whether the model is being loaded or unloaded.
    pub verb: OrderVerb,
    /// The model.
    pub model: ModelName,
    /// Source of the weights for a load.
    pub source: LoadSource,
    /// When the order is expected to be complete, or the engine's report is to be read again.
    pub due_at: MonoTime,
}

/// State of the calls to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderState {
    /// No call is in flight; an order may be sent.
    Idle,
    /// An order is in flight.
    Sent {
        /// Whether to load or unload.
        verb: OrderVerb,
        /// Model or adapter to load or unload.
        need: ModelNeed,
        /// Source of the weights for a load.
        source: LoadSource,
    },
    /// The engine's report must be read before the next order.
    Stale {
        /// Earliest time of the read.
        read_at: MonoTime,
    },
    /// A read of the engine's report is in flight.
    Reading,
}
