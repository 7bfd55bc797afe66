//! Carries out orders to the engine.

use std::rc::Rc;

use super::agent_context::AgentContext;
use super::permit_controller::acquire_permit;
use crate::decision::DecisionEvent;
use crate::engine::{EngineError, LoadCommand, UnloadCommand};
use crate::membership::MemberRole;
use crate::memory::MemoryUnit;
use crate::metrics::OrderLabels;
use crate::placement::{EngineOrder, OrderOutcome};

/// Milliseconds before an unload counts as unanswered.
const UNLOAD_LIMIT_MS: u64 = 5_000;

/// Milliseconds before an adapter load counts as unanswered.
const ADAPTER_LIMIT_MS: u64 = 5_000;

/// Multiple of the usual load time before a load counts as unanswered.
const LOAD_LIMIT_FACTOR: u64 = 10;

/// Milliseconds added to that limit.
const LOAD_LIMIT_EXTRA_MS: u64 = 10_000;

/// Load time assumed where the settings do not tell, in milliseconds.
const UNKNOWN_LOAD_MS: u64 = 5_000;

/// Carries out one order and tells the holder what became of it.
pub async fn execute_order(context: Rc<AgentContext>, order: EngineOrder) {
    let outcome = match &order {
        EngineOrder::Load { unit, memory_mb } => match unit {
            MemoryUnit::Replica(_) => load_replica(&context, unit, *memory_mb).await,
            MemoryUnit::Adapter(_) => load_adapter(&context, unit, *memory_mb).await,
        },
        EngineOrder::Unload { unit } => unload(&context, unit).await,
    };
    if outcome == OrderOutcome::Unanswered {
        context.engine_view.borrow_mut().raise_fence();
    }
    count_order(&context, &order, outcome);
    let now = context.now();
    context.holder.borrow_mut().complete(now, &order, outcome);
    context.dispatch.notify();
    context.report.notify();
}

async fn load_replica(
    context: &Rc<AgentContext>,
    unit: &MemoryUnit,
    memory_mb: u64,
) -> OrderOutcome {
    let is_cached = context.engine_view.borrow().cached.contains(unit.replica());
    let permit = if is_cached {
        None
    } else {
        match acquire_permit(context, unit.replica()).await {
            Some(permit) => Some(permit),
            None => return OrderOutcome::Refused,
        }
    };
    if !has_right(context, unit) {
        return OrderOutcome::Refused;
    }
    log_load(context, unit, memory_mb);
    let load_ms = context.node.fleet().ok().and_then(|fleet| {
        let model = fleet.model_of(unit.replica());
        model.map(|model| model.load_ms)
    });
    let limit_ms = load_ms.unwrap_or(UNKNOWN_LOAD_MS) * LOAD_LIMIT_FACTOR + LOAD_LIMIT_EXTRA_MS;
    let outcome = send_load(context, unit, memory_mb, limit_ms).await;
    drop(permit);
    outcome
}

async fn load_adapter(
    context: &Rc<AgentContext>,
    unit: &MemoryUnit,
    memory_mb: u64,
) -> OrderOutcome {
    let places = adapter_places(context);
    let place = context.adapter_limiter.enter(places).await;
    if !has_right(context, unit) {
        return OrderOutcome::Refused;
    }
    let outcome = send_load(context, unit, memory_mb, ADAPTER_LIMIT_MS).await;
    drop(place);
    outcome
}

/// This agent's part of the fleet's adapter loads in flight.
fn adapter_places(context: &AgentContext) -> usize {
    let limit = context
        .node
        .fleet()
        .map_or(1, |fleet| fleet.limits.adapter_loads_at_once as usize);
    let members = context.node.members.borrow();
    let agents = members.of_role(MemberRole::Agent).count();
    (limit / agents.max(1)).max(1)
}

/// Checked immediately before each load order.
fn has_right(context: &AgentContext, unit: &MemoryUnit) -> bool {
    context.is_healthy() && context.holder.borrow().accepts(unit.replica())
}

async fn send_load(
    context: &AgentContext,
    unit: &MemoryUnit,
    memory_mb: u64,
    limit_ms: u64,
) -> OrderOutcome {
    let Some(engine) = &context.engine else {
        return OrderOutcome::Refused;
    };
    let command = LoadCommand {
        unit: unit.clone(),
        memory_mb,
        fence: context.engine_view.borrow().fence,
    };
    outcome_of(&engine.load(&command, limit_ms).await)
}

async fn unload(context: &AgentContext, unit: &MemoryUnit) -> OrderOutcome {
    let Some(engine) = &context.engine else {
        return OrderOutcome::Refused;
    };
    log_unload(context, unit);
    let command = UnloadCommand {
        unit: unit.clone(),
        fence: context.engine_view.borrow().fence,
    };
    outcome_of(&engine.unload(&command, UNLOAD_LIMIT_MS).await)
}

fn outcome_of(result: &Result<(), EngineError>) -> OrderOutcome {
    match result {
        Ok(()) => OrderOutcome::Done,
        Err(EngineError::Refused(status)) if *status < 500 => OrderOutcome::Refused,
        Err(error) => {
            log::warn!(error:% = error; "engine order outcome unknown");
            OrderOutcome::Unanswered
        }
    }
}

fn log_load(context: &AgentContext, unit: &MemoryUnit, memory_mb: u64) {
    let holder = context.holder.borrow();
    context.node.decisions.record(DecisionEvent::Load {
        unit: unit.clone(),
        memory_mb,
        used_mb: holder.ledger().used_mb(),
        capacity_mb: holder.ledger().capacity_mb(),
    });
}

fn log_unload(context: &AgentContext, unit: &MemoryUnit) {
    let holder = context.holder.borrow();
    context.node.decisions.record(DecisionEvent::Unload {
        unit: unit.clone(),
        used_mb: holder.ledger().used_mb(),
        capacity_mb: holder.ledger().capacity_mb(),
    });
}

fn count_order(context: &AgentContext, order: &EngineOrder, outcome: OrderOutcome) {
    let order = match order {
        EngineOrder::Load { .. } => "load",
        EngineOrder::Unload { .. } => "unload",
    };
    let outcome = match outcome {
        OrderOutcome::Done => "done",
        OrderOutcome::Refused => "refused",
        OrderOutcome::Unanswered => "unanswered",
    };
    let labels = OrderLabels {
        order: order.to_owned(),
        outcome: outcome.to_owned(),
    };
    context.node.metrics.orders.get_or_create(&labels).inc();
}
