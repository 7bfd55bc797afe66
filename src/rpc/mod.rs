//! JSON-RPC between the system's own processes, carried over [`crate::net`].

mod chat_params;
mod control_api;
mod messages;
mod peer_rpc;
mod rpc_endpoint;
mod work_metadata;

pub use chat_params::ChatParams;
pub use control_api::{ControlApiClient, ControlApiServer};
pub use messages::{
    AgentHeartbeat, AgentReport, CrashReport, DemandRates, EntryView, HeartbeatResponse,
    PermitRequest, PermitResponse, RankWait, ReplicaReport, ReplicaState,
};
pub use peer_rpc::PeerRpc;
pub use rpc_endpoint::RpcEndpoint;
pub use work_metadata::{ANSWER_HEADER, CRASH_HEADER, UpstreamCall, WORK_HEADER, WorkMetadata};
