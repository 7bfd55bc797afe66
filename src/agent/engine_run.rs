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
use super::engine_monitor::explain_trouble;
use super::engine_view::InFlight;
use super::order_controller::execute_order;
use super::run_controller::{RunEnd, RunJob};
use crate::admission::ServiceSample;
use crate::memory::{AdapterUnit, MemoryUnit};
use crate::prelude::*;
use crate::run_once::RecordedAnswer;

/// Milliseconds between looks at an adapter that is being loaded.
const ADAPTER_LOOK_MS: u64 = 2;

/// Milliseconds beyond the deadline for which the first byte is awaited.
const GRACE_MS: u64 = 200;

/// Milliseconds for which the answer to a non-idempotent call is awaited.
const KEYED_LIMIT_MS: u64 = 120_000;

/// Milliseconds for which an abandoned request still counts as in flight at a crash.
const LINGER_MS: u64 = 1_500;

/// Longest milliseconds between two chunks of a stream.
const CHUNK_LIMIT_MS: u64 = 30_000;

/// A request at the engine; dropping it takes it off the books.
struct EngineRun<'a> {
    context: &'a Rc<AgentContext>,
    attempt: AttemptId,
    boot_id: u64,
    began_at: MonoTime,
    lost: oneshot::Receiver<()>,
    /// Stays on the books for a while, since a crash may come to light later.
    lingers: bool,
}

impl Drop for EngineRun<'_> {
    fn drop(&mut self) {
        if !self.lingers {
            let mut view = self.context.engine_view.borrow_mut();
            view.in_flight.remove(&self.attempt);
            return;
        }
        let context = Rc::clone(self.context);
        let attempt = self.attempt;
        compio::runtime::spawn(async move {
            compio::time::sleep(Duration::from_millis(LINGER_MS)).await;
            context.engine_view.borrow_mut().in_flight.remove(&attempt);
        })
        .detach();
    }
}

/// Why a request got no whole answer.
enum RunTrouble {
    /// The connection to the engine broke or went silent.
    Broken,
    /// The engine no longer knows the request.
    Lost,
    /// Nobody waits for the answer.
    Abandoned,
    /// The deadline passed.
    Late,
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

/// Runs the request.
pub async fn run_on_engine(
    context: &Rc<AgentContext>,
    job: &RunJob,
    replica: &ReplicaName,
    adapter: Option<&(AdapterUnit, u64)>,
    relay: &mut AnswerRelay,
) -> RunEnd {
    let mut _use_mark = None;
    if let Some((unit, memory_mb)) = adapter {
        let unit = MemoryUnit::Adapter(unit.clone());
        _use_mark = Some(AdapterUse::begin(context, &unit));
        if let Err(refusal) = ready_adapter(context, job, &unit, *memory_mb).await {
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
        Err(RunTrouble::Abandoned) => {
            run.lingers = true;
            let refusal = RequestRefusal::unknown(RefusalReason::UpstreamLost);
            RunEnd::Refused(refusal, None)
        }
        Err(trouble) => end_in_trouble(&run, trouble, relay).await,
    }
}

fn begin_run<'a>(context: &'a Rc<AgentContext>, job: &RunJob) -> Option<EngineRun<'a>> {
    let now = context.now();
    let (lost_sender, lost) = oneshot::channel();
    let mut view = context.engine_view.borrow_mut();
    let boot_id = view.boot_id?;
    view.in_flight.insert(
        job.head.attempt,
        InFlight {
            fingerprint: job.head.fingerprint,
            boot_id,
            progress_at: now,
            is_blocked: false,
            lost: Some(lost_sender),
        },
    );
    drop(view);
    Some(EngineRun {
        context,
        attempt: job.head.attempt,
        boot_id,
        began_at: now,
        lost,
        lingers: false,
    })
}

/// Sends the request and relays the answer.
async fn exchange(
    run: &mut EngineRun<'_>,
    job: &RunJob,
    body: Bytes,
    relay: &mut AnswerRelay,
) -> Result<RunEnd, RunTrouble> {
    let context = run.context;
    let Some(engine) = &context.engine else {
        return Err(RunTrouble::Broken);
    };
    let priority = context.queue.borrow().rank_key(&job.head.rank).0;
    let priority = u32::try_from(priority).unwrap_or(u32::MAX);
    let sending = engine.generate(job.head.attempt, priority, body, job.head.run_key.is_none());
    let response = await_first(run, job, relay, sending).await?;
    let response = response.map_err(|_| RunTrouble::Broken)?;
    let status = response.status().as_u16();
    if let Some(refusal) = engine_refusal(status) {
        return Ok(RunEnd::Refused(refusal, None));
    }
    let content_type = response.headers().get("content-type");
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or("application/json").to_owned();
    if job.head.stream && job.head.run_key.is_none() {
        relay_stream(run, job, status, content_type, response, relay).await
    } else {
        read_whole(run, job, status, content_type, response, relay).await
    }
}

/// The engine's way to say that it did not run the request.
fn engine_refusal(status: u16) -> Option<RequestRefusal> {
    match status {
        404 => Some(RequestRefusal::not_run(RefusalReason::NoReplica)),
        429 | 503 => Some(RequestRefusal::not_run(RefusalReason::QueueFull)),
        500..=599 => Some(RequestRefusal::unknown(RefusalReason::UpstreamFailed)),
        _ => None,
    }
}

/// Waits until the deadline, a broken connection, a lost answer, or a gone caller.
async fn await_first<T>(
    run: &mut EngineRun<'_>,
    job: &RunJob,
    relay: &AnswerRelay,
    work: impl Future<Output = T>,
) -> Result<T, RunTrouble> {
    let is_keyed = job.head.run_key.is_some();
    let limit_ms = if is_keyed {
        KEYED_LIMIT_MS
    } else {
        job.deadline.millis_since(run.context.now()) + GRACE_MS
    };
    await_limited(run, relay, is_keyed, limit_ms, work).await
}

async fn await_limited<T>(
    run: &mut EngineRun<'_>,
    relay: &AnswerRelay,
    is_keyed: bool,
    limit_ms: u64,
    work: impl Future<Output = T>,
) -> Result<T, RunTrouble> {
    const LOOK_MS: u64 = 100;
    let watching = async {
        while is_keyed || !relay.is_abandoned() {
            compio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        }
    };
    pin_mut!(work, watching);
    let trouble = select(&mut run.lost, watching);
    let limited = compio::time::timeout(Duration::from_millis(limit_ms), select(work, trouble));
    match limited.await {
        Err(_) => Err(RunTrouble::Late),
        Ok(Either::Left((value, _))) => Ok(value),
        Ok(Either::Right((Either::Left(_), _))) => Err(RunTrouble::Lost),
        Ok(Either::Right((Either::Right(_), _))) => Err(RunTrouble::Abandoned),
    }
}

async fn relay_stream(
    run: &mut EngineRun<'_>,
    job: &RunJob,
    status: u16,
    content_type: String,
    response: Response<Incoming>,
    relay: &mut AnswerRelay,
) -> Result<RunEnd, RunTrouble> {
    let mut chunks = response.into_body().into_data_stream();
    let mut first_at = None;
    let mut tokens = 0;
    loop {
        let next = match first_at {
            None => await_first(run, job, relay, chunks.next()).await?,
            Some(_) => await_limited(run, relay, false, CHUNK_LIMIT_MS, chunks.next()).await?,
        };
        let Some(chunk) = next else {
            break;
        };
        let chunk = chunk.map_err(|_| RunTrouble::Broken)?;
        let now = run.context.now();
        if first_at.is_none() {
            first_at = Some(now);
            relay.begin(status, content_type.clone());
        }
        tokens += count_events(&chunk);
        note_progress(run, now, true);
        if !relay.chunk(chunk).await {
            return Err(RunTrouble::Abandoned);
        }
        note_progress(run, run.context.now(), false);
    }
    if first_at.is_none() {
        relay.begin(status, content_type);
    }
    take_sample(run, job, first_at, tokens);
    Ok(RunEnd::Streamed)
}

async fn read_whole(
    run: &mut EngineRun<'_>,
    job: &RunJob,
    status: u16,
    content_type: String,
    response: Response<Incoming>,
    relay: &AnswerRelay,
) -> Result<RunEnd, RunTrouble> {
    let reading = response.into_body().collect();
    let body = await_first(run, job, relay, reading).await?;
    let body = body.map_err(|_| RunTrouble::Broken)?.to_bytes();
    take_sample(run, job, None, u64::from(job.head.tokens));
    Ok(RunEnd::Whole(RecordedAnswer {
        status,
        content_type,
        body: String::from_utf8_lossy(&body).into_owned(),
    }))
}

/// Tokens in a chunk of a server-sent event stream.
fn count_events(chunk: &[u8]) -> u64 {
    let lines = chunk.split(|byte| *byte == b'\n');
    let events = lines.filter(|line| line.starts_with(b"data: {"));
    events.count() as u64
}

fn note_progress(run: &EngineRun<'_>, now: MonoTime, is_blocked: bool) {
    let mut view = run.context.engine_view.borrow_mut();
    if let Some(entry) = view.in_flight.get_mut(&run.attempt) {
        entry.progress_at = now;
        entry.is_blocked = is_blocked;
    }
}

fn take_sample(run: &EngineRun<'_>, job: &RunJob, first_at: Option<MonoTime>, tokens: u64) {
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
            asked_tokens: u64::from(job.head.tokens),
        },
    );
    if tokens > 1 {
        let running = context.running.get();
        let mut limiter = context.limiter.borrow_mut();
        limiter.sample(now, rest_us / (tokens - 1), running);
    }
}

async fn end_in_trouble(
    run: &EngineRun<'_>,
    trouble: RunTrouble,
    relay: &mut AnswerRelay,
) -> RunEnd {
    let (reason, crash) = match trouble {
        RunTrouble::Broken => {
            let crash = explain_trouble(run.context, run.boot_id).await;
            (RefusalReason::UpstreamLost, crash)
        }
        RunTrouble::Lost | RunTrouble::Abandoned => (RefusalReason::UpstreamLost, None),
        RunTrouble::Late => (RefusalReason::DeadlinePassed, None),
    };
    relay.cut().await;
    RunEnd::Refused(RequestRefusal::unknown(reason), crash)
}

/// Waits until the adapter is loaded, ordering its load and making room for it.
async fn ready_adapter(
    context: &Rc<AgentContext>,
    job: &RunJob,
    unit: &MemoryUnit,
    memory_mb: u64,
) -> Result<(), RequestRefusal> {
    loop {
        let now = context.now();
        if context.holder.borrow().is_loaded(unit) {
            context
                .holder
                .borrow_mut()
                .want_adapter(now, unit, memory_mb);
            return Ok(());
        }
        if now > job.deadline || !context.holder.borrow().accepts(unit.replica()) {
            return Err(RequestRefusal::not_run(RefusalReason::DeadlinePassed));
        }
        let order = {
            let mut holder = context.holder.borrow_mut();
            let load = holder.want_adapter(now, unit, memory_mb);
            let needs_room = load.is_none() && holder.ledger().find(unit).is_none();
            load.or_else(|| {
                needs_room
                    .then(|| holder.evict_adapter(now, |other| is_in_use(context, other)))
                    .flatten()
            })
        };
        match order {
            Some(order) => execute_order(Rc::clone(context), order).await,
            None => compio::time::sleep(Duration::from_millis(ADAPTER_LOOK_MS)).await,
        }
    }
}

fn is_in_use(context: &AgentContext, unit: &MemoryUnit) -> bool {
    context.adapters_in_use.borrow().contains_key(unit)
}

/// The body with model and adapter named as the engine knows them.
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
