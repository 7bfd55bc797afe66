//! Admission control: queues a request, or refuses it early if it cannot meet its deadline.

use std::rc::Rc;

use futures_channel::oneshot;

use super::agent_context::AgentContext;
use crate::admission::{ForecastInput, RankKey, WorkItem, WorkKey};
use crate::prelude::*;
use crate::rpc::{UpstreamCall, WorkMetadata};

/// Crash ID recorded for a request that arrives as a suspect, since it was in flight at
/// a crash of another upstream.
const REMOTE_CRASH: u64 = 0;

/// Percentage of the forecast wait that counts when a queued request is checked against its
/// deadline; the rest is a margin for forecast error.
const FORECAST_WEIGHT_PERCENT: u64 = 75;

/// Outcome of a wait in the queue.
pub type GrantResult = Result<RunTicket, RequestRefusal>;

/// Connects a queued request to the handler that waits for it.
pub struct WaitingWork {
    /// Receives the ticket or the refusal.
    pub grant: oneshot::Sender<GrantResult>,
    /// The request.
    pub metadata: Rc<WorkMetadata>,
    /// When the request entered the queue.
    pub arrived_at: MonoTime,
}

/// Keeps a request in the queue; dropping it removes the request.
pub struct QueueGuard {
    context: Rc<AgentContext>,
    key: WorkKey,
    /// Resolves to the ticket or the refusal.
    pub granted: oneshot::Receiver<GrantResult>,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        drop(withdraw(&self.context, self.key));
    }
}

/// Right to run one request at the upstream, counted against the concurrency limit;
/// dropping it frees the capacity.
pub struct RunTicket {
    context: Rc<AgentContext>,
    replica: Option<ReplicaName>,
    is_suspect: bool,
}

impl RunTicket {
    /// Counts the request as running. The caller checks the concurrency limit first.
    pub fn acquire(context: &Rc<AgentContext>, item: &WorkItem) -> Self {
        context.running.set(context.running.get() + 1);
        if item.is_suspect {
            context
                .suspects_running
                .set(context.suspects_running.get() + 1);
        }
        if let Some(replica) = &item.replica {
            context.residency.borrow_mut().begin_run(replica);
        }
        Self {
            context: Rc::clone(context),
            replica: item.replica.clone(),
            is_suspect: item.is_suspect,
        }
    }
}

impl Drop for RunTicket {
    fn drop(&mut self) {
        let context = &self.context;
        context.running.set(context.running.get() - 1);
        if self.is_suspect {
            context
                .suspects_running
                .set(context.suspects_running.get() - 1);
        }
        if let Some(replica) = &self.replica {
            context
                .residency
                .borrow_mut()
                .end_run(context.now(), replica);
        }
        context.dispatch_wake.notify();
    }
}

/// Queues a request if its forecast meets the deadline.
///
/// # Errors
/// A refusal, always `not_run`, if this upstream cannot serve the request in time.
pub fn admit(
    context: &Rc<AgentContext>,
    metadata: &Rc<WorkMetadata>,
    deadline: MonoTime,
) -> Result<QueueGuard, RequestRefusal> {
    check_upstream(context, &metadata.call)?;
    if metadata.suspect {
        let mut quarantine = context.quarantine.borrow_mut();
        quarantine.record(context.now(), metadata.fingerprint, REMOTE_CRASH);
    }
    let item = work_item(context, metadata, deadline);
    check_forecast(context, &item)?;
    let now = context.now();
    let replica = item.replica.clone();
    let rank = item.rank;
    let (grant, granted) = oneshot::channel();
    let waiting = WaitingWork {
        grant,
        metadata: Rc::clone(metadata),
        arrived_at: now,
    };
    let pushed = context.queue.borrow_mut().push(item, waiting);
    let outcome = pushed.map_err(|_| RequestRefusal::not_run(RefusalReason::QueueFull))?;
    if let Some(evicted) = outcome.evicted {
        refuse_waiting(context, evicted, RefusalReason::QueueFull);
    }
    if let Some(replica) = &replica {
        let mut manager = context.residency.borrow_mut();
        manager.enqueue(now, replica, rank.0, deadline);
    }
    context.dispatch_wake.notify();
    Ok(QueueGuard {
        context: Rc::clone(context),
        key: outcome.key,
        granted,
    })
}

/// Removes a request from the queue and refuses it; does nothing if it is no longer queued.
pub fn refuse_waiting(context: &Rc<AgentContext>, key: WorkKey, reason: RefusalReason) {
    if let Some(waiting) = withdraw(context, key) {
        let _ = waiting.grant.send(Err(RequestRefusal::not_run(reason)));
    }
}

/// Removes a request from the queue and from the waiting count of its replica; `None` if it
/// is no longer queued.
pub fn withdraw(context: &Rc<AgentContext>, key: WorkKey) -> Option<WaitingWork> {
    let (item, waiting) = context.queue.borrow_mut().remove(key)?;
    if let Some(replica) = &item.replica {
        context.residency.borrow_mut().dequeue(replica);
    }
    Some(waiting)
}

/// Forecasts how many milliseconds a new request with this rank and deadline would wait in
/// the queue.
pub fn forecast_wait_ms(context: &AgentContext, rank: RankKey, deadline: MonoTime) -> u64 {
    let (urgent_ms, own_ms) = context.queue.borrow().work_ahead(rank, deadline);
    let input = forecast_input(context, rank, urgent_ms, own_ms);
    context.forecast.borrow().wait_ms(input)
}

fn forecast_input(
    context: &AgentContext,
    rank: RankKey,
    urgent_ms: u64,
    own_ms: u64,
) -> ForecastInput {
    let queue = context.queue.borrow();
    let floor = queue.ranks().find(|(key, _)| *key == rank);
    ForecastInput {
        rank,
        floor_percent: floor.map_or(0, |(_, share)| share.floor_percent),
        urgent_ms,
        own_ms,
        running: context.running.get(),
        limit: context.limiter.borrow().limit(),
        service_ms: mean_service_ms(context),
    }
}

/// Finds queued requests that are forecast to miss their deadline by a margin. They are
/// refused early so that the entry still has time to try another upstream.
pub fn forecast_misses(context: &AgentContext) -> Vec<WorkKey> {
    let now = context.now();
    let ranks: Vec<RankKey> = context.queue.borrow().ranks().map(|(key, _)| key).collect();
    let mut misses = Vec::new();
    for rank in ranks {
        let (urgent_ms, _) = context.queue.borrow().work_ahead(rank, now);
        let input = forecast_input(context, rank, urgent_ms, 0);
        let forecast = context.forecast.borrow();
        let queue = context.queue.borrow();
        let late = queue.lane(rank).filter(|(_, item, own_ms)| {
            let wait_ms = forecast.wait_ms(ForecastInput {
                own_ms: *own_ms,
                ..input
            });
            now + wait_ms * FORECAST_WEIGHT_PERCENT / 100 + item.needed_ms > item.deadline
        });
        misses.extend(late.map(|(key, _, _)| key));
    }
    misses
}

/// Mean expected run time of the queued requests in milliseconds; with an empty queue, the
/// estimated time to the first token.
fn mean_service_ms(context: &AgentContext) -> u64 {
    let queue = context.queue.borrow();
    let count = queue.len() as u64;
    let sum: u64 = queue.items().map(|item| item.service_ms).sum();
    let fallback = context.estimate.borrow().first_ms().max(1);
    sum.checked_div(count).unwrap_or(fallback)
}

fn check_upstream(context: &AgentContext, call: &UpstreamCall) -> Result<(), RequestRefusal> {
    if context.is_leaving.get() {
        return Err(RequestRefusal::not_run(RefusalReason::UpstreamLeaving));
    }
    let is_served = match call {
        UpstreamCall::Engine { replica, .. } => {
            context.is_healthy() && context.residency.borrow().accepts(replica)
        }
        UpstreamCall::Service { service, .. } => context.service_name() == Some(service),
    };
    if is_served {
        Ok(())
    } else {
        Err(RequestRefusal::not_run(RefusalReason::NoReplica))
    }
}

fn work_item(context: &AgentContext, metadata: &WorkMetadata, deadline: MonoTime) -> WorkItem {
    let estimate = context.estimate.borrow();
    let service_ms = estimate.service_ms(metadata.tokens);
    WorkItem {
        rank: context.queue.borrow().rank_key(&metadata.rank),
        team: metadata.team.clone(),
        share: metadata.share,
        deadline,
        service_ms,
        needed_ms: if metadata.stream {
            estimate.first_ms()
        } else {
            service_ms
        },
        replica: metadata.call.replica().cloned(),
        is_suspect: metadata.suspect,
    }
}

fn check_forecast(context: &AgentContext, item: &WorkItem) -> Result<(), RequestRefusal> {
    let now = context.now();
    let wait_ms = forecast_wait_ms(context, item.rank, item.deadline);
    let ready_ms = match &item.replica {
        Some(replica) => context
            .residency
            .borrow()
            .ready_ms(now, replica)
            .unwrap_or(0),
        None => 0,
    };
    if now + wait_ms.max(ready_ms) + item.needed_ms > item.deadline {
        return Err(RequestRefusal::not_run(RefusalReason::DeadlineUnreachable));
    }
    Ok(())
}
