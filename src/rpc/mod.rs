//! JSON-RPC between the system's own processes, carried over [`crate::net`].

mod chat_head;
mod control_api;
mod messages;
mod peer_rpc;
mod rpc_endpoint;
mod work_head;

pub use chat_head::ChatHead;
pub use control_api::{ControlApiClient, ControlApiServer};
pub use messages::{
    AgentHeartbeat, AgentReport, CrashReport, DemandReport, EntryView, HeartbeatAnswer,
    PermitAnswer, PermitRequest, RankLoad, ReplicaReport, ReplicaState,
};
pub use peer_rpc::PeerRpc;
pub use rpc_endpoint::RpcEndpoint;
pub use work_head::{ANSWER_HEADER, CRASH_HEADER, WORK_HEADER, WorkCall, WorkHead};
