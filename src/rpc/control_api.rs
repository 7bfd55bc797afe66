//! The calls between the system's own processes.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use super::{
    AgentHeartbeat, AgentReport, EntryView, HeartbeatResponse, PermitRequest, PermitResponse,
};
use crate::settings::SettingsRow;

/// Control interface; each role answers the calls that concern it.
#[rpc(server, client)]
pub trait ControlApi {
    /// An agent tells an entry what it holds; answers the entry's settings revision.
    ///
    /// # Errors
    /// A JSON-RPC error where the role does not answer the call.
    #[method(name = "report")]
    fn report(&self, report: AgentReport) -> RpcResult<u64>;

    /// An agent tells an entry that its last report still holds.
    ///
    /// # Errors
    /// A JSON-RPC error where the role does not answer the call.
    #[method(name = "heartbeat")]
    fn heartbeat(&self, heartbeat: AgentHeartbeat) -> RpcResult<HeartbeatResponse>;

    /// A planner asks an entry for reports and demand.
    ///
    /// # Errors
    /// A JSON-RPC error where the role does not answer the call.
    #[method(name = "view")]
    fn view(&self) -> RpcResult<EntryView>;

    /// An agent asks the permit issuer for a place on the weight store.
    ///
    /// # Errors
    /// A JSON-RPC error where the role does not answer the call.
    #[method(name = "acquire_permit")]
    async fn acquire_permit(&self, request: PermitRequest) -> RpcResult<PermitResponse>;

    /// An agent gives a place on the weight store back.
    ///
    /// # Errors
    /// A JSON-RPC error where the role does not answer the call.
    #[method(name = "release_permit")]
    fn release_permit(&self, permit: u64) -> RpcResult<()>;

    /// A process asks a peer for the settings rows that it follows.
    ///
    /// # Errors
    /// A JSON-RPC error where the role does not answer the call.
    #[method(name = "settings")]
    fn settings(&self) -> RpcResult<Vec<SettingsRow>>;
}
