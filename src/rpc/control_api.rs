//! RPC interface between the system's own processes.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use super::{
    AgentHeartbeat, AgentReport, EntryView, HeartbeatResponse, PermitRequest, PermitResponse,
};
use crate::settings::SettingsRow;

/// Control interface; each role implements the calls that concern it.
#[rpc(server, client)]
pub trait ControlApi {
    /// Reports an agent's state to an entry; returns the entry's settings revision.
    ///
    /// # Errors
    /// A JSON-RPC error if the role does not implement the call.
    #[method(name = "report")]
    fn report(&self, report: AgentReport) -> RpcResult<u64>;

    /// Confirms to an entry that an agent's last report is still valid.
    ///
    /// # Errors
    /// A JSON-RPC error if the role does not implement the call.
    #[method(name = "heartbeat")]
    fn heartbeat(&self, heartbeat: AgentHeartbeat) -> RpcResult<HeartbeatResponse>;

    /// Returns an entry's agent reports and demand to a planner.
    ///
    /// # Errors
    /// A JSON-RPC error if the role does not implement the call.
    #[method(name = "view")]
    fn view(&self) -> RpcResult<EntryView>;

    /// Requests a permit for an agent to load from the weight store.
    ///
    /// # Errors
    /// A JSON-RPC error if the role does not implement the call.
    #[method(name = "acquire_permit")]
    async fn acquire_permit(&self, request: PermitRequest) -> RpcResult<PermitResponse>;

    /// Releases a permit to load from the weight store.
    ///
    /// # Errors
    /// A JSON-RPC error if the role does not implement the call.
    #[method(name = "release_permit")]
    fn release_permit(&self, permit: u64) -> RpcResult<()>;

    /// Returns to a peer the settings rows that this process follows.
    ///
    /// # Errors
    /// A JSON-RPC error if the role does not implement the call.
    #[method(name = "settings")]
    fn settings(&self) -> RpcResult<Vec<SettingsRow>>;
}
