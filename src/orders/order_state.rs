//! How far the orders to one engine are.

use super::OrderVerb;
use crate::fleet::ModelNeed;
use crate::prelude::*;

/// Where an engine takes weights from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadSource {
    /// Its own host memory or disk.
    Local,
    /// The weight store.
    Store,
}

/// An accepted order of a whole model that is being carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningOrder {
    /// What to do.
    pub verb: OrderVerb,
    /// With which model.
    pub model: ModelName,
    /// Where a load takes the weights from.
    pub source: LoadSource,
    /// When it should be done.
    pub due_at: MonoTime,
}

/// The next call to an engine, or what it waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderState {
    /// Nothing is under way; an order may be given.
    Idle,
    /// An order was sent and is not answered.
    Sent {
        /// What to do.
        verb: OrderVerb,
        /// With what.
        need: ModelNeed,
        /// Where a load takes the weights from.
        source: LoadSource,
    },
    /// The engine's state must be read before the next order.
    Stale {
        /// Not before this time.
        read_at: MonoTime,
    },
    /// The engine's state is being read.
    Reading,
}
