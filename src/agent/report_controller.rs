//! Reports the state of this agent to all entries.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use super::admission_controller::forecast_wait_ms;
use super::agent_context::AgentContext;
use crate::daemon::pull_settings;
use crate::placement::ResidencyManager;
use crate::prelude::*;
use crate::rpc::{AgentHeartbeat, AgentReport, ControlApiClient, RankWait, ReplicaReport};

/// Minimum interval between two reports in milliseconds.
const MIN_INTERVAL_MS: u64 = 20;

/// Size of a heartbeat in bytes, as counted in the control traffic metric.
const HEARTBEAT_BYTES: u64 = 128;

/// Milliseconds to a deadline later than any real one, to forecast the wait of a request
/// that is last in its rank.
const FAR_DEADLINE_MS: u64 = 1 << 40;

/// The last report and the entries that have it.
#[derive(Debug, Default)]
pub struct ReportTracker {
    last: Option<AgentReport>,
    received_by: BTreeSet<SocketAddr>,
}

impl ReportTracker {
    /// Returns the report to send. If only the sequence number differs from the last
    /// report, the last one stays valid and is returned; otherwise the new one replaces it,
    /// and no entry has it yet.
    fn update(&mut self, report: AgentReport) -> AgentReport {
        if let Some(last) = &self.last {
            let numbered = AgentReport {
                sequence: last.sequence,
                ..report.clone()
            };
            if numbered == *last {
                return numbered;
            }
        }
        self.received_by.clear();
        self.last = Some(report.clone());
        report
    }

    /// Records that an entry has the report with this sequence number; ignored if a newer
    /// report exists.
    fn record_delivery(&mut self, entry: SocketAddr, sequence: u64) {
        if self
            .last
            .as_ref()
            .is_some_and(|last| last.sequence == sequence)
        {
            self.received_by.insert(entry);
        }
    }
}

/// Runs the report loop: sends at a fixed interval, and at once when the state changes.
/// Never returns.
pub async fn run_reports(context: Rc<AgentContext>) {
    loop {
        send_report(&context).await;
        compio::time::sleep(std::time::Duration::from_millis(MIN_INTERVAL_MS)).await;
        context.report_wake.wait(context.config.report_ms).await;
    }
}

/// Sends the current report to all entries; those that have it get only a heartbeat.
pub async fn send_report(context: &Rc<AgentContext>) {
    let is_listed_leaving = {
        let members = context.node.members.borrow();
        members.is_leaving(context.instance())
    };
    if is_listed_leaving {
        context.is_leaving.set(true);
    }
    let report = build_report(context);
    let report = context.reports.borrow_mut().update(report);
    let entries = context.node.members.borrow().entry_addresses();
    let report = &report;
    let sends = entries.into_iter().map(|entry| async move {
        let is_known = context.reports.borrow().received_by.contains(&entry);
        if !(is_known && send_heartbeat(context, entry, report).await) {
            send_full_report(context, entry, report).await;
        }
    });
    futures_util::future::join_all(sends).await;
}

/// Tells an entry that the last report is still valid. Returns false if the entry does not
/// have it; a failed call counts as true, and no full report follows.
async fn send_heartbeat(context: &AgentContext, entry: SocketAddr, report: &AgentReport) -> bool {
    context.node.metrics.control_bytes.inc_by(HEARTBEAT_BYTES);
    let heartbeat = AgentHeartbeat {
        instance: report.instance.clone(),
        start_id: report.start_id,
        sequence: report.sequence,
    };
    match context.node.rpc(entry).heartbeat(heartbeat).await {
        Ok(response) => {
            follow_settings(context, entry, response.settings_revision).await;
            response.is_known
        }
        Err(error) => {
            log::debug!(entry:% = entry, error:% = error; "heartbeat not delivered");
            true
        }
    }
}

async fn send_full_report(context: &AgentContext, entry: SocketAddr, report: &AgentReport) {
    let bytes = serde_json::to_vec(report).map_or(0, |text| text.len() as u64);
    context.node.metrics.control_bytes.inc_by(bytes);
    match context.node.rpc(entry).report(report.clone()).await {
        Ok(revision) => {
            context
                .reports
                .borrow_mut()
                .record_delivery(entry, report.sequence);
            follow_settings(context, entry, revision).await;
        }
        Err(error) => log::debug!(entry:% = entry, error:% = error; "report not delivered"),
    }
}

/// Fetches the settings from an entry that has a newer revision.
async fn follow_settings(context: &AgentContext, entry: SocketAddr, revision: u64) {
    let known = context.node.settings.borrow().revision();
    if revision > known {
        pull_settings(&context.node, entry).await;
    }
}

/// Builds a report of the current state, with the next sequence number.
pub fn build_report(context: &AgentContext) -> AgentReport {
    let now = context.now();
    let config = &context.node.config;
    let sequence = context.report_sequence.get() + 1;
    context.report_sequence.set(sequence);
    let estimate = *context.estimate.borrow();
    let manager = context.residency.borrow();
    let mut engine_view = context.engine_view.borrow_mut();
    AgentReport {
        instance: config.instance.clone(),
        start_id: context.node.start_id,
        sequence,
        address: context.node.address,
        zone: config.zone.clone(),
        region: config.region.clone(),
        service: context.service_name().cloned(),
        leaving: context.is_leaving.get(),
        healthy: context.engine.is_none() || engine_view.is_healthy(),
        boot_id: engine_view.boot_id,
        memory_mb: manager.ledger().capacity_mb(),
        settings_revision: context.node.settings.borrow().revision(),
        running: context.running.get(),
        limit: context.limiter.borrow().limit(),
        first_ms: estimate.first_ms(),
        token_us: estimate.requested_token_us(),
        mean_ms: estimate.mean_ms(),
        ranks: rank_waits(context, now),
        replicas: replica_reports(&manager, now),
        cached: engine_view.cached.clone(),
        crashes: engine_view.recent_crashes(now),
    }
}

fn rank_waits(context: &AgentContext, now: MonoTime) -> Vec<RankWait> {
    let ranks: Vec<_> = {
        let queue = context.queue.borrow();
        queue
            .ranks()
            .map(|(key, share)| (key, share.name.clone()))
            .collect()
    };
    let waits = ranks.into_iter().map(|(key, rank)| RankWait {
        rank,
        wait_ms: forecast_wait_ms(context, key, now + FAR_DEADLINE_MS),
    });
    waits.collect()
}

fn replica_reports(manager: &ResidencyManager, now: MonoTime) -> Vec<ReplicaReport> {
    let statuses = manager.statuses(now).into_iter();
    statuses
        .map(|(replica, status)| ReplicaReport {
            state: status.state,
            ready_ms: status.ready_ms,
            running: status.running,
            waiting: status.waiting,
            arrived: manager.arrivals(&replica),
            replica,
        })
        .collect()
}
