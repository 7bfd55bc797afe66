//! Status of the fleet for operators, as one entry sees it.

use serde::{Deserialize, Serialize};

use super::entry_context::EntryContext;
use crate::lease::LeaseRow;
use crate::prelude::*;
use crate::quarantine::RequestFingerprint;
use crate::rpc::{AgentReport, DemandRates};
use crate::table::RowRevision;

/// Last report of one agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// Milliseconds since the agent's last report or heartbeat.
    pub age_ms: u64,
    /// The agent's newest report.
    pub report: AgentReport,
}

/// State of one lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// Table key of the lease.
    pub lease: String,
    /// Row of the lease, with its holder.
    pub row: LeaseRow,
}

/// The fleet as one entry sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Instance of the entry.
    pub instance: InstanceName,
    /// Settings revision in force.
    pub settings_revision: u64,
    /// Number of requests in flight in this process.
    pub open_requests: usize,
    /// Known agents, by instance name.
    pub agents: Vec<AgentStatus>,
    /// Demand per replica, as seen by this entry.
    pub demand: Vec<DemandRates>,
    /// Fingerprints of the quarantined requests.
    pub quarantined: Vec<RequestFingerprint>,
    /// Leases; `None` while the table does not answer.
    pub leases: Option<Vec<LeaseStatus>>,
}

/// Collects the status.
pub async fn entry_status(context: &EntryContext) -> EntryStatus {
    let now = context.now();
    let leases = read_leases(context).await;
    let reports = context.agents.borrow().reports(now);
    let agents = reports
        .into_iter()
        .map(|(age_ms, report)| AgentStatus { age_ms, report });
    EntryStatus {
        instance: context.node.config.instance.clone(),
        settings_revision: context.node.settings.borrow().revision(),
        open_requests: context.open_requests.get(),
        agents: agents.collect(),
        demand: context.demand.borrow().report(),
        quarantined: context
            .quarantine
            .borrow()
            .quarantined(now, context.quarantine_ms()),
        leases,
    }
}

async fn read_leases(context: &EntryContext) -> Option<Vec<LeaseStatus>> {
    let table = &context.node.table;
    let rows = table.scan("lease/".to_owned(), RowRevision::ABSENT).await;
    let decoded = rows.ok()?.into_iter().filter_map(|row| {
        let lease_row = row.decode().ok()??;
        Some(LeaseStatus {
            lease: row.key,
            row: lease_row,
        })
    });
    Some(decoded.collect())
}
