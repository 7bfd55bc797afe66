//! The agent's side of the control interface.

use std::rc::Rc;

use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::ErrorCode;
use send_wrapper::SendWrapper;

use super::agent_context::AgentContext;
use super::permit_controller::{serve_wish, take_back};
use crate::rpc::{
    AgentHeartbeat, AgentReport, ControlApiServer, EntryView, HeartbeatResponse, PermitRequest,
    PermitResponse,
};
use crate::settings::SettingsRow;

/// Answers control calls to an agent.
pub struct AgentRpc {
    context: SendWrapper<Rc<AgentContext>>,
}

impl AgentRpc {
    /// Opens the interface.
    #[must_use]
    pub fn open(context: Rc<AgentContext>) -> Self {
        Self {
            context: SendWrapper::new(context),
        }
    }
}

fn not_here() -> ErrorObjectOwned {
    ErrorObjectOwned::from(ErrorCode::MethodNotFound)
}

#[async_trait]
impl ControlApiServer for AgentRpc {
    fn report(&self, _report: AgentReport) -> RpcResult<u64> {
        Err(not_here())
    }

    fn heartbeat(&self, _heartbeat: AgentHeartbeat) -> RpcResult<HeartbeatResponse> {
        Err(not_here())
    }

    fn view(&self) -> RpcResult<EntryView> {
        Err(not_here())
    }

    async fn acquire_permit(&self, request: PermitRequest) -> RpcResult<PermitResponse> {
        let context = Rc::clone(&self.context);
        let serving = SendWrapper::new(async move { serve_wish(&context, request).await });
        Ok(serving.await)
    }

    fn release_permit(&self, permit: u64) -> RpcResult<()> {
        take_back(&self.context, permit);
        Ok(())
    }

    fn settings(&self) -> RpcResult<Vec<SettingsRow>> {
        Ok(self.context.node.settings.borrow().rows())
    }
}
