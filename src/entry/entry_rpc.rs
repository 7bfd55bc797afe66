//! The entry's implementation of the control RPC interface.

use std::rc::Rc;

use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::ErrorCode;
use send_wrapper::SendWrapper;

use super::entry_context::EntryContext;
use crate::daemon::pull_settings;
use crate::rpc::{
    AgentHeartbeat, AgentReport, ControlApiServer, EntryView, HeartbeatResponse, PermitRequest,
    PermitResponse,
};
use crate::settings::SettingsRow;

/// Serves the control calls of an entry.
pub struct EntryRpc {
    context: SendWrapper<Rc<EntryContext>>,
}

impl EntryRpc {
    /// Creates the RPC handler.
    #[must_use]
    pub fn open(context: Rc<EntryContext>) -> Self {
        Self {
            context: SendWrapper::new(context),
        }
    }

    /// Pulls settings at once from an agent that reports a newer revision.
    fn pull_newer_settings(&self, report: &AgentReport) {
        let revision = self.context.node.settings.borrow().revision();
        if report.settings_revision <= revision {
            return;
        }
        let node = Rc::clone(&self.context.node);
        let peer = report.address;
        compio::runtime::spawn(async move { pull_settings(&node, peer).await }).detach();
    }
}

fn method_not_found() -> ErrorObjectOwned {
    ErrorObjectOwned::from(ErrorCode::MethodNotFound)
}

#[async_trait]
impl ControlApiServer for EntryRpc {
    fn report(&self, report: AgentReport) -> RpcResult<u64> {
        self.pull_newer_settings(&report);
        self.context.record_report(report);
        Ok(self.context.node.settings.borrow().revision())
    }

    fn heartbeat(&self, heartbeat: AgentHeartbeat) -> RpcResult<HeartbeatResponse> {
        let now = self.context.now();
        let mut agents = self.context.agents.borrow_mut();
        Ok(HeartbeatResponse {
            is_known: agents.record_heartbeat(now, &heartbeat),
            settings_revision: self.context.node.settings.borrow().revision(),
        })
    }

    fn view(&self) -> RpcResult<EntryView> {
        let now = self.context.now();
        let mut demand = self.context.demand.borrow_mut();
        demand.advance(now);
        Ok(EntryView {
            reports: self.context.agents.borrow().fresh_reports(now),
            demand: demand.report(),
        })
    }

    async fn acquire_permit(&self, _request: PermitRequest) -> RpcResult<PermitResponse> {
        Ok(PermitResponse::NotIssuer)
    }

    fn release_permit(&self, _permit: u64) -> RpcResult<()> {
        Err(method_not_found())
    }

    fn settings(&self) -> RpcResult<Vec<SettingsRow>> {
        Ok(self.context.node.settings.borrow().rows())
    }
}
