//! Gives the planner's orders to engines and reads their state.

use std::rc::Rc;
use std::time::Duration;

use super::GatewayContext;
use crate::fleet::UpstreamKey;
use crate::metrics::OrderLabels;
use crate::orders::{
    EngineOrder, OrderAnswer, OrderBasis, OrderVerb, PlannerAction, UpstreamTarget,
};

/// Milliseconds between steps of the planner without news.
const PLANNER_STEP_MS: u64 = 40;

/// Least milliseconds between two steps; news that come faster are looked at together.
const MIN_STEP_MS: u64 = 12;

/// Milliseconds between checks whether this process plans.
const IDLE_STEP_MS: u64 = 2_000;

/// Gives the planner's orders while the lease is held.
pub async fn run_orders(context: Rc<GatewayContext>) {
    loop {
        let now = context.now();
        let Some(epoch) = context.host.held_epoch(now) else {
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
            compio::time::sleep(Duration::from_millis(MIN_STEP_MS)).await;
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
        .with_planner(|planner| planner.apply_report(now, key, report.as_ref()));
}

async fn give_order(
    context: &Rc<GatewayContext>,
    key: UpstreamKey,
    target: UpstreamTarget,
    order: EngineOrder,
    basis: OrderBasis,
) {
    // The lease is checked again right before the order leaves.
    let may_order = context.host.held_epoch(context.now()) == Some(order.fence);
    let (verb, need, id) = (order.verb, order.need.clone(), target.id.clone());
    let precondition = order.precondition;
    let fence = order.fence;
    let answer = if may_order {
        let under_way = &context.host.orders_under_way;
        under_way.set(under_way.get() + 1);
        let answer = context.ports.engines.order(target, order).await;
        under_way.set(under_way.get() - 1);
        match answer {
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
