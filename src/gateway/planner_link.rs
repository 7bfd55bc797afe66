//! Loops that take the planner's lease, follow the planner and give its orders.

use std::rc::Rc;
use std::time::Duration;

use super::GatewayContext;
use crate::fleet::UpstreamKey;
use crate::lease::{LeaseIntent, LeaseRow};
use crate::metrics::OrderLabels;
use crate::orders::{
    EngineOrder, OrderAnswer, OrderBasis, OrderVerb, PlannerAction, UpstreamTarget,
};
use crate::sync::{DemandReport, FollowMark, PlannerApiClient};
use crate::table::{RowRevision, TableError, TableTxn, TxnOutcome};

/// Table key of the planner's lease.
const PLANNER_LEASE: &str = "lease/planner";

/// Milliseconds between looks at a lease whose holder does not answer.
const LEASE_LOOK_MS: u64 = 400;

/// Milliseconds between looks while the holder answers; its answers tell of the lease.
const LEASE_CALM_MS: u64 = 20_000;

/// Milliseconds without an answer after which the planner counts as silent.
const PLANNER_SILENT_MS: u64 = 2_200;

/// Milliseconds that a call for news waits at the planner.
const FOLLOW_MS: u64 = 1_000;

/// Milliseconds between reports to the planner while nothing new is waited for.
const REPORT_MS: u64 = 500;

/// Milliseconds for which wants are gathered before they are reported.
const GATHER_MS: u64 = 4;

/// Milliseconds between steps of the planner without news.
const PLANNER_STEP_MS: u64 = 40;

/// Milliseconds between checks whether this process plans.
const IDLE_STEP_MS: u64 = 2_000;

/// Peers that are asked to write the lease.
const RELAY_PEERS: usize = 2;

/// Milliseconds before the next try after a failed call to the planner.
const LINK_RETRY_MS: u64 = 150;

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
    if is_planner_heard(context) {
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
    let Some(intent) = context.host.release() else {
        return;
    };
    match write_lease(context, &intent).await {
        Ok(true) => log::info!(epoch = intent.row.epoch; "lease given up"),
        Ok(false) => log::warn!("lease was not ours any more"),
        Err(error) => log::warn!(error:% = error; "lease not given up"),
    }
}

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
                mark.epoch = news.epoch;
                mark.version = news.version;
                if !news.holdings.is_empty() {
                    context
                        .placement
                        .borrow_mut()
                        .take_news(&context.roster.borrow(), &news);
                    context.waits.wake_all();
                }
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
        mark.epoch = news.epoch;
        mark.version = news.version;
        if !news.holdings.is_empty() {
            context
                .placement
                .borrow_mut()
                .take_news(&context.roster.borrow(), &news);
            context.waits.wake_all();
        }
    }
    let waiting = context.host.news.after(generation);
    let _ = compio::time::timeout(Duration::from_millis(LEASE_LOOK_MS), waiting).await;
}

/// Reports demand to the planner.
pub async fn run_report(context: Rc<GatewayContext>) {
    loop {
        context.waits.wanted.wait(REPORT_MS).await;
        compio::time::sleep(Duration::from_millis(GATHER_MS)).await;
        let report = DemandReport {
            edge: context.node.instance.clone(),
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
            context.share_reserve(answer.edge_count);
            context.take_crashes(&answer.crashes);
            context.waits.take_forecasts(answer.forecasts);
        }
    }
}

/// Gives the planner's orders while the lease is held.
pub async fn run_orders(context: Rc<GatewayContext>) {
    loop {
        let now = context.now();
        let Some(epoch) = context.host.order_epoch(now) else {
            let pause_ms = if context.host.is_active() {
                PLANNER_STEP_MS
            } else {
                IDLE_STEP_MS
            };
            context.host.work.wait(pause_ms).await;
            continue;
        };
        let actions = context
            .host
            .with_planner(|planner| planner.tick(now))
            .unwrap_or_default();
        let is_idle = actions.is_empty();
        for action in actions {
            let context = Rc::clone(&context);
            compio::runtime::spawn(async move { perform(&context, epoch, action).await }).detach();
        }
        if is_idle {
            compio::time::sleep(Duration::from_millis(PLANNER_STEP_MS / 8)).await;
            context.host.work.wait(PLANNER_STEP_MS).await;
        }
    }
}

async fn perform(context: &Rc<GatewayContext>, epoch: u64, action: PlannerAction) {
    match action {
        PlannerAction::Read { key, target } => read_engine(context, key, target).await,
        PlannerAction::Order {
            key,
            target,
            verb,
            need,
            precondition,
            basis,
        } => {
            let order = EngineOrder {
                verb,
                need,
                precondition,
                fence: epoch,
                holder: context.node.instance.clone(),
            };
            give_order(context, key, target, order, basis).await;
        }
    }
}

async fn read_engine(context: &Rc<GatewayContext>, key: UpstreamKey, target: UpstreamTarget) {
    let id = target.id.clone();
    let report = match context.ports.engines.report(target).await {
        Ok(report) => Some(report),
        Err(error) => {
            log::warn!(upstream:% = id, error:% = error; "engine state not read");
            None
        }
    };
    let now = context.now();
    context
        .host
        .with_planner(|planner| planner.take_report(now, key, report.as_ref()));
}

async fn give_order(
    context: &Rc<GatewayContext>,
    key: UpstreamKey,
    target: UpstreamTarget,
    order: EngineOrder,
    basis: OrderBasis,
) {
    // The lease is checked again right before the order leaves.
    let may_order = context.host.order_epoch(context.now()) == Some(order.fence);
    let (verb, need, id) = (order.verb, order.need.clone(), target.id.clone());
    let precondition = order.precondition;
    let fence = order.fence;
    let answer = if may_order {
        match context.ports.engines.order(target, order).await {
            Ok(answer) => Some(answer),
            Err(error) => {
                log::warn!(upstream:% = id, error:% = error; "order without an answer");
                None
            }
        }
    } else {
        None
    };
    log::info!(
        upstream:% = id,
        order:% = verb,
        need:% = need,
        precondition,
        fence,
        reason = basis.reason,
        source:? = basis.source,
        rate_per_s = basis.rate_per_s,
        copies = basis.copies,
        store_loads = basis.store_loads,
        answer:? = answer;
        "order"
    );
    count_order(context, verb, answer);
    let now = context.now();
    context
        .host
        .with_planner(|planner| planner.take_answer(now, key, answer));
}

fn count_order(context: &GatewayContext, verb: OrderVerb, answer: Option<OrderAnswer>) {
    let outcome = match answer {
        Some(OrderAnswer::Accepted | OrderAnswer::AlreadyDone) => "done",
        Some(_) => "refused",
        None => "unanswered",
    };
    let labels = OrderLabels {
        order: verb.to_string(),
        outcome: outcome.to_owned(),
    };
    context.metrics.orders.get_or_create(&labels).inc();
}
