//! Executes load and unload orders at the engine.

use std::rc::Rc;

use super::agent_context::AgentContext;
use super::permit_controller::acquire_permit;
use crate::decision::DecisionEvent;
use crate::engine::{EngineError, LoadCommand, UnloadCommand};
use crate::membership::MemberRole;
use crate::memory::MemoryUnit;
use crate::metrics::OrderLabels;
use crate::placement::{EngineOrder, OrderOutcome};

/// Time in milliseconds after which an unload counts as unanswered.
const UNLOAD_TIMEOUT_MS: u64 = 5_000;

/// Time in milliseconds after which an adapter load counts as unanswered.
const ADAPTER_LOAD_TIMEOUT_MS: u64 = 5_000;

/// Multiple of the model's usual load time after which a load counts as unanswered.
const LOAD_TIMEOUT_FACTOR: u64 = 10;

/// Milliseconds added to the timeout of a load.
const LOAD_TIMEOUT_EXTRA_MS: u64 = 10_000;

/// Load time in milliseconds of a model that is not in the settings.
const DEFAULT_LOAD_MS: u64 = 5_000;

/// Executes one order and reports its outcome to the residency manager. Without an answer,
/// it also raises the fencing token.
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
    context
        .residency
        .borrow_mut()
        .complete(now, &order, outcome);
    context.dispatch_wake.notify();
    context.report_wake.notify();
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
    if !may_load(context, unit) {
        return OrderOutcome::Refused;
    }
    log_load(context, unit, memory_mb);
    let load_ms = context.node.fleet().ok().and_then(|fleet| {
        let model = fleet.model_of(unit.replica());
        model.map(|model| model.load_ms)
    });
    let limit_ms = load_ms.unwrap_or(DEFAULT_LOAD_MS) * LOAD_TIMEOUT_FACTOR + LOAD_TIMEOUT_EXTRA_MS;
    let outcome = send_load(context, unit, memory_mb, limit_ms).await;
    drop(permit);
    outcome
}

async fn load_adapter(
    context: &Rc<AgentContext>,
    unit: &MemoryUnit,
    memory_mb: u64,
) -> OrderOutcome {
    let limit = adapter_load_limit(context);
    let permit = context.adapter_limiter.acquire(limit).await;
    if !may_load(context, unit) {
        return OrderOutcome::Refused;
    }
    let outcome = send_load(context, unit, memory_mb, ADAPTER_LOAD_TIMEOUT_MS).await;
    drop(permit);
    outcome
}

/// This agent's share of the fleet's limit on adapter loads in flight, at least 1.
fn adapter_load_limit(context: &AgentContext) -> usize {
    let limit = context
        .node
        .fleet()
        .map_or(1, |fleet| fleet.limits.adapter_loads_at_once as usize);
    let members = context.node.members.borrow();
    let agents = members.of_role(MemberRole::Agent).count();
    (limit / agents.max(1)).max(1)
}

/// Whether the engine is healthy and the replica's slot still allows the load; checked
/// immediately before each load order, after all waits.
fn may_load(context: &AgentContext, unit: &MemoryUnit) -> bool {
    context.is_healthy() && context.residency.borrow().accepts(unit.replica())
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
    outcome_of(&engine.unload(&command, UNLOAD_TIMEOUT_MS).await)
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
    let manager = context.residency.borrow();
    context.node.decisions.record(DecisionEvent::Load {
        unit: unit.clone(),
        memory_mb,
        used_mb: manager.ledger().used_mb(),
        capacity_mb: manager.ledger().capacity_mb(),
    });
}

fn log_unload(context: &AgentContext, unit: &MemoryUnit) {
    let manager = context.residency.borrow();
    context.node.decisions.record(DecisionEvent::Unload {
        unit: unit.clone(),
        used_mb: manager.ledger().used_mb(),
        capacity_mb: manager.ledger().capacity_mb(),
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
