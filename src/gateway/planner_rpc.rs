//! The planner's side of the calls between processes.

use std::rc::Rc;
use std::time::Duration;

use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::ErrorCode;
use send_wrapper::SendWrapper;

use super::GatewayContext;
use super::planner_lease::commit_lease;
use crate::lease::LeaseIntent;
use crate::orders::PlacementNews;
use crate::planner_rpc::{DemandReport, DemandResponse, FollowMark, PlannerApiServer};

/// Longest wait for news in milliseconds.
const MAX_FOLLOW_MS: u64 = 1_500;

/// Answers entries while this process plans.
pub struct PlannerRpc {
    context: SendWrapper<Rc<GatewayContext>>,
}

impl PlannerRpc {
    /// Opens the interface.
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

#[async_trait]
impl PlannerApiServer for PlannerRpc {
    fn demand(&self, report: DemandReport) -> RpcResult<DemandResponse> {
        let now = self.context.now();
        self.context.take_crashes(&report.crashes);
        self.context.feeds.hear(now, report.catalog_version);
        self.context
            .host
            .take_report(now, report, self.context.feeds.version())
            .ok_or_else(not_planner)
    }

    async fn follow(&self, mark: FollowMark) -> RpcResult<PlacementNews> {
        let context = Rc::clone(&self.context);
        let following = SendWrapper::new(async move { wait_for_news(&context, mark).await });
        following.await.ok_or_else(not_planner)
    }

    async fn relay_lease(&self, intent: LeaseIntent) -> RpcResult<Option<u64>> {
        let context = Rc::clone(&self.context);
        let writing = SendWrapper::new(async move { commit_lease(&context, &intent).await });
        let outcome = writing.await.map_err(|error| {
            let code = ErrorCode::InternalError.code();
            ErrorObjectOwned::owned(code, error.to_string(), None::<()>)
        })?;
        Ok(outcome.map(|revision| revision.0))
    }
}

async fn wait_for_news(context: &GatewayContext, mark: FollowMark) -> Option<PlacementNews> {
    let ends_at = context.now() + mark.wait_ms.min(MAX_FOLLOW_MS);
    loop {
        let generation = context.host.news.generation();
        let news = context.host.news_since(mark)?;
        let left_ms = ends_at.millis_since(context.now());
        if !news.holdings.is_empty() || news.epoch != mark.epoch || left_ms == 0 {
            return Some(news);
        }
        let waiting = context.host.news.after(generation);
        let _ = compio::time::timeout(Duration::from_millis(left_ms), waiting).await;
    }
}
