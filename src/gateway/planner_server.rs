//! RPC server of the planner.

use std::rc::Rc;
use std::time::Duration;

use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::ErrorCode;
use send_wrapper::SendWrapper;

use super::GatewayContext;
use super::planner_lease::{commit_lease, fetch_lease};
use crate::lease::LeaseIntent;
use crate::orders::PlacementUpdate;
use crate::planner_rpc::{
    DemandReport, DemandResponse, FollowMark, LeaseSnapshot, PlannerApiServer,
};
use crate::table::TableError;

/// Longest long-poll timeout of a `follow` call in milliseconds.
const MAX_FOLLOW_WAIT_MS: u64 = 1_500;

/// Answers calls of entries while this process plans.
pub struct PlannerServer {
    context: SendWrapper<Rc<GatewayContext>>,
}

impl PlannerServer {
    /// Creates the server.
    #[must_use]
    pub fn open(context: Rc<GatewayContext>) -> Self {
        Self {
            context: SendWrapper::new(context),
        }
    }
}

fn not_planner() -> ErrorObjectOwned {
    ErrorObjectOwned::from(ErrorCode::MethodNotFound)
}

fn table_failure(error: &TableError) -> ErrorObjectOwned {
    let code = ErrorCode::InternalError.code();
    ErrorObjectOwned::owned(code, error.to_string(), None::<()>)
}

#[async_trait]
impl PlannerApiServer for PlannerServer {
    fn demand(&self, report: DemandReport) -> RpcResult<DemandResponse> {
        let now = self.context.now();
        self.context.record_remote_era(report.feeds.era);
        self.context.feeds.record_remote(now, report.feeds);
        let crashes = self.context.crashes.answer_report(now, &report.crashes);
        let feeds = self.context.feeds.versions();
        let catalog = self.context.catalog.borrow();
        let accounts = catalog.as_ref().map(|catalog| catalog.accounts());
        let host = &self.context.host;
        let response = host.record_report(now, report, feeds, accounts);
        let mut response = response.ok_or_else(not_planner)?;
        response.crashes = crashes;
        response.ages = self.context.feeds.ages(now);
        Ok(response)
    }

    async fn follow(&self, mark: FollowMark) -> RpcResult<PlacementUpdate> {
        let context = Rc::clone(&self.context);
        let following = SendWrapper::new(async move { wait_for_update(&context, mark).await });
        following.await.ok_or_else(not_planner)
    }

    async fn relay_lease(&self, intent: LeaseIntent) -> RpcResult<Option<u64>> {
        let context = Rc::clone(&self.context);
        let writing = SendWrapper::new(async move { commit_lease(&context, &intent).await });
        let outcome = writing.await.map_err(|error| table_failure(&error))?;
        Ok(outcome.map(|revision| revision.0))
    }

    async fn read_lease(&self) -> RpcResult<LeaseSnapshot> {
        let context = Rc::clone(&self.context);
        let reading = SendWrapper::new(async move { fetch_lease(&context).await });
        reading.await.map_err(|error| table_failure(&error))
    }
}

async fn wait_for_update(context: &GatewayContext, mark: FollowMark) -> Option<PlacementUpdate> {
    let ends_at = context.now() + mark.wait_ms.min(MAX_FOLLOW_WAIT_MS);
    loop {
        let generation = context.host.placement_changed.generation();
        let update = context.host.update_since(mark)?;
        let left_ms = ends_at.millis_since(context.now());
        if !update.holdings.is_empty() || update.epoch != mark.epoch || left_ms == 0 {
            return Some(update);
        }
        let waiting = context.host.placement_changed.wait_after(generation);
        let _ = compio::time::timeout(Duration::from_millis(left_ms), waiting).await;
    }
}
