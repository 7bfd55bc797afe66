//! Tells entries what this agent holds.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use super::admission_controller::forecast_wait_ms;
use super::agent_context::AgentContext;
use crate::daemon::pull_settings;
use crate::placement::UpstreamHolder;
use crate::prelude::*;
use crate::rpc::{AgentHeartbeat, AgentReport, ControlApiClient, RankWait, ReplicaReport};

/// Shortest milliseconds between two reports.
const MIN_GAP_MS: u64 = 20;

/// Bytes that a heartbeat is counted with.
const HEARTBEAT_BYTES: u64 = 128;

/// A deadline later than any real one, for forecasts of a request that goes last.
const FAR_MS: u64 = 1 << 40;

/// The last report, and who has it.
#[derive(Debug, Default)]
pub struct ReportBook {
    last: Option<AgentReport>,
    known_by: BTreeSet<SocketAddr>,
}

impl ReportBook {
    /// Takes the current report. One that differs from the last is news for all entries;
    /// else the last one, with its sequence, still holds.
    fn renew(&mut self, report: AgentReport) -> AgentReport {
        if let Some(last) = &self.last {
            let numbered = AgentReport {
                sequence: last.sequence,
                ..report.clone()
            };
            if numbered == *last {
                return numbered;
            }
        }
        self.known_by.clear();
        self.last = Some(report.clone());
        report
    }

    /// An entry has the report with this sequence.
    fn note_known(&mut self, entry: SocketAddr, sequence: u64) {
        if self
            .last
            .as_ref()
            .is_some_and(|last| last.sequence == sequence)
        {
            self.known_by.insert(entry);
        }
    }
}

/// Reports for ever, at a steady pace and at once when something changed.
pub async fn run_reports(context: Rc<AgentContext>) {
    loop {
        send_report(&context).await;
        compio::time::sleep(std::time::Duration::from_millis(MIN_GAP_MS)).await;
        context.report.wait(context.config.report_ms).await;
    }
}

/// Tells all entries the current report, or that it still holds.
pub async fn send_report(context: &Rc<AgentContext>) {
    let is_listed_leaving = {
        let members = context.node.members.borrow();
        members.is_leaving(context.instance())
    };
    if is_listed_leaving {
        context.leaving.set(true);
    }
    let report = build_report(context);
    let report = context.reports.borrow_mut().renew(report);
    let entries = context.node.members.borrow().entry_addresses();
    let report = &report;
    let sends = entries.into_iter().map(|entry| async move {
        let is_known = context.reports.borrow().known_by.contains(&entry);
        if !(is_known && send_heartbeat(context, entry, report).await) {
            send_to_entry(context, entry, report).await;
        }
    });
    futures_util::future::join_all(sends).await;
}

/// Tells an entry that the report still holds; false if the entry does not have it.
async fn send_heartbeat(context: &AgentContext, entry: SocketAddr, report: &AgentReport) -> bool {
    context.node.metrics.control_bytes.inc_by(HEARTBEAT_BYTES);
    let heartbeat = AgentHeartbeat {
        instance: report.instance.clone(),
        start_id: report.start_id,
        sequence: report.sequence,
    };
    match context.node.rpc(entry).heartbeat(heartbeat).await {
        Ok(answer) => {
            follow_settings(context, entry, answer.settings_revision).await;
            answer.is_known
        }
        Err(error) => {
            log::debug!(entry:% = entry, error:% = error; "heartbeat not taken");
            true
        }
    }
}

async fn send_to_entry(context: &AgentContext, entry: SocketAddr, report: &AgentReport) {
    let bytes = serde_json::to_vec(report).map_or(0, |text| text.len() as u64);
    context.node.metrics.control_bytes.inc_by(bytes);
    match context.node.rpc(entry).report(report.clone()).await {
        Ok(revision) => {
            context
                .reports
                .borrow_mut()
                .note_known(entry, report.sequence);
            follow_settings(context, entry, revision).await;
        }
        Err(error) => log::debug!(entry:% = entry, error:% = error; "report not taken"),
    }
}

/// Asks an entry for its settings where they are newer.
async fn follow_settings(context: &AgentContext, entry: SocketAddr, revision: u64) {
    let known = context.node.settings.borrow().revision();
    if revision > known {
        pull_settings(&context.node, entry).await;
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
        boot_id: engine_view.boot_id,
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

fn rank_loads(context: &AgentContext, now: MonoTime) -> Vec<RankWait> {
    let ranks: Vec<_> = {
        let queue = context.queue.borrow();
        queue
            .ranks()
            .map(|(key, s)| (key, s.name.clone()))
            .collect()
    };
    let loads = ranks.into_iter().map(|(key, rank)| RankWait {
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
