//! Follows the planner's news and reports demand to it.

use std::rc::Rc;
use std::time::Duration;

use super::GatewayContext;
use crate::orders::PlacementNews;
use crate::planner_rpc::{DemandReport, FollowMark, PlannerApiClient};

/// Milliseconds between looks for a planner while none is known.
const OWN_LOOK_MS: u64 = 400;

/// Milliseconds that a call for news waits at the planner.
const FOLLOW_MS: u64 = 1_000;

/// Milliseconds between reports to the planner while nothing new is waited for.
const REPORT_MS: u64 = 500;

/// Milliseconds for which wants are gathered before they are reported.
const GATHER_MS: u64 = 4;

/// Milliseconds before the next try after a failed call to the planner.
const LINK_RETRY_MS: u64 = 150;

/// Follows the planner's news.
pub async fn run_follow(context: Rc<GatewayContext>) {
    let mut mark = FollowMark {
        wait_ms: FOLLOW_MS,
        ..FollowMark::default()
    };
    let mut was_heard = false;
    loop {
        let Some(address) = context.host.remote_address() else {
            follow_own(&context, &mut mark).await;
            continue;
        };
        match context.rpc(address).follow(mark).await {
            Ok(news) => {
                if !was_heard {
                    log::info!(planner:% = address, epoch = news.epoch; "planner reached");
                }
                was_heard = true;
                context.host.heard(context.now(), 0);
                take_news(&context, &mut mark, &news);
            }
            Err(error) => {
                if was_heard {
                    log::warn!(planner:% = address, error:% = error; "planner lost");
                    context
                        .placement
                        .borrow_mut()
                        .forget_planner(&context.roster.borrow());
                    mark.version = 0;
                }
                was_heard = false;
                context.lease_hint.notify();
                compio::time::sleep(Duration::from_millis(LINK_RETRY_MS)).await;
            }
        }
    }
}

/// Follows the planner of this process, or waits for one.
async fn follow_own(context: &GatewayContext, mark: &mut FollowMark) {
    let generation = context.host.news.generation();
    if let Some(news) = context.host.news_since(*mark) {
        take_news(context, mark, &news);
    }
    let waiting = context.host.news.after(generation);
    let _ = compio::time::timeout(Duration::from_millis(OWN_LOOK_MS), waiting).await;
}

/// Takes the planner's news and lets waiting requests look again.
fn take_news(context: &GatewayContext, mark: &mut FollowMark, news: &PlacementNews) {
    mark.epoch = news.epoch;
    mark.version = news.version;
    if news.holdings.is_empty() {
        return;
    }
    let roster = context.roster.borrow();
    context.placement.borrow_mut().take_news(&roster, news);
    context.waits.wake_all();
}

/// Reports demand to the planner.
pub async fn run_report(context: Rc<GatewayContext>) {
    loop {
        context.waits.wanted.wait(REPORT_MS).await;
        compio::time::sleep(Duration::from_millis(GATHER_MS)).await;
        let report = DemandReport {
            entry: context.node.instance.clone(),
            address: context.config.peers,
            demand: context.take_demand(),
            catalog_version: context.feeds.version(),
            crashes: context.drain_crashes(),
        };
        let answer = match context.host.remote_address() {
            None => {
                let version = context.feeds.version();
                context.host.take_report(context.now(), report, version)
            }
            Some(address) => match context.rpc(address).demand(report).await {
                Ok(answer) => {
                    context.host.heard(context.now(), answer.lease_revision);
                    Some(answer)
                }
                Err(error) => {
                    log::debug!(planner:% = address, error:% = error; "report not taken");
                    None
                }
            },
        };
        if let Some(answer) = answer {
            context.feeds.hear(context.now(), answer.catalog_version);
            context.share_reserve(answer.entry_count);
            context.take_crashes(&answer.crashes);
            context.waits.take_forecasts(answer.forecasts);
        }
    }
}
