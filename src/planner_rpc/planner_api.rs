//! The calls that the planner answers.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use super::{DemandReport, DemandResponse, FollowMark};
use crate::lease::LeaseIntent;
use crate::orders::PlacementNews;

/// Interface of the process that holds the planner's lease.
#[rpc(server, client)]
pub trait PlannerApi {
    /// An entry tells what it asks for and runs.
    ///
    /// # Errors
    /// A JSON-RPC error where the process does not hold the lease.
    #[method(name = "demand")]
    fn demand(&self, report: DemandReport) -> RpcResult<DemandResponse>;

    /// Answers as soon as holdings changed after the mark, or when its wait has ended.
    ///
    /// # Errors
    /// A JSON-RPC error where the process does not hold the lease.
    #[method(name = "follow")]
    async fn follow(&self, mark: FollowMark) -> RpcResult<PlacementNews>;

    /// Writes the planner's lease for a planner that cannot reach the table itself. Answers
    /// the row's revision, or nothing if the row has changed.
    ///
    /// # Errors
    /// A JSON-RPC error where the table does not answer this process either.
    #[method(name = "relay_lease")]
    async fn relay_lease(&self, intent: LeaseIntent) -> RpcResult<Option<u64>>;
}
