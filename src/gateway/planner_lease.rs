//! Takes, renews and gives up the planner's lease, by way of a peer where the table does not
//! answer this process.

use std::rc::Rc;
use std::time::Duration;

use super::GatewayContext;
use crate::lease::{LeaseIntent, LeaseRow};
use crate::planner_rpc::PlannerApiClient;
use crate::table::{RowRevision, TableError, TableTxn, TxnOutcome};

/// Table key of the planner's lease.
const PLANNER_LEASE: &str = "lease/planner";

/// Milliseconds between looks at a lease whose holder does not answer.
const LEASE_LOOK_MS: u64 = 400;

/// Milliseconds between looks while the holder answers; its answers tell of the lease.
const LEASE_CALM_MS: u64 = 20_000;

/// Milliseconds without an answer after which the planner counts as silent.
const PLANNER_SILENT_MS: u64 = 2_200;

/// Milliseconds for which a planner that stops waits for the answers to its last orders, so that
/// none arrives after it has given the lease up.
const LAST_ORDERS_MS: u64 = 1_000;

/// Milliseconds between looks at them.
const LAST_ORDERS_LOOK_MS: u64 = 10;

/// Peers that are asked to write the lease.
const RELAY_PEERS: usize = 2;

/// Takes, renews and gives up the planner's lease.
pub async fn run_lease(context: Rc<GatewayContext>) {
    let mut was_lost = false;
    loop {
        if context.is_stopping() {
            return;
        }
        match tend_lease(&context).await {
            Ok(()) => {
                if std::mem::take(&mut was_lost) {
                    log::info!(dependency = "table"; "dependency regained");
                    context.feeds.read_anew();
                }
            }
            Err(error) => {
                was_lost = true;
                log::warn!(dependency = "table", error:% = error; "lease not read or written");
            }
        }
        let pause_ms = lease_pause_ms(&context);
        context.lease_hint.wait(pause_ms).await;
    }
}

fn lease_pause_ms(context: &GatewayContext) -> u64 {
    let now = context.now();
    if let Some(renewal_ms) = context.host.renewal_in_ms(now) {
        return renewal_ms.max(LEASE_LOOK_MS / 2);
    }
    let takeover_ms = context.host.takeover_in_ms(now);
    if takeover_ms > 0 {
        takeover_ms
    } else if is_planner_heard(context) {
        LEASE_CALM_MS
    } else {
        LEASE_LOOK_MS * 3 / 4 + fastrand::u64(..LEASE_LOOK_MS / 2)
    }
}

fn is_planner_heard(context: &GatewayContext) -> bool {
    let silent_ms = context.now().millis_since(context.host.heard_at.get());
    context.host.remote_address().is_some() && silent_ms < PLANNER_SILENT_MS
}

async fn tend_lease(context: &Rc<GatewayContext>) -> Result<(), TableError> {
    if context.host.renewal_in_ms(context.now()).is_none() {
        read_lease(context).await?;
    }
    let Some(intent) = context.host.intent(context.now()) else {
        return Ok(());
    };
    match write_lease(context, &intent).await {
        Ok(true) => Ok(()),
        Ok(false) => read_lease(context).await,
        Err(error) => {
            log::warn!(dependency = "table", error:% = error; "lease write without an answer");
            read_lease(context).await
        }
    }
}

async fn read_lease(context: &Rc<GatewayContext>) -> Result<(), TableError> {
    let row = context.ports.table.read(PLANNER_LEASE.to_owned()).await?;
    let lease: Option<LeaseRow> = row.decode()?;
    context.host.observe(context.now(), row.revision, lease);
    if context.host.settle() {
        log::info!("planning ended: another process holds the lease");
    }
    Ok(())
}

/// Writes the lease row in the table. Answers its revision, or nothing on a conflict.
pub async fn commit_lease(
    context: &GatewayContext,
    intent: &LeaseIntent,
) -> Result<Option<RowRevision>, TableError> {
    let txn = TableTxn::default()
        .check(PLANNER_LEASE, intent.expected)
        .write(PLANNER_LEASE, &intent.row)?;
    match context.ports.table.commit(txn).await? {
        TxnOutcome::Committed(revision) => Ok(Some(revision)),
        TxnOutcome::Conflict(_) => Ok(None),
    }
}

/// Writes the lease row, by way of a peer where the table does not answer this process.
async fn write_lease(
    context: &Rc<GatewayContext>,
    intent: &LeaseIntent,
) -> Result<bool, TableError> {
    let sent_at = context.now();
    let revision = match commit_lease(context, intent).await {
        Err(error) => match relay_lease(context, intent).await {
            Some(revision) => Some(revision),
            None => return Err(error),
        },
        Ok(revision) => revision,
    };
    let Some(revision) = revision else {
        return Ok(false);
    };
    if let Some(epoch) = context
        .host
        .committed(context.now(), sent_at, intent, revision)
    {
        log::info!(epoch; "planning begun");
        begin_planning(context);
    }
    Ok(true)
}

/// Asks peers to write the lease row of a planner that the table does not answer.
async fn relay_lease(context: &GatewayContext, intent: &LeaseIntent) -> Option<RowRevision> {
    for peer in context.host.relay_peers(RELAY_PEERS) {
        match context.rpc(peer).relay_lease(intent.clone()).await {
            Ok(Some(revision)) => {
                log::info!(peer:% = peer, revision; "lease written by way of a peer");
                return Some(RowRevision(revision));
            }
            Ok(None) => return None,
            Err(error) => log::warn!(peer:% = peer, error:% = error; "lease not relayed"),
        }
    }
    None
}

fn begin_planning(context: &Rc<GatewayContext>) {
    let now = context.now();
    let catalog = context.catalog.borrow().clone();
    context.host.with_planner(|planner| {
        if let Some(catalog) = catalog {
            planner.take_catalog(catalog);
        }
        planner.take_roster(now, &context.roster.borrow());
    });
}

/// Gives the lease up, so that another process can take it at once.
pub async fn release_lease(context: &Rc<GatewayContext>) {
    context.host.end_planning();
    let ends_at = context.now() + LAST_ORDERS_MS;
    while context.host.orders_under_way.get() > 0 && context.now() < ends_at {
        compio::time::sleep(Duration::from_millis(LAST_ORDERS_LOOK_MS)).await;
    }
    let Some(intent) = context.host.release() else {
        return;
    };
    match write_lease(context, &intent).await {
        Ok(true) => log::info!(epoch = intent.row.epoch; "lease given up"),
        Ok(false) => log::warn!("lease was not ours any more"),
        Err(error) => log::warn!(error:% = error; "lease not given up"),
    }
}
