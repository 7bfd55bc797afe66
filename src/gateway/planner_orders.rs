//! Sends the planner's orders to engines and reads the engines' state.

use std::rc::Rc;
use std::time::Duration;

use super::GatewayContext;
use crate::fleet::UpstreamKey;
use crate::metrics::OrderLabels;
use crate::orders::{
    EngineOrder, OrderAnswer, OrderBasis, OrderVerb, PlannerAction, ReportFailure, UpstreamTarget,
};

/// Milliseconds between planner ticks while nothing changes.
const PLANNER_TICK_MS: u64 = 40;

/// Shortest pause between two planner ticks in milliseconds; faster changes are batched.
const MIN_TICK_MS: u64 = 12;

/// Milliseconds between checks whether this process has become the planner.
const IDLE_POLL_MS: u64 = 2_000;

/// Executes the planner's actions while the lease is held.
pub async fn run_orders(context: Rc<GatewayContext>) {
    loop {
        let now = context.now();
        let Some(epoch) = context.host.held_epoch(now) else {
            let pause_ms = if context.host.is_active() {
                PLANNER_TICK_MS
            } else {
                IDLE_POLL_MS
            };
            context.host.order_wake.wait(pause_ms).await;
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
            compio::time::sleep(Duration::from_millis(MIN_TICK_MS)).await;
            context.host.order_wake.wait(PLANNER_TICK_MS).await;
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
            send_order(context, key, target, order, basis).await;
        }
    }
}

async fn read_engine(context: &Rc<GatewayContext>, key: UpstreamKey, target: UpstreamTarget) {
    let id = target.id.clone();
    let report = context.ports.engines.report(target).await;
    if let Err(error) = &report {
        log::warn!(upstream:% = id, error:% = error; "engine state not read");
    }
    let now = context.now();
    context.host.with_planner(|planner| match &report {
        Ok(report) => planner.apply_report(now, key, Some(report)),
        Err(ReportFailure::Unanswered(_)) => planner.apply_report(now, key, None),
        Err(ReportFailure::Invalid(_)) => planner.apply_invalid_report(now, key),
    });
}

async fn send_order(
    context: &Rc<GatewayContext>,
    key: UpstreamKey,
    target: UpstreamTarget,
    order: EngineOrder,
    basis: OrderBasis,
) {
    // The lease is checked again right before the order is sent.
    let is_lease_held = context.host.held_epoch(context.now()) == Some(order.fence);
    let (verb, need, id) = (order.verb, order.need.clone(), target.id.clone());
    let precondition = order.precondition;
    let fence = order.fence;
    let answer = if is_lease_held {
        let in_flight = &context.host.orders_in_flight;
        in_flight.set(in_flight.get() + 1);
        let answer = context.ports.engines.order(target, order).await;
        in_flight.set(in_flight.get() - 1);
        match answer {
            Ok(answer) => Some(answer),
            Err(error) => {
                log::warn!(upstream:% = id, error:% = error; "engine order not answered");
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
        store_limit = basis.store_limit,
        value = basis.value,
        answer:? = answer;
        "order"
    );
    count_order(context, verb, answer);
    let now = context.now();
    context
        .host
        .with_planner(|planner| planner.apply_answer(now, key, answer));
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
