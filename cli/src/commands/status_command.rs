//! `quetzalpin status`: upstreams, replicas, leases and quarantined requests.

use std::process::ExitCode;

use quetzalpin::entry::{AgentStatus, EntryStatus};
use quetzalpin::rpc::ReplicaState;

use super::CommandContext;
use crate::errors::ToolError;
use crate::output::outln;

/// Prints the selected entry's view of the fleet.
pub async fn run(context: &CommandContext) -> Result<ExitCode, ToolError> {
    let status: EntryStatus = context.client()?.get("/status").await?;
    if context.is_json {
        outln!("{}", serde_json::to_string(&status)?);
    } else {
        print_status(&status);
    }
    Ok(ExitCode::SUCCESS)
}

fn print_status(status: &EntryStatus) {
    outln!(
        "{}: settings revision {}, {} open requests",
        status.instance,
        status.settings_revision,
        status.open_requests
    );
    outln!(
        "\n{:<14} {:<14} {:<9} {:>7} {:>6} {:>8}  waits by rank",
        "upstream",
        "zone",
        "state",
        "running",
        "limit",
        "heard"
    );
    for agent in &status.agents {
        print_agent(agent);
    }
    outln!(
        "\n{:<20} {:<14} {:<8} {:>7} {:>7}",
        "replica",
        "upstream",
        "state",
        "running",
        "waiting"
    );
    for agent in &status.agents {
        print_replicas(agent);
    }
    match &status.leases {
        None => outln!("\nleases: the table does not answer"),
        Some(leases) => {
            outln!("\n{:<20} {:<14} {:>6}", "lease", "holder", "epoch");
            for lease in leases {
                let holder = lease.row.holder.to_string();
                outln!("{:<20} {holder:<14} {:>6}", lease.lease, lease.row.epoch);
            }
        }
    }
    for fingerprint in &status.quarantined {
        outln!("quarantined: {fingerprint}");
    }
}

fn print_agent(agent: &AgentStatus) {
    let report = &agent.report;
    let state = match (report.leaving, report.healthy) {
        (true, _) => "leaving",
        (_, false) => "down",
        _ => "live",
    };
    let waits: Vec<String> = report
        .ranks
        .iter()
        .map(|load| format!("{} {} ms", load.rank, load.wait_ms))
        .collect();
    outln!(
        "{:<14} {:<14} {state:<9} {:>7} {:>6} {:>5} ms  {}",
        report.instance.as_str(),
        report.zone.as_str(),
        report.running,
        report.limit,
        agent.age_ms,
        waits.join(", ")
    );
}

fn print_replicas(agent: &AgentStatus) {
    for replica_report in &agent.report.replicas {
        let state = match replica_report.state {
            ReplicaState::Granted => "granted",
            ReplicaState::Loading => "loading",
            ReplicaState::Loaded => "loaded",
            ReplicaState::Draining => "draining",
        };
        outln!(
            "{:<20} {:<14} {state:<8} {:>7} {:>7}",
            replica_report.replica.as_str(),
            agent.report.instance.as_str(),
            replica_report.running,
            replica_report.waiting
        );
    }
}
