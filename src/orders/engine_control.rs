//! Interface between the planner and the engines.

use std::net::SocketAddr;

use derive_more::{Display as DeriveDisplay, Error};
use displaydoc::Display;
use futures_util::future::LocalBoxFuture;

use crate::fleet::{HeldModel, ModelNeed};
use crate::prelude::*;

/// Identity and address of the engine that a call is sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamTarget {
    /// Expected identity; an engine with a different one refuses the call.
    pub id: UpstreamId,
    /// Address that the engine listens on.
    pub address: SocketAddr,
}

/// Operation that an order requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DeriveDisplay)]
#[display(rename_all = "lowercase")]
pub enum OrderVerb {
    /// Load a model or adapter.
    Load,
    /// Unload a model or adapter.
    Unload,
}

/// An order to load or unload a model or adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// Operation to carry out.
    pub verb: OrderVerb,
    /// Model or adapter to load or unload.
    pub need: ModelNeed,
    /// Number of orders that the engine must have accepted before this one; otherwise it refuses
    /// the order as a conflict.
    pub precondition: u64,
    /// Fencing token of the planner's lease.
    pub fence: u64,
    /// Instance that holds the planner's lease.
    pub holder: InstanceName,
}

/// An engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine carries out the order.
    Accepted,
    /// The engine is already in the requested state.
    AlreadyDone,
    /// Another order is in progress, or the precondition does not hold.
    Conflict,
    /// The fencing token is too old.
    Fenced,
    /// An engine with a different identity answered.
    OtherUpstream,
    /// The engine does not understand the order.
    Refused,
}

/// call to the engine failed: {reason}
#[derive(Debug, Clone, Display, Error)]
pub struct OrderFailure {
    /// Whether the order was certainly not sent.
    pub is_unsent: bool,
    /// Cause of the failure.
    pub reason: String,
}

/// Why an engine's report is not known.
#[derive(Debug, Clone, Display, Error)]
pub enum ReportFailure {
    /// engine did not report: {0}
    Unanswered(#[error(not(source))] String),
    /// invalid report: {0}
    Invalid(#[error(not(source))] String),
}

/// An engine's report of its own state; a few hundred milliseconds old.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Start of the engine in Unix milliseconds; `None` if the report names none.
    pub started_at_ms: Option<u64>,
    /// Number of orders that the engine has accepted.
    pub order_count: u64,
    /// Whether a model is being loaded or unloaded.
    pub is_busy: bool,
    /// Loaded models and their adapters.
    pub models: Vec<HeldModel>,
    /// Models whose weights are in the engine's host memory or on its disk.
    pub local_copies: Vec<ModelName>,
}

/// Client for engines, implemented for each platform.
pub trait EngineControl {
    /// Reads an engine's report of its state.
    fn report(
        &self,
        target: UpstreamTarget,
    ) -> LocalBoxFuture<'_, Result<EngineReport, ReportFailure>>;

    /// Sends an order. An order that fails after it was sent may still be carried out later.
    fn order(
        &self,
        target: UpstreamTarget,
        order: EngineOrder,
    ) -> LocalBoxFuture<'_, Result<OrderAnswer, OrderFailure>>;
}
