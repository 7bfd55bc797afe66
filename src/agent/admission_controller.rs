//! Lets requests into the queue, or refuses them early.

use std::rc::Rc;

use futures_channel::oneshot;

use super::agent_context::AgentContext;
use crate::admission::{ForecastInput, RankKey, WorkItem, WorkKey};
use crate::prelude::*;
use crate::rpc::{UpstreamCall, WorkMetadata};

/// Stands for the crash elsewhere that made a request a suspect.
const CRASH_ELSEWHERE: u64 = 0;

/// Percent of a forecast wait that is taken for sure.
const SURE_PERCENT: u64 = 75;

/// What a waiting request is told.
pub type GrantResult = Result<RunTicket, RequestRefusal>;

/// A waiting request's way back to its handler.
pub struct WaitingWork {
    /// Told when the request may run or is refused.
    pub grant: oneshot::Sender<GrantResult>,
    /// The request.
    pub head: Rc<WorkMetadata>,
    /// When it arrived.
    pub arrived_at: MonoTime,
}

/// A place in the queue; dropping it takes the request out.
pub struct QueuePlace {
    context: Rc<AgentContext>,
    key: WorkKey,
    /// Told when the request may run or is refused.
    pub granted: oneshot::Receiver<GrantResult>,
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        drop(withdraw(&self.context, self.key));
    }
}

/// The right to run one request; dropping it frees the place at the upstream.
pub struct RunTicket {
    context: Rc<AgentContext>,
    replica: Option<ReplicaName>,
    suspect: bool,
}

impl RunTicket {
    /// Takes a place at the upstream.
    pub fn take(context: &Rc<AgentContext>, item: &WorkItem) -> Self {
        context.running.set(context.running.get() + 1);
        if item.suspect {
            context
                .suspects_running
                .set(context.suspects_running.get() + 1);
        }
        if let Some(replica) = &item.replica {
            context.holder.borrow_mut().begin_run(replica);
        }
        Self {
            context: Rc::clone(context),
            replica: item.replica.clone(),
            suspect: item.suspect,
        }
    }
}

impl Drop for RunTicket {
    fn drop(&mut self) {
        let context = &self.context;
        context.running.set(context.running.get() - 1);
        if self.suspect {
            context
                .suspects_running
                .set(context.suspects_running.get() - 1);
        }
        if let Some(replica) = &self.replica {
            context.holder.borrow_mut().end_run(context.now(), replica);
        }
        context.dispatch.notify();
    }
}

/// Puts a request into the queue.
///
/// # Errors
/// A refusal, always `not_run`, if the request cannot be served in time here.
pub fn admit(
    context: &Rc<AgentContext>,
    head: &Rc<WorkMetadata>,
    deadline: MonoTime,
) -> Result<QueuePlace, RequestRefusal> {
    check_target(context, &head.call)?;
    if head.suspect {
        let mut quarantine = context.quarantine.borrow_mut();
        quarantine.record(context.now(), head.fingerprint, CRASH_ELSEWHERE);
    }
    let item = work_item(context, head, deadline);
    check_forecast(context, &item)?;
    let now = context.now();
    let replica = item.replica.clone();
    let rank = item.rank;
    let (grant, granted) = oneshot::channel();
    let waiting = WaitingWork {
        grant,
        head: Rc::clone(head),
        arrived_at: now,
    };
    let pushed = context.queue.borrow_mut().push(item, waiting);
    let outcome = pushed.map_err(|_| RequestRefusal::not_run(RefusalReason::QueueFull))?;
    if let Some(evicted) = outcome.evicted {
        refuse_waiting(context, evicted, RefusalReason::QueueFull);
    }
    if let Some(replica) = &replica {
        let mut holder = context.holder.borrow_mut();
        holder.enqueue(now, replica, rank.0, deadline);
    }
    context.dispatch.notify();
    Ok(QueuePlace {
        context: Rc::clone(context),
        key: outcome.key,
        granted,
    })
}

/// Takes a waiting request out and refuses it.
pub fn refuse_waiting(context: &Rc<AgentContext>, key: WorkKey, reason: RefusalReason) {
    if let Some(waiting) = withdraw(context, key) {
        let _ = waiting.grant.send(Err(RequestRefusal::not_run(reason)));
    }
}

/// Takes a waiting request out of queue and counts.
pub fn withdraw(context: &Rc<AgentContext>, key: WorkKey) -> Option<WaitingWork> {
    let (item, waiting) = context.queue.borrow_mut().remove(key)?;
    if let Some(replica) = &item.replica {
        context.holder.borrow_mut().dequeue(replica);
    }
    Some(waiting)
}

/// Forecast milliseconds that a new request of a rank would wait in the queue.
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

/// Waiting requests whose forecast misses their deadline by a margin, so that the entry can
/// try another upstream while there is time.
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
            now + wait_ms * SURE_PERCENT / 100 + item.needed_ms > item.deadline
        });
        misses.extend(late.map(|(key, _, _)| key));
    }
    misses
}

/// Mean milliseconds that the waiting requests will run.
fn mean_service_ms(context: &AgentContext) -> u64 {
    let queue = context.queue.borrow();
    let count = queue.len() as u64;
    let sum: u64 = queue.items().map(|item| item.service_ms).sum();
    let fallback = context.estimate.borrow().first_ms().max(1);
    sum.checked_div(count).unwrap_or(fallback)
}

fn check_target(context: &AgentContext, call: &UpstreamCall) -> Result<(), RequestRefusal> {
    if context.leaving.get() {
        return Err(RequestRefusal::not_run(RefusalReason::UpstreamLeaving));
    }
    let is_served = match call {
        UpstreamCall::Engine { replica, .. } => {
            context.is_healthy() && context.holder.borrow().accepts(replica)
        }
        UpstreamCall::Service { service, .. } => context.service_name() == Some(service),
    };
    if is_served {
        Ok(())
    } else {
        Err(RequestRefusal::not_run(RefusalReason::NoReplica))
    }
}

fn work_item(context: &AgentContext, head: &WorkMetadata, deadline: MonoTime) -> WorkItem {
    let estimate = context.estimate.borrow();
    let service_ms = estimate.service_ms(head.tokens);
    WorkItem {
        rank: context.queue.borrow().rank_key(&head.rank),
        team: head.team.clone(),
        share: head.share,
        deadline,
        service_ms,
        needed_ms: if head.stream {
            estimate.first_ms()
        } else {
            service_ms
        },
        replica: head.call.replica().cloned(),
        suspect: head.suspect,
    }
}

fn check_forecast(context: &AgentContext, item: &WorkItem) -> Result<(), RequestRefusal> {
    let now = context.now();
    let wait_ms = forecast_wait_ms(context, item.rank, item.deadline);
    let ready_ms = match &item.replica {
        Some(replica) => context.holder.borrow().ready_ms(now, replica).unwrap_or(0),
        None => 0,
    };
    if now + wait_ms.max(ready_ms) + item.needed_ms > item.deadline {
        return Err(RequestRefusal::not_run(RefusalReason::DeadlineUnreachable));
    }
    Ok(())
}
