//! RPC methods that an agent serves on the control interface.

use std::rc::Rc;

use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::ErrorCode;
use send_wrapper::SendWrapper;

use super::agent_context::AgentContext;
use super::permit_controller::{return_permit, serve_permit_request};
use crate::rpc::{
    AgentHeartbeat, AgentReport, ControlApiServer, EntryView, HeartbeatResponse, PermitRequest,
    PermitResponse,
};
use crate::settings::SettingsRow;

/// Implements the control interface for an agent; methods that only entries serve return
/// `MethodNotFound`.
pub struct AgentRpc {
    context: SendWrapper<Rc<AgentContext>>,
}

impl AgentRpc {
    /// Creates the interface for an agent.
    #[must_use]
    pub fn open(context: Rc<AgentContext>) -> Self {
        Self {
            context: SendWrapper::new(context),
        }
    }
}

fn method_not_found() -> ErrorObjectOwned {
    ErrorObjectOwned::from(ErrorCode::MethodNotFound)
}

#[async_trait]
impl ControlApiServer for AgentRpc {
    fn report(&self, _report: AgentReport) -> RpcResult<u64> {
        Err(method_not_found())
    }

    fn heartbeat(&self, _heartbeat: AgentHeartbeat) -> RpcResult<HeartbeatResponse> {
        Err(method_not_found())
    }

    fn view(&self) -> RpcResult<EntryView> {
        Err(method_not_found())
    }

    async fn acquire_permit(&self, request: PermitRequest) -> RpcResult<PermitResponse> {
        let context = Rc::clone(&self.context);
        let serving =
            SendWrapper::new(async move { serve_permit_request(&context, request).await });
        Ok(serving.await)
    }

    fn release_permit(&self, permit: u64) -> RpcResult<()> {
        return_permit(&self.context, permit);
        Ok(())
    }

    fn settings(&self) -> RpcResult<Vec<SettingsRow>> {
        Ok(self.context.node.settings.borrow().rows())
    }
}
