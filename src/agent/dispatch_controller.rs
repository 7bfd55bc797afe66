//! Dispatch loop: refuses requests that cannot meet their deadline, issues load orders and
//! dispatches queued requests.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::admission_controller::{RunTicket, forecast_misses, refuse_waiting};
use super::agent_context::AgentContext;
use super::order_controller::execute_order;
use crate::admission::WorkItem;
use crate::decision::DecisionEvent;
use crate::memory::MemoryUnit;
use crate::prelude::*;

/// Maximum interval between two dispatch rounds in milliseconds.
const MAX_ROUND_INTERVAL_MS: u64 = 50;

/// Minimum length of a forecast window in milliseconds.
const FORECAST_WINDOW_MS: u64 = 500;

/// Runs the dispatch loop; never returns.
pub async fn run_dispatch(context: Rc<AgentContext>) {
    let mut window_at = context.now();
    loop {
        context.dispatch_wake.wait(MAX_ROUND_INTERVAL_MS).await;
        refuse_unreachable_deadlines(&context);
        issue_orders(&context);
        dispatch_ready(&context);
        let now = context.now();
        if now.millis_since(window_at) >= FORECAST_WINDOW_MS {
            close_window(&context, now.millis_since(window_at));
            window_at = now;
        }
    }
}

fn close_window(context: &AgentContext, elapsed_ms: u64) {
    let now = context.now();
    let limit = u64::from(context.limiter.borrow().limit());
    context
        .forecast
        .borrow_mut()
        .close_window(elapsed_ms * limit);
    context.estimate.borrow_mut().decay(now);
    let metrics = &context.node.metrics;
    metrics.running.set(i64::from(context.running.get()));
    let waiting = context.queue.borrow().len();
    metrics
        .waiting
        .set(i64::try_from(waiting).unwrap_or(i64::MAX));
    let used_mb = context.residency.borrow().ledger().used_mb();
    metrics
        .memory_used_mb
        .set(i64::try_from(used_mb).unwrap_or(i64::MAX));
}

/// Refuses queued requests that can no longer meet their deadline.
fn refuse_unreachable_deadlines(context: &Rc<AgentContext>) {
    if context.queue.borrow().is_empty() {
        return;
    }
    let now = context.now();
    let ready: BTreeMap<ReplicaName, u64> = context
        .residency
        .borrow()
        .statuses(now)
        .into_iter()
        .map(|(replica, status)| (replica, status.ready_ms))
        .collect();
    let ready_ms = |item: &WorkItem| {
        let replica = item.replica.as_ref();
        replica
            .and_then(|name| ready.get(name))
            .copied()
            .unwrap_or(0)
    };
    let infeasible = context.queue.borrow().infeasible(now, ready_ms);
    for key in infeasible.into_iter().chain(forecast_misses(context)) {
        refuse_waiting(context, key, RefusalReason::DeadlineUnreachable);
    }
}

fn issue_orders(context: &Rc<AgentContext>) {
    if !context.is_healthy() || context.engine.is_none() {
        return;
    }
    let orders = context.residency.borrow_mut().next_orders(context.now());
    for order in orders {
        compio::runtime::spawn(execute_order(Rc::clone(context), order)).detach();
    }
}

fn dispatch_ready(context: &Rc<AgentContext>) {
    while context.running.get() < context.limiter.borrow().limit() && context.is_healthy() {
        let popped = {
            let manager = context.residency.borrow();
            let suspects = context.suspects_running.get();
            let is_ready = |item: &WorkItem| {
                let is_loaded = item
                    .replica
                    .as_ref()
                    .is_none_or(|replica| manager.is_loaded(&MemoryUnit::Replica(replica.clone())));
                is_loaded && !(item.is_suspect && suspects > 0)
            };
            context.queue.borrow_mut().pop(is_ready)
        };
        let Some((item, waiting)) = popped else {
            return;
        };
        if let Some(replica) = &item.replica {
            context.residency.borrow_mut().dequeue(replica);
        }
        if context.is_quarantined(waiting.metadata.fingerprint) {
            let refusal = RequestRefusal::not_run(RefusalReason::Quarantined);
            let _ = waiting.grant.send(Err(refusal));
            continue;
        }
        context
            .forecast
            .borrow_mut()
            .record(item.rank, item.service_ms);
        let ticket = RunTicket::acquire(context, &item);
        log_dispatch(context, &waiting.metadata, waiting.arrived_at);
        let _ = waiting.grant.send(Ok(ticket));
    }
}

fn log_dispatch(context: &AgentContext, metadata: &crate::rpc::WorkMetadata, arrived_at: MonoTime) {
    context.node.decisions.record(DecisionEvent::HandOver {
        request: metadata.request.clone(),
        attempt: metadata.attempt,
        rank: metadata.rank.clone(),
        waited_ms: context.now().millis_since(arrived_at),
        running: context.running.get(),
        limit: context.limiter.borrow().limit(),
    });
}
