//! Plans the placement of the partitions whose leases this agent holds.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::agent_context::AgentContext;
use super::lease_controller::{HeldLease, partition_lease};
use crate::decision::DecisionEvent;
use crate::placement::{
    PlacementChange, PlacementPlanner, PlacementRow, PlannerInput, ReplicaDemand, UpstreamView,
};
use crate::prelude::*;
use crate::rpc::{AgentReport, ControlApiClient, EntryView, ReplicaState};
use crate::settings::FleetSettings;
use crate::table::{TableError, TableTxn, TxnOutcome};

/// Maximum interval between two planning rounds in milliseconds.
const MAX_ROUND_INTERVAL_MS: u64 = 1_000;

/// Runs the planning loop; never returns.
pub async fn run_planner(context: Rc<AgentContext>) {
    let mut planners: BTreeMap<u32, PlacementPlanner> = BTreeMap::new();
    loop {
        context.planner_wake.wait(MAX_ROUND_INTERVAL_MS).await;
        let Ok(fleet) = context.node.fleet() else {
            continue;
        };
        let held = held_partitions(&context, &fleet);
        planners.retain(|partition, _| held.contains(partition));
        if held.is_empty() || !context.placements.borrow().is_read {
            continue;
        }
        let Some(input) = gather_input(&context, &fleet).await else {
            continue;
        };
        for partition in held {
            let planner = planners
                .entry(partition)
                .or_insert_with(|| PlacementPlanner::open(partition));
            let changes = planner.plan(context.now(), &fleet, &input);
            for change in changes {
                if let Err(error) = write_change(&context, partition, change).await {
                    log::warn!(error:% = error; "placement not written");
                    break;
                }
            }
        }
    }
}

fn held_partitions(context: &AgentContext, fleet: &FleetSettings) -> Vec<u32> {
    let now = context.now();
    let leases = context.leases.borrow();
    (0..fleet.limits.partitions)
        .filter(|partition| leases.held(&partition_lease(*partition), now).is_some())
        .collect()
}

/// Collects reports and demand from all entries; `None` if no entry answered.
async fn gather_input(context: &AgentContext, fleet: &FleetSettings) -> Option<PlannerInput> {
    let entries = context.node.members.borrow().entry_addresses();
    let calls = entries.into_iter().map(|entry| {
        let rpc = context.node.rpc(entry);
        async move { rpc.view().await }
    });
    let answers = futures_util::future::join_all(calls).await;
    let views: Vec<EntryView> = answers.into_iter().flatten().collect();
    if views.is_empty() {
        return None;
    }
    let reports = newest_reports(&views);
    let rows = context.placements.borrow().rows.clone();
    let (gone, leaving) = absent_instances(context, fleet, &rows, &reports);
    Some(PlannerInput {
        demand: merge_demand(&views, &reports),
        upstreams: reports.values().map(upstream_view).collect(),
        gone,
        leaving,
        rows,
    })
}

fn newest_reports(views: &[EntryView]) -> BTreeMap<InstanceName, AgentReport> {
    let mut newest: BTreeMap<InstanceName, AgentReport> = BTreeMap::new();
    for report in views.iter().flat_map(|view| &view.reports) {
        let is_newer = newest.get(&report.instance).is_none_or(|known| {
            (known.start_id, known.sequence) < (report.start_id, report.sequence)
        });
        if is_newer {
            newest.insert(report.instance.clone(), report.clone());
        }
    }
    newest
}

/// Among the instances with slots or reports: those that are missing from the membership list
/// for too long, and those that are leaving.
fn absent_instances(
    context: &AgentContext,
    fleet: &FleetSettings,
    rows: &BTreeMap<ReplicaName, (crate::table::RowRevision, PlacementRow)>,
    reports: &BTreeMap<InstanceName, AgentReport>,
) -> (Vec<InstanceName>, Vec<InstanceName>) {
    let now = context.now();
    let gone_after_ms = fleet.limits.gone_after_ms;
    let mut members = context.node.members.borrow_mut();
    let slots = rows.values().flat_map(|(_, row)| &row.slots);
    let mut instances: Vec<InstanceName> = slots.map(|slot| slot.instance.clone()).collect();
    instances.extend(reports.keys().cloned());
    instances.sort();
    instances.dedup();
    for instance in &instances {
        members.track(now, instance);
    }
    let is_leaving = |instance: &InstanceName| {
        let has_reported_leaving = reports.get(instance).is_some_and(|report| report.leaving);
        has_reported_leaving || members.is_leaving(instance)
    };
    let gone = instances
        .iter()
        .filter(|instance| members.is_gone(instance, gone_after_ms))
        .cloned()
        .collect();
    let leaving = instances
        .iter()
        .filter(|instance| is_leaving(instance))
        .cloned()
        .collect();
    (gone, leaving)
}

fn upstream_view(report: &AgentReport) -> UpstreamView {
    let replicas = report.replicas.iter();
    UpstreamView {
        instance: report.instance.clone(),
        zone: report.zone.clone(),
        region: report.region.clone(),
        memory_mb: report.memory_mb,
        is_usable: report.healthy && !report.leaving && report.service.is_none(),
        cached: report.cached.clone(),
        states: replicas
            .map(|held| (held.replica.clone(), held.state))
            .collect(),
    }
}

fn merge_demand(
    views: &[EntryView],
    reports: &BTreeMap<InstanceName, AgentReport>,
) -> BTreeMap<ReplicaName, ReplicaDemand> {
    let mut merged: BTreeMap<ReplicaName, ReplicaDemand> = BTreeMap::new();
    for demand in views.iter().flat_map(|view| &view.demand) {
        let total = merged.entry(demand.replica.clone()).or_default();
        total.arrivals_milli += demand.arrivals_milli;
        total.refusals_milli += demand.refusals_milli;
    }
    for (replica, total) in &mut merged {
        let holders = reports
            .values()
            .filter(|report| report.replicas.iter().any(|held| held.replica == *replica));
        for report in holders {
            total.service_ms = total.service_ms.max(report.mean_ms);
            total.limit = total.limit.max(report.limit);
            let loaded = report
                .replicas
                .iter()
                .find(|held| held.replica == *replica && held.state == ReplicaState::Loaded);
            total.running += loaded.map_or(0, |held| held.running);
            total.waiting += loaded.map_or(0, |held| held.waiting);
        }
    }
    merged
}

/// Writes one placement row; the transaction commits only if the lease and the row are
/// unchanged.
async fn write_change(
    context: &AgentContext,
    partition: u32,
    change: PlacementChange,
) -> Result<(), TableError> {
    let lease = partition_lease(partition);
    let held = context.leases.borrow().held(&lease, context.now());
    let Some(HeldLease { revision, epoch }) = held else {
        return Ok(());
    };
    let replica = change.row.replica.clone();
    let key = PlacementRow::row_key(&replica);
    let txn = TableTxn::default()
        .check(&lease, revision)
        .check(&key, change.expected);
    let txn = if change.row.slots.is_empty() {
        txn.delete(&key)
    } else {
        txn.write(&key, &change.row)?
    };
    if let TxnOutcome::Committed(revision) = context.node.table.commit(txn).await? {
        context.node.decisions.record(DecisionEvent::Place {
            replica: replica.clone(),
            slots: change.row.slots.clone(),
            epoch,
        });
        let mut cache = context.placements.borrow_mut();
        if change.row.slots.is_empty() {
            cache.rows.remove(&replica);
        } else {
            cache.rows.insert(replica, (revision, change.row));
        }
    }
    Ok(())
}
