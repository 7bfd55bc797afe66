//! Acquires, renews and releases the planner lease, through a peer if this process cannot reach
//! the table.

use std::rc::Rc;
use std::time::Duration;

use super::GatewayContext;
use crate::lease::LeaseIntent;
use crate::planner_rpc::{LeaseSnapshot, PlannerApiClient};
use crate::table::{RowRevision, TableError, TableTxn, TxnOutcome};

/// Table key of the planner lease.
const PLANNER_LEASE: &str = "lease/planner";

/// Poll interval of the lease in milliseconds while its holder does not answer.
const LEASE_POLL_MS: u64 = 400;

/// Poll interval in milliseconds while the holder answers; its answers carry the lease revision.
const LEASE_IDLE_POLL_MS: u64 = 20_000;

/// Milliseconds for which a stopping planner waits for the answers to its last orders, so that no
/// order arrives after the lease has been released.
const ORDER_DRAIN_MS: u64 = 1_000;

/// Milliseconds between checks for orders in flight.
const ORDER_DRAIN_POLL_MS: u64 = 10;

/// Number of peers that are asked to write the lease.
const RELAY_PEERS: usize = 2;

/// Acquires and renews the planner lease until shutdown.
pub async fn run_lease(context: Rc<GatewayContext>) {
    let mut was_lost = false;
    loop {
        if context.is_stopping() {
            return;
        }
        match acquire_or_renew_lease(&context).await {
            Ok(()) => {
                if std::mem::take(&mut was_lost) {
                    log::info!(dependency = "table"; "dependency regained");
                    context.feeds.refetch();
                }
            }
            Err(error) => {
                was_lost = true;
                log::warn!(dependency = "table", error:% = error; "lease not read or written");
            }
        }
        let pause_ms = lease_pause_ms(&context);
        context.lease_wake.wait(pause_ms).await;
    }
}

fn lease_pause_ms(context: &GatewayContext) -> u64 {
    let now = context.now();
    if let Some(renewal_ms) = context.host.renewal_in_ms(now) {
        return renewal_ms.max(LEASE_POLL_MS / 2);
    }
    let takeover_ms = context.host.takeover_in_ms(now);
    if takeover_ms > 0 {
        takeover_ms
    } else if context.host.is_planner_responsive(now) {
        LEASE_IDLE_POLL_MS
    } else {
        LEASE_POLL_MS * 3 / 4 + fastrand::u64(..LEASE_POLL_MS / 2)
    }
}

async fn acquire_or_renew_lease(context: &Rc<GatewayContext>) -> Result<(), TableError> {
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
            log::warn!(dependency = "table", error:% = error; "lease write not confirmed; reading the lease");
            read_lease(context).await
        }
    }
}

/// Reads the lease row, through a peer if the table call fails.
async fn read_lease(context: &Rc<GatewayContext>) -> Result<(), TableError> {
    let snapshot = match fetch_lease(context).await {
        Ok(snapshot) => snapshot,
        Err(error) => relay_read(context).await.ok_or(error)?,
    };
    if let Some(era) = snapshot.era {
        context.record_remote_era(era);
    }
    let host = &context.host;
    host.observe(context.now(), snapshot.revision, snapshot.row);
    if host.stop_if_lease_lost() {
        log::info!("planning ended: another process holds the lease");
    }
    Ok(())
}

/// Reads the lease row from the table.
pub async fn fetch_lease(context: &GatewayContext) -> Result<LeaseSnapshot, TableError> {
    let row = context.ports.table.read(PLANNER_LEASE.to_owned()).await?;
    context.check_era();
    Ok(LeaseSnapshot {
        revision: row.revision,
        era: context.ports.table.era(),
        row: row.decode()?,
    })
}

/// Asks peers to read the lease row because this process cannot reach the table.
async fn relay_read(context: &GatewayContext) -> Option<LeaseSnapshot> {
    for peer in context.host.relay_peers(RELAY_PEERS) {
        match context.rpc(peer).read_lease().await {
            Ok(snapshot) => return Some(snapshot),
            Err(error) => log::warn!(peer:% = peer, error:% = error; "lease relay failed"),
        }
    }
    None
}

/// Writes the lease row to the table. Returns its revision, or `None` on a conflict or if the table
/// was restored meanwhile: the expected revision may then be that of another row.
pub async fn commit_lease(
    context: &GatewayContext,
    intent: &LeaseIntent,
) -> Result<Option<RowRevision>, TableError> {
    if !is_same_era(context, intent) {
        return Ok(None);
    }
    let txn = TableTxn::default()
        .check(PLANNER_LEASE, intent.expected)
        .write(PLANNER_LEASE, &intent.row)?;
    let outcome = context.ports.table.commit(txn).await?;
    context.check_era();
    match outcome {
        TxnOutcome::Committed(revision) if is_same_era(context, intent) => Ok(Some(revision)),
        TxnOutcome::Committed(_) | TxnOutcome::Conflict(_) => Ok(None),
    }
}

fn is_same_era(context: &GatewayContext, intent: &LeaseIntent) -> bool {
    context.era.get().is_none_or(|era| era == intent.row.era)
}

/// Writes the lease row, through a peer if the table call fails. Returns `false` on a conflict.
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
        .apply_commit(context.now(), sent_at, intent, revision)
    {
        log::info!(epoch; "planning begun");
        init_planner(context);
    }
    Ok(true)
}

/// Asks peers to write the lease row because this process cannot reach the table.
async fn relay_lease(context: &GatewayContext, intent: &LeaseIntent) -> Option<RowRevision> {
    for peer in context.host.relay_peers(RELAY_PEERS) {
        match context.rpc(peer).relay_lease(intent.clone()).await {
            Ok(Some(revision)) => {
                log::info!(peer:% = peer, revision; "lease written by way of a peer");
                return Some(RowRevision(revision));
            }
            Ok(None) => return None,
            Err(error) => log::warn!(peer:% = peer, error:% = error; "lease relay failed"),
        }
    }
    None
}

fn init_planner(context: &Rc<GatewayContext>) {
    let now = context.now();
    let catalog = context.catalog.borrow().clone();
    context.host.with_planner(|planner| {
        if let Some(catalog) = catalog {
            planner.set_catalog(catalog);
        }
        planner.apply_roster(now, &context.roster.borrow());
    });
}

/// Stops planning and releases the lease, so that another process can acquire it at once.
pub async fn release_lease(context: &Rc<GatewayContext>) {
    context.host.end_planning();
    let ends_at = context.now() + ORDER_DRAIN_MS;
    while context.host.orders_in_flight.get() > 0 && context.now() < ends_at {
        compio::time::sleep(Duration::from_millis(ORDER_DRAIN_POLL_MS)).await;
    }
    let Some(intent) = context.host.release() else {
        return;
    };
    match write_lease(context, &intent).await {
        Ok(true) => log::info!(epoch = intent.row.epoch; "lease given up"),
        Ok(false) => log::warn!("lease not released: its row has changed"),
        Err(error) => log::warn!(error:% = error; "lease not released"),
    }
}
