//! Watches the planner's placement changes and reports demand to it.

use std::rc::Rc;
use std::time::Duration;

use super::GatewayContext;
use crate::orders::PlacementUpdate;
use crate::planner_rpc::{DemandReport, FollowMark, PlannerApiClient};

/// Milliseconds between checks for a planner in another process while none is known.
const PLANNER_POLL_MS: u64 = 400;

/// Long-poll timeout of a call to the planner in milliseconds.
const FOLLOW_WAIT_MS: u64 = 1_000;

/// Milliseconds between demand reports while no request waits for a new need.
const REPORT_MS: u64 = 500;

/// Milliseconds between demand reports while requests wait for tokens of a limited upstream.
const TOKEN_REPORT_MS: u64 = 150;

/// Milliseconds for which new wants are batched into one report.
const REPORT_BATCH_MS: u64 = 4;

/// Milliseconds before a retry after a failed call to the planner.
const PLANNER_RETRY_MS: u64 = 150;

/// Watches placement changes of the planner, local or remote.
pub async fn run_follow(context: Rc<GatewayContext>) {
    let mut mark = FollowMark {
        wait_ms: FOLLOW_WAIT_MS,
        ..FollowMark::default()
    };
    let mut was_connected = false;
    loop {
        let Some(address) = context.host.remote_address() else {
            follow_local(&context, &mut mark).await;
            continue;
        };
        match context.rpc(address).follow(mark).await {
            Ok(update) => {
                if !was_connected {
                    log::info!(planner:% = address, epoch = update.epoch; "planner reached");
                }
                was_connected = true;
                context.host.record_contact(context.now());
                apply_changes(&context, &mut mark, &update);
            }
            Err(error) => {
                if was_connected {
                    log::warn!(planner:% = address, error:% = error; "planner lost");
                    context
                        .placement
                        .borrow_mut()
                        .forget_planner(&context.roster.borrow());
                    mark.version = 0;
                }
                was_connected = false;
                context.lease_wake.notify();
                compio::time::sleep(Duration::from_millis(PLANNER_RETRY_MS)).await;
            }
        }
    }
}

/// Applies changes of the local planner, or waits for a planner.
async fn follow_local(context: &GatewayContext, mark: &mut FollowMark) {
    let generation = context.host.placement_changed.generation();
    if let Some(update) = context.host.update_since(*mark) {
        apply_changes(context, mark, &update);
    }
    let waiting = context.host.placement_changed.wait_after(generation);
    let _ = compio::time::timeout(Duration::from_millis(PLANNER_POLL_MS), waiting).await;
}

/// Applies placement changes and wakes waiting requests.
fn apply_changes(context: &GatewayContext, mark: &mut FollowMark, update: &PlacementUpdate) {
    mark.epoch = update.epoch;
    mark.version = update.version;
    if update.holdings.is_empty() {
        return;
    }
    let roster = context.roster.borrow();
    context
        .placement
        .borrow_mut()
        .apply_changes(&roster, update);
    context.waits.wake_all();
}

/// Reports demand to the planner and applies its responses.
pub async fn run_report(context: Rc<GatewayContext>) {
    // A process that has just started learns at once what other processes know.
    let mut has_answer = false;
    loop {
        let has_waiting = context.rate_limiter.borrow().has_waiting()
            || context.account_limiter.borrow().has_waiting();
        let pause_ms = if has_waiting || !has_answer {
            TOKEN_REPORT_MS
        } else {
            REPORT_MS
        };
        context.waits.wanted.wait(pause_ms).await;
        compio::time::sleep(Duration::from_millis(REPORT_BATCH_MS)).await;
        let sent_at = context.now();
        let planner = context.host.remote_address();
        let crashes = planner.map(|_| context.crashes.take_report(sent_at));
        let crashes = crashes.unwrap_or_default();
        let crash_records = crashes.records.clone();
        let report = DemandReport {
            entry: context.node.instance.clone(),
            address: context.config.peers,
            demand: context.take_demand(),
            feeds: context.feeds.versions(),
            crashes,
            tokens: context.take_token_requests(),
            allowance: context.account_limiter.borrow_mut().take_report(sent_at),
            speeds: context.speed_reports(),
        };
        let response = match planner {
            None => {
                let feeds = context.feeds.versions();
                let catalog = context.catalog.borrow();
                let accounts = catalog.as_ref().map(|catalog| catalog.accounts());
                context
                    .host
                    .record_report(context.now(), report, feeds, accounts)
            }
            Some(address) => match context.rpc(address).demand(report).await {
                Ok(response) => {
                    let revision = response.lease_revision;
                    if context.host.record_answer(context.now(), revision) {
                        log::warn!(planner:% = address; "planner has lost its lease");
                        context.lease_wake.notify();
                    }
                    Some(response)
                }
                Err(error) => {
                    log::debug!(planner:% = address, error:% = error; "demand report not delivered");
                    context.crashes.restore_report(&crash_records);
                    None
                }
            },
        };
        if let Some(response) = response {
            context.record_remote_era(response.feeds.era);
            context.feeds.record_remote(context.now(), response.feeds);
            // A planner in this process has read nothing but what this process knows anyway.
            if planner.is_some() {
                context.feeds.record_planner_read(sent_at, response.ages);
            }
            context.set_resend_share(response.entry_count);
            context.apply_token_grants(response.entry_count, &response.tokens);
            context.apply_allowance(sent_at, &response);
            context.apply_crashes(&response.crashes);
            has_answer = true;
            context.waits.set_forecasts(response.forecasts);
        }
    }
}
