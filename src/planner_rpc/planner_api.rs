//! RPC interface of the planner.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use super::{DemandReport, DemandResponse, FollowMark, LeaseSnapshot};
use crate::lease::LeaseIntent;
use crate::orders::PlacementUpdate;

/// RPC interface of the holder of the planner's lease.
#[rpc(server, client)]
pub trait PlannerApi {
    /// Reports to the planner what an entry requests and runs.
    ///
    /// # Errors
    /// A JSON-RPC error if the process does not hold the lease.
    #[method(name = "demand")]
    fn demand(&self, report: DemandReport) -> RpcResult<DemandResponse>;

    /// Returns as soon as holdings change after the mark, or when the mark's wait time has passed.
    ///
    /// # Errors
    /// A JSON-RPC error if the process does not hold the lease.
    #[method(name = "follow")]
    async fn follow(&self, mark: FollowMark) -> RpcResult<PlacementUpdate>;

    /// Writes the planner's lease for a planner that cannot reach the table itself. Returns
    /// the row's revision, or `None` if the row has changed.
    ///
    /// # Errors
    /// A JSON-RPC error if the table does not respond to this process either.
    #[method(name = "relay_lease")]
    async fn relay_lease(&self, intent: LeaseIntent) -> RpcResult<Option<u64>>;

    /// Reads the planner's lease for a planner that cannot reach the table itself.
    ///
    /// # Errors
    /// A JSON-RPC error if the table does not respond to this process either.
    #[method(name = "read_lease")]
    async fn read_lease(&self) -> RpcResult<LeaseSnapshot>;
}
