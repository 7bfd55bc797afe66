//! The entry's side of the control interface.

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

/// Answers control calls to an entry.
pub struct EntryRpc {
    context: SendWrapper<Rc<EntryContext>>,
}

impl EntryRpc {
    /// Opens the interface.
    #[must_use]
    pub fn open(context: Rc<EntryContext>) -> Self {
        Self {
            context: SendWrapper::new(context),
        }
    }

    /// An agent with newer settings is asked for them at once.
    fn follow(&self, report: &AgentReport) {
        let revision = self.context.node.settings.borrow().revision();
        if report.settings_revision <= revision {
            return;
        }
        let node = Rc::clone(&self.context.node);
        let peer = report.address;
        compio::runtime::spawn(async move { pull_settings(&node, peer).await }).detach();
    }
}

fn not_here() -> ErrorObjectOwned {
    ErrorObjectOwned::from(ErrorCode::MethodNotFound)
}

#[async_trait]
impl ControlApiServer for EntryRpc {
    fn report(&self, report: AgentReport) -> RpcResult<u64> {
        self.follow(&report);
        self.context.take_report(report);
        Ok(self.context.node.settings.borrow().revision())
    }

    fn heartbeat(&self, heartbeat: AgentHeartbeat) -> RpcResult<HeartbeatResponse> {
        let now = self.context.now();
        let mut agents = self.context.agents.borrow_mut();
        Ok(HeartbeatResponse {
            is_known: agents.heard(now, &heartbeat),
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
        Err(not_here())
    }

    fn settings(&self) -> RpcResult<Vec<SettingsRow>> {
        Ok(self.context.node.settings.borrow().rows())
    }
}
