//! Runs a request on a model engine.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use futures_util::{StreamExt, pin_mut};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use serde_json::value::RawValue;

use super::agent_context::AgentContext;
use super::answer_relay::AnswerRelay;
use super::engine_monitor::diagnose_disconnect;
use super::engine_view::InFlight;
use super::order_controller::execute_order;
use super::run_controller::{MAX_ANSWER_BYTES, RunEnd, RunJob};
use crate::admission::ServiceSample;
use crate::memory::{AdapterUnit, MemoryUnit};
use crate::net::{EventBuffer, read_body};
use crate::prelude::*;
use crate::run_once::RecordedAnswer;

/// Interval between checks whether an adapter has been loaded, in milliseconds.
const ADAPTER_POLL_MS: u64 = 2;

/// Time in milliseconds beyond the deadline that a request waits for the first byte, or for
/// the rest of an answer that is not streamed.
const DEADLINE_GRACE_MS: u64 = 200;

/// Time limit for the answer to a non-idempotent call, in milliseconds; replaces the
/// deadline.
const KEYED_TIMEOUT_MS: u64 = 120_000;

/// Time in milliseconds that an abandoned request still counts as in flight, since a crash
/// that it caused may be detected later.
const CRASH_WATCH_MS: u64 = 1_500;

/// Maximum time between two events of a stream, in milliseconds.
const EVENT_TIMEOUT_MS: u64 = 30_000;

/// A request in flight at the engine; dropping it removes the in-flight entry.
struct EngineRun<'a> {
    context: &'a Rc<AgentContext>,
    attempt: AttemptId,
    boot_id: u64,
    began_at: MonoTime,
    lost: oneshot::Receiver<()>,
    /// Delays the removal of the in-flight entry by [`CRASH_WATCH_MS`], since a crash may
    /// be detected later.
    is_abandoned: bool,
}

impl Drop for EngineRun<'_> {
    fn drop(&mut self) {
        if !self.is_abandoned {
            let mut view = self.context.engine_view.borrow_mut();
            view.in_flight.remove(&self.attempt);
            return;
        }
        let context = Rc::clone(self.context);
        let attempt = self.attempt;
        compio::runtime::spawn(async move {
            compio::time::sleep(Duration::from_millis(CRASH_WATCH_MS)).await;
            context.engine_view.borrow_mut().in_flight.remove(&attempt);
        })
        .detach();
    }
}

/// Why a request got no complete answer.
enum RunFailure {
    /// The connection to the engine broke or went silent.
    Disconnected,
    /// The engine no longer lists the request as running.
    Lost,
    /// Nobody waits for the answer.
    Abandoned,
    /// No answer or no next chunk came within the time limit.
    TimedOut,
}

/// Keeps an adapter from being unloaded while a request uses it.
struct AdapterUse<'a> {
    context: &'a AgentContext,
    unit: MemoryUnit,
}

impl<'a> AdapterUse<'a> {
    fn begin(context: &'a AgentContext, unit: &MemoryUnit) -> Self {
        let mut in_use = context.adapters_in_use.borrow_mut();
        *in_use.entry(unit.clone()).or_insert(0) += 1;
        Self {
            context,
            unit: unit.clone(),
        }
    }
}

impl Drop for AdapterUse<'_> {
    fn drop(&mut self) {
        let mut in_use = self.context.adapters_in_use.borrow_mut();
        let Some(count) = in_use.get_mut(&self.unit) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            in_use.remove(&self.unit);
        }
    }
}

/// Loads the adapter if the request needs one, runs the request and relays its answer.
pub async fn run_on_engine(
    context: &Rc<AgentContext>,
    job: &RunJob,
    replica: &ReplicaName,
    adapter: Option<&(AdapterUnit, u64)>,
    relay: &mut AnswerRelay,
) -> RunEnd {
    let mut _adapter_use = None;
    if let Some((unit, memory_mb)) = adapter {
        let unit = MemoryUnit::Adapter(unit.clone());
        _adapter_use = Some(AdapterUse::begin(context, &unit));
        if let Err(refusal) = ensure_adapter(context, job, &unit, *memory_mb).await {
            return RunEnd::Refused(refusal, None);
        }
    }
    let Some(body) = engine_body(&job.body, replica, adapter.map(|(unit, _)| unit)) else {
        return RunEnd::Refused(RequestRefusal::not_run(RefusalReason::MalformedBody), None);
    };
    let Some(mut run) = begin_run(context, job) else {
        return RunEnd::Refused(RequestRefusal::not_run(RefusalReason::NoReplica), None);
    };
    let end = exchange(&mut run, job, body, relay).await;
    match end {
        Ok(end) => end,
        Err(RunFailure::Abandoned) => {
            run.is_abandoned = true;
            let refusal = RequestRefusal::unknown(RefusalReason::UpstreamLost);
            RunEnd::Refused(refusal, None)
        }
        Err(failure) => end_failed_run(&run, failure, relay).await,
    }
}

fn begin_run<'a>(context: &'a Rc<AgentContext>, job: &RunJob) -> Option<EngineRun<'a>> {
    let now = context.now();
    let (lost_sender, lost) = oneshot::channel();
    let mut view = context.engine_view.borrow_mut();
    let boot_id = view.boot_id?;
    view.in_flight.insert(
        job.metadata.attempt,
        InFlight {
            fingerprint: job.metadata.fingerprint,
            boot_id,
            progress_at: now,
            is_blocked: false,
            lost: Some(lost_sender),
        },
    );
    drop(view);
    Some(EngineRun {
        context,
        attempt: job.metadata.attempt,
        boot_id,
        began_at: now,
        lost,
        is_abandoned: false,
    })
}

/// Sends the request and relays the answer.
async fn exchange(
    run: &mut EngineRun<'_>,
    job: &RunJob,
    body: Bytes,
    relay: &mut AnswerRelay,
) -> Result<RunEnd, RunFailure> {
    let context = run.context;
    let Some(engine) = &context.engine else {
        return Err(RunFailure::Disconnected);
    };
    let priority = context.queue.borrow().rank_key(&job.metadata.rank).0;
    let priority = u32::try_from(priority).unwrap_or(u32::MAX);
    let sending = engine.generate(job.metadata.attempt, priority, body);
    let response = await_until_deadline(run, job, relay, sending).await?;
    let response = response.map_err(|_| RunFailure::Disconnected)?;
    let status = response.status().as_u16();
    if let Some(refusal) = engine_refusal(status) {
        return Ok(RunEnd::Refused(refusal, None));
    }
    let content_type = response.headers().get("content-type");
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or("application/json").to_owned();
    if job.metadata.stream && job.metadata.run_key.is_none() {
        relay_stream(run, job, status, content_type, response, relay).await
    } else {
        read_whole(run, job, status, content_type, response, relay).await
    }
}

/// Maps an HTTP status with which the engine rejects or fails a request to a refusal;
/// `None` if the response is an answer. After a 5xx other than 503, the request may have
/// run.
fn engine_refusal(status: u16) -> Option<RequestRefusal> {
    match status {
        404 => Some(RequestRefusal::not_run(RefusalReason::NoReplica)),
        429 | 503 => Some(RequestRefusal::not_run(RefusalReason::QueueFull)),
        500..=599 => Some(RequestRefusal::unknown(RefusalReason::UpstreamFailed)),
        _ => None,
    }
}

/// Waits for `work`. Fails at the deadline plus a grace time, when the answer is lost or when
/// the caller is gone. A keyed request (one with a run key, which is not idempotent) has the
/// limit [`KEYED_TIMEOUT_MS`] instead of the deadline, and goes on without its caller.
async fn await_until_deadline<T>(
    run: &mut EngineRun<'_>,
    job: &RunJob,
    relay: &AnswerRelay,
    work: impl Future<Output = T>,
) -> Result<T, RunFailure> {
    let is_keyed = job.metadata.run_key.is_some();
    let limit_ms = if is_keyed {
        KEYED_TIMEOUT_MS
    } else {
        job.deadline.millis_since(run.context.now()) + DEADLINE_GRACE_MS
    };
    await_limited(run, relay, is_keyed, limit_ms, work).await
}

async fn await_limited<T>(
    run: &mut EngineRun<'_>,
    relay: &AnswerRelay,
    is_keyed: bool,
    limit_ms: u64,
    work: impl Future<Output = T>,
) -> Result<T, RunFailure> {
    const POLL_MS: u64 = 100;
    let watching = async {
        while is_keyed || !relay.is_abandoned() {
            compio::time::sleep(Duration::from_millis(POLL_MS)).await;
        }
    };
    pin_mut!(work, watching);
    let failure = select(&mut run.lost, watching);
    let limited = compio::time::timeout(Duration::from_millis(limit_ms), select(work, failure));
    match limited.await {
        Err(_) => Err(RunFailure::TimedOut),
        Ok(Either::Left((value, _))) => Ok(value),
        Ok(Either::Right((Either::Left(_), _))) => Err(RunFailure::Lost),
        Ok(Either::Right((Either::Right(_), _))) => Err(RunFailure::Abandoned),
    }
}

async fn relay_stream(
    run: &mut EngineRun<'_>,
    job: &RunJob,
    status: u16,
    content_type: String,
    response: Response<Incoming>,
    relay: &mut AnswerRelay,
) -> Result<RunEnd, RunFailure> {
    let mut chunks = response.into_body().into_data_stream();
    let mut buffer = EventBuffer::open();
    let mut first_at = None;
    let mut event_at = run.context.now();
    let mut tokens = 0;
    let mut is_ended = false;
    while !is_ended {
        let next = if first_at.is_none() {
            await_until_deadline(run, job, relay, chunks.next()).await?
        } else {
            // Bytes that complete no event are no progress.
            let idle_ms = run.context.now().millis_since(event_at);
            let left_ms = EVENT_TIMEOUT_MS.saturating_sub(idle_ms);
            await_limited(run, relay, false, left_ms, chunks.next()).await?
        };
        let events = if let Some(chunk) = next {
            let chunk = chunk.map_err(|_| RunFailure::Disconnected)?;
            let events = buffer.push(chunk);
            events.map_err(|_| RunFailure::Disconnected)?
        } else {
            if buffer.is_inside_event() {
                return Err(RunFailure::Disconnected);
            }
            is_ended = true;
            None
        };
        let Some(chunk) = events else {
            continue;
        };
        let now = run.context.now();
        event_at = now;
        if first_at.is_none() {
            first_at = Some(now);
            relay.begin_stream(status, content_type.clone());
        }
        tokens += count_events(&chunk);
        record_progress(run, now, true);
        if !relay.send_chunk(chunk).await {
            return Err(RunFailure::Abandoned);
        }
        record_progress(run, run.context.now(), false);
    }
    if first_at.is_none() {
        relay.begin_stream(status, content_type);
    }
    record_sample(run, job, first_at, tokens);
    Ok(RunEnd::Streamed)
}

async fn read_whole(
    run: &mut EngineRun<'_>,
    job: &RunJob,
    status: u16,
    content_type: String,
    response: Response<Incoming>,
    relay: &AnswerRelay,
) -> Result<RunEnd, RunFailure> {
    let reading = read_body(response.into_body(), MAX_ANSWER_BYTES, KEYED_TIMEOUT_MS);
    let body = await_until_deadline(run, job, relay, reading).await?;
    let body = body.map_err(|_| RunFailure::Disconnected)?;
    record_sample(run, job, None, u64::from(job.metadata.tokens));
    Ok(RunEnd::Whole(RecordedAnswer {
        status,
        content_type,
        body: String::from_utf8_lossy(&body).into_owned(),
    }))
}

/// Counts the JSON events in a chunk of a server-sent event stream; each holds one token.
fn count_events(chunk: &[u8]) -> u64 {
    let lines = chunk.split(|byte| *byte == b'\n');
    let events = lines.filter(|line| line.starts_with(b"data: {"));
    events.count() as u64
}

fn record_progress(run: &EngineRun<'_>, now: MonoTime, is_blocked: bool) {
    let mut view = run.context.engine_view.borrow_mut();
    if let Some(entry) = view.in_flight.get_mut(&run.attempt) {
        entry.progress_at = now;
        entry.is_blocked = is_blocked;
    }
}

fn record_sample(run: &EngineRun<'_>, job: &RunJob, first_at: Option<MonoTime>, tokens: u64) {
    let context = run.context;
    let now = context.now();
    let whole_us = now.millis_since(run.began_at) * 1_000;
    let known_first_us = context.estimate.borrow().first_ms() * 1_000;
    let first_us = match first_at {
        Some(at) => at.millis_since(run.began_at) * 1_000,
        None => known_first_us.min(whole_us),
    };
    let rest_us = whole_us - first_us;
    context.estimate.borrow_mut().sample(
        now,
        ServiceSample {
            first_us,
            rest_us,
            tokens,
            requested_tokens: u64::from(job.metadata.tokens),
        },
    );
    if tokens > 1 {
        let running = context.running.get();
        let mut limiter = context.limiter.borrow_mut();
        limiter.sample(now, rest_us / (tokens - 1), running);
    }
}

async fn end_failed_run(
    run: &EngineRun<'_>,
    failure: RunFailure,
    relay: &mut AnswerRelay,
) -> RunEnd {
    let (reason, crash) = match failure {
        RunFailure::Disconnected => {
            let crash = diagnose_disconnect(run.context, run.boot_id).await;
            (RefusalReason::UpstreamLost, crash)
        }
        RunFailure::Lost | RunFailure::Abandoned => (RefusalReason::UpstreamLost, None),
        RunFailure::TimedOut => (RefusalReason::DeadlinePassed, None),
    };
    relay.abort().await;
    RunEnd::Refused(RequestRefusal::unknown(reason), crash)
}

/// Waits until the adapter is loaded; issues the load order and evicts unused adapters if
/// there is no room.
async fn ensure_adapter(
    context: &Rc<AgentContext>,
    job: &RunJob,
    unit: &MemoryUnit,
    memory_mb: u64,
) -> Result<(), RequestRefusal> {
    loop {
        let now = context.now();
        if context.residency.borrow().is_loaded(unit) {
            context
                .residency
                .borrow_mut()
                .request_adapter(now, unit, memory_mb);
            return Ok(());
        }
        if now > job.deadline || !context.residency.borrow().accepts(unit.replica()) {
            return Err(RequestRefusal::not_run(RefusalReason::DeadlinePassed));
        }
        let order = {
            let mut manager = context.residency.borrow_mut();
            let load = manager.request_adapter(now, unit, memory_mb);
            let needs_room = load.is_none() && manager.ledger().find(unit).is_none();
            load.or_else(|| {
                needs_room
                    .then(|| manager.evict_adapter(now, |other| is_in_use(context, other)))
                    .flatten()
            })
        };
        match order {
            Some(order) => execute_order(Rc::clone(context), order).await,
            None => compio::time::sleep(Duration::from_millis(ADAPTER_POLL_MS)).await,
        }
    }
}

fn is_in_use(context: &AgentContext, unit: &MemoryUnit) -> bool {
    context.adapters_in_use.borrow().contains_key(unit)
}

/// Rewrites the body with the model and adapter names that the engine uses; `None` if the
/// body is not a JSON object.
fn engine_body(body: &[u8], replica: &ReplicaName, adapter: Option<&AdapterUnit>) -> Option<Bytes> {
    let mut fields: BTreeMap<Cow<'_, str>, Box<RawValue>> = serde_json::from_slice(body).ok()?;
    let model = serde_json::value::to_raw_value(replica.as_str()).ok()?;
    fields.insert(Cow::Borrowed("model"), model);
    if let Some(unit) = adapter {
        let name = serde_json::value::to_raw_value(&unit.to_string()).ok()?;
        fields.insert(Cow::Borrowed("adapter"), name);
    }
    serde_json::to_vec(&fields).ok().map(Bytes::from)
}
