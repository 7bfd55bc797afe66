//! Tells entries what this agent holds.

use std::net::SocketAddr;
use std::rc::Rc;

use super::admission_controller::forecast_wait_ms;
use super::agent_context::AgentContext;
use crate::daemon::pull_settings;
use crate::placement::UpstreamHolder;
use crate::prelude::*;
use crate::rpc::{AgentReport, ControlApiClient, RankLoad, ReplicaReport};

/// Shortest milliseconds between two reports.
const MIN_GAP_MS: u64 = 20;

/// A deadline later than any real one, for forecasts of a request that goes last.
const FAR_MS: u64 = 1 << 40;

/// Reports for ever, at a steady pace and at once when something changed.
pub async fn run_reports(context: Rc<AgentContext>) {
    loop {
        send_report(&context).await;
        compio::time::sleep(std::time::Duration::from_millis(MIN_GAP_MS)).await;
        context.report.wait(context.config.report_ms).await;
    }
}

/// Sends one report to all entries.
pub async fn send_report(context: &Rc<AgentContext>) {
    let is_listed_leaving = {
        let members = context.node.members.borrow();
        members.is_leaving(context.instance())
    };
    if is_listed_leaving {
        context.leaving.set(true);
    }
    let report = build_report(context);
    let entries = context.node.members.borrow().entry_addresses();
    let bytes = serde_json::to_vec(&report).map_or(0, |text| text.len() as u64);
    let sends = entries
        .into_iter()
        .map(|entry| send_to_entry(context, entry, report.clone(), bytes));
    futures_util::future::join_all(sends).await;
}

async fn send_to_entry(context: &AgentContext, entry: SocketAddr, report: AgentReport, bytes: u64) {
    context.node.metrics.control_bytes.inc_by(bytes);
    match context.node.rpc(entry).report(report).await {
        Ok(revision) if revision > context.node.settings.borrow().revision() => {
            pull_settings(&context.node, entry).await;
        }
        Ok(_) => {}
        Err(error) => log::debug!(entry:% = entry, error:% = error; "report not taken"),
    }
}

/// Builds the current report.
pub fn build_report(context: &AgentContext) -> AgentReport {
    let now = context.now();
    let config = &context.node.config;
    let sequence = context.report_sequence.get() + 1;
    context.report_sequence.set(sequence);
    let estimate = *context.estimate.borrow();
    let holder = context.holder.borrow();
    let mut engine_view = context.engine_view.borrow_mut();
    AgentReport {
        instance: config.instance.clone(),
        start_id: context.node.start_id,
        sequence,
        address: context.node.address,
        zone: config.zone.clone(),
        region: config.region.clone(),
        service: context.service_name().cloned(),
        leaving: context.leaving.get(),
        healthy: context.engine.is_none() || engine_view.is_healthy(),
        memory_mb: holder.ledger().capacity_mb(),
        settings_revision: context.node.settings.borrow().revision(),
        running: context.running.get(),
        limit: context.limiter.borrow().limit(),
        first_ms: estimate.first_ms(),
        token_us: estimate.asked_token_us(),
        mean_ms: estimate.mean_ms(),
        ranks: rank_loads(context, now),
        replicas: replica_reports(&holder, now),
        cached: engine_view.cached.clone(),
        crashes: engine_view.recent_crashes(now),
    }
}

fn rank_loads(context: &AgentContext, now: MonoTime) -> Vec<RankLoad> {
    let ranks: Vec<_> = {
        let queue = context.queue.borrow();
        queue
            .ranks()
            .map(|(key, s)| (key, s.name.clone()))
            .collect()
    };
    let loads = ranks.into_iter().map(|(key, rank)| RankLoad {
        rank,
        wait_ms: forecast_wait_ms(context, key, now + FAR_MS),
    });
    loads.collect()
}

fn replica_reports(holder: &UpstreamHolder, now: MonoTime) -> Vec<ReplicaReport> {
    let statuses = holder.statuses(now).into_iter();
    statuses
        .map(|(replica, status)| ReplicaReport {
            state: status.state,
            ready_ms: status.ready_ms,
            running: status.running,
            waiting: status.waiting,
            arrived: holder.arrivals(&replica),
            replica,
        })
        .collect()
}
