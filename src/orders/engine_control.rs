//! How a planner speaks to engines.

use std::net::SocketAddr;

use derive_more::{Display as DeriveDisplay, Error};
use displaydoc::Display;
use futures_util::future::LocalBoxFuture;

use crate::fleet::{HeldModel, ModelNeed};
use crate::prelude::*;

/// The engine that a call is meant for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamTarget {
    /// Its identity; an engine with another one refuses the call.
    pub id: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// What an engine shall do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DeriveDisplay)]
#[display(rename_all = "lowercase")]
pub enum OrderVerb {
    /// Load a model or adapter.
    Load,
    /// Unload it.
    Unload,
}

/// One order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// What to do.
    pub verb: OrderVerb,
    /// With what.
    pub need: ModelNeed,
    /// Number of orders that the engine must have accepted before this one.
    pub precondition: u64,
    /// Fencing number of the holder of the planner's lease.
    pub fence: u64,
    /// Who gives the order.
    pub holder: InstanceName,
}

/// An engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is being carried out.
    Accepted,
    /// It holds already.
    AlreadyDone,
    /// Another order runs, or the precondition fails.
    Conflict,
    /// The fencing number is too low.
    Fenced,
    /// Another engine answered.
    OtherUpstream,
    /// The engine does not understand the order.
    Refused,
}

/// an order without an answer: {reason}
#[derive(Debug, Clone, Display, Error)]
pub struct OrderFailure {
    /// Whether the order provably never left.
    pub is_unsent: bool,
    /// What happened.
    pub reason: String,
}

/// An engine's state as it tells it; some hundred milliseconds old.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Orders accepted.
    pub order_count: u64,
    /// Whether a model is being loaded or unloaded.
    pub is_busy: bool,
    /// What it holds.
    pub models: Vec<HeldModel>,
    /// Models in its host memory or on its disk.
    pub local_copies: Vec<ModelName>,
}

/// Speaks to engines; implemented by the adapter of a platform.
pub trait EngineControl {
    /// Reads an engine's state.
    fn report(
        &self,
        target: UpstreamTarget,
    ) -> LocalBoxFuture<'_, Result<EngineReport, OrderFailure>>;

    /// Gives an order. A failure that was sent may still be carried out later.
    fn order(
        &self,
        target: UpstreamTarget,
        order: EngineOrder,
    ) -> LocalBoxFuture<'_, Result<OrderAnswer, OrderFailure>>;
}
