//! Stand-in for a model engine: continuous batching, loads within the memory, crashes on
//! demand.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::LocalBoxFuture;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use quetzalpin::engine::{EngineState, LoadCommand, UnloadCommand};
use quetzalpin::memory::MemoryUnit;
use quetzalpin::net::{HttpBody, HttpHandler, HttpServer, json_response, read_body};
use quetzalpin::placement::EngineHolding;
use quetzalpin::prelude::*;
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::chat_answer::{ChatRequest, GenerationState, stream_answer, whole_answer};
use crate::engine_audit::{EngineAudit, HoldingChange};
use crate::engine_options::EngineOptions;
use crate::errors::StandinError;
use crate::fault_switch::{FaultSwitch, abort_response};
use crate::platform_standin::StandinHandle;
use crate::prefix_cache::{CacheEvent, PrefixCache};
use crate::prompt_words::POISON_WORD;

/// Maximum size of a request body.
const MAX_REQUEST_BYTES: usize = 16 * 1024 * 1024;

/// Time limit for reading a request body.
const REQUEST_TIMEOUT_MS: u64 = 5_000;

/// Interval at which a request checks for a free place in the batch.
const BATCH_POLL_MS: u64 = 2;

/// Prefill time of a cached prefix, in percent of the usual time.
const CACHED_PREFILL_PERCENT: u64 = 30;

#[derive(Debug, Clone)]
struct HeldUnit {
    memory_mb: u64,
    is_ready: bool,
}

#[derive(Debug)]
struct EngineInner {
    held: BTreeMap<MemoryUnit, HeldUnit>,
    cached: VecDeque<ReplicaName>,
    prefixes: PrefixCache,
    running: BTreeMap<AttemptId, u32>,
    audit: EngineAudit,
    held_since: Instant,
}

/// Stand-in for a model engine.
#[derive(Debug)]
pub struct EngineStandin {
    options: EngineOptions,
    /// Boot identifier; increases with each crash.
    pub boot_id: Cell<u64>,
    fence: Cell<u64>,
    down_until: Cell<Option<Instant>>,
    inner: RefCell<EngineInner>,
    snapshot: RefCell<Option<(Instant, EngineState)>>,
    client: cyper::Client,
    started_at: Instant,
    /// Duration of prefill and of each token in percent of the usual time; 100 by default.
    pub slowness_percent: Cell<u64>,
    /// Faults of the admin interface; `POST /fault` sets them.
    pub faults: FaultSwitch,
}

/// Counts a request in the batch until it is dropped.
pub struct RunGuard {
    engine: Rc<EngineStandin>,
    attempt: AttemptId,
}

impl RunGuard {
    fn enter(engine: &Rc<EngineStandin>, attempt: AttemptId) -> Self {
        let mut inner = engine.inner.borrow_mut();
        *inner.running.entry(attempt).or_insert(0) += 1;
        Self {
            engine: Rc::clone(engine),
            attempt,
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.engine.inner.borrow_mut().running.remove(&self.attempt);
    }
}

impl EngineStandin {
    /// Binds the address and starts serving.
    ///
    /// # Errors
    /// [`StandinError`] if the address is taken.
    pub async fn spawn(
        address: SocketAddr,
        options: EngineOptions,
    ) -> Result<StandinHandle<Self>, StandinError> {
        let state = Rc::new(Self {
            options,
            boot_id: Cell::new(fastrand::u64(1..1 << 32) << 16),
            fence: Cell::new(0),
            down_until: Cell::new(None),
            inner: RefCell::new(EngineInner {
                held: BTreeMap::new(),
                cached: VecDeque::new(),
                prefixes: PrefixCache::default(),
                running: BTreeMap::new(),
                audit: EngineAudit::default(),
                held_since: Instant::now(),
            }),
            snapshot: RefCell::new(None),
            client: cyper::Client::new()?,
            started_at: Instant::now(),
            slowness_percent: Cell::new(100),
            faults: FaultSwitch::default(),
        });
        let server = HttpServer::bind(address).await?;
        let serving = server.spawn(Rc::clone(&state))?;
        Ok(StandinHandle::open(state, serving))
    }

    /// Simulates a crash: running requests fail, loaded units are lost, and connections are
    /// closed until the restart time has passed.
    pub fn crash(&self) {
        self.accrue_memory_time();
        self.boot_id.set(self.boot_id.get() + 1);
        let until = Instant::now() + Duration::from_millis(self.options.restart_ms);
        self.down_until.set(Some(until));
        self.fence.set(0);
        *self.snapshot.borrow_mut() = None;
        let units: Vec<MemoryUnit> = self.inner.borrow().held.keys().cloned().collect();
        for unit in units {
            self.record_change(&unit, false);
        }
        let mut inner = self.inner.borrow_mut();
        inner.held.clear();
        inner.prefixes.clear();
        inner.audit.crashes += 1;
    }

    /// Copy of the audit, with the held memory counted up to now.
    pub fn audit(&self) -> EngineAudit {
        self.accrue_memory_time();
        self.inner.borrow().audit.clone()
    }

    /// Replicas loaded or being loaded.
    pub fn held_replicas(&self) -> Vec<ReplicaName> {
        let inner = self.inner.borrow();
        let units = inner.held.keys();
        units
            .filter_map(|unit| match unit {
                MemoryUnit::Replica(replica) => Some(replica.clone()),
                MemoryUnit::Adapter(_) => None,
            })
            .collect()
    }

    fn is_down(&self) -> bool {
        self.down_until
            .get()
            .is_some_and(|until| Instant::now() < until)
    }

    fn used_mb(&self) -> u64 {
        let inner = self.inner.borrow();
        inner.held.values().map(|held| held.memory_mb).sum()
    }

    /// Adds the memory held since the last call to the audit's megabyte-milliseconds.
    fn accrue_memory_time(&self) {
        let used_mb = self.used_mb();
        let mut inner = self.inner.borrow_mut();
        let elapsed_ms = u64::try_from(inner.held_since.elapsed().as_millis()).unwrap_or(0);
        inner.audit.held_mb_ms += used_mb * elapsed_ms;
        inner.held_since = Instant::now();
    }

    fn record_change(&self, unit: &MemoryUnit, is_held: bool) {
        let at_ms = u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.inner.borrow_mut().audit.changes.push(HoldingChange {
            at_ms,
            unit: unit.clone(),
            is_held,
        });
    }

    async fn route(self: Rc<Self>, request: Request<Incoming>) -> Response<HttpBody> {
        let request = match self.faults.accept_config(request).await {
            Ok(response) => return response,
            Err(request) => request,
        };
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        if path == "/audit" {
            return json_response(StatusCode::OK, &self.audit());
        }
        if self.is_down() {
            return abort_response();
        }
        if path == "/v1/chat/completions" && request.method() == Method::POST {
            return self.chat(request).await;
        }
        if !self.faults.admit().await {
            return abort_response();
        }
        let response = match path.as_str() {
            "/admin/cache-events" => json_response(StatusCode::OK, &self.cache_events(&query)),
            "/admin/state" => json_response(StatusCode::OK, &self.state()),
            "/admin/load" => self.load(request).await,
            "/admin/unload" => self.unload(request).await,
            _ => json_response(StatusCode::NOT_FOUND, &"no such path"),
        };
        self.faults.apply_answer_loss(response)
    }

    /// Events of the prompt cache after the sequence number in the query, with lag and gaps.
    fn cache_events(&self, query: &str) -> Vec<CacheEvent> {
        let after = query
            .strip_prefix("after=")
            .and_then(|text| text.parse().ok());
        let lag = Duration::from_millis(self.options.lag_ms);
        let inner = self.inner.borrow();
        inner.prefixes.events_after(after.unwrap_or(0), lag)
    }

    /// State report; a snapshot is reused until it is as old as the configured lag.
    fn state(&self) -> EngineState {
        let mut snapshot = self.snapshot.borrow_mut();
        let lag = Duration::from_millis(self.options.lag_ms);
        if let Some((taken_at, state)) = &*snapshot
            && taken_at.elapsed() < lag
        {
            return state.clone();
        }
        let state = self.fresh_state();
        *snapshot = Some((Instant::now(), state.clone()));
        state
    }

    fn fresh_state(&self) -> EngineState {
        let inner = self.inner.borrow();
        let held = inner.held.iter();
        EngineState {
            boot_id: self.boot_id.get(),
            fence: self.options.checks_fence.then(|| self.fence.get()),
            max_batch: self.options.max_batch,
            holdings: held
                .map(|(unit, held)| EngineHolding {
                    unit: unit.clone(),
                    memory_mb: held.memory_mb,
                    ready: held.is_ready,
                })
                .collect(),
            running: inner.running.keys().copied().collect(),
            cached: inner.cached.iter().cloned().collect(),
        }
    }

    fn accepts_fence(&self, fence: u64) -> bool {
        if self.options.checks_fence && fence < self.fence.get() {
            self.inner.borrow_mut().audit.fenced += 1;
            return false;
        }
        self.fence.set(self.fence.get().max(fence));
        true
    }

    async fn load(self: &Rc<Self>, request: Request<Incoming>) -> Response<HttpBody> {
        let Some(command) = read_json::<LoadCommand>(request).await else {
            return json_response(StatusCode::BAD_REQUEST, &"not a load order");
        };
        if !self.accepts_fence(command.fence) {
            return json_response(StatusCode::CONFLICT, &"old fencing number");
        }
        if self.inner.borrow().held.contains_key(&command.unit) {
            return json_response(StatusCode::OK, &"held already");
        }
        if self.used_mb() + command.memory_mb > self.options.memory_mb {
            self.inner.borrow_mut().audit.overcommits += 1;
            return json_response(StatusCode::CONFLICT, &"not enough memory");
        }
        self.accrue_memory_time();
        let held = HeldUnit {
            memory_mb: command.memory_mb,
            is_ready: false,
        };
        let unit = command.unit.clone();
        self.inner.borrow_mut().held.insert(unit, held);
        self.record_change(&command.unit, true);
        let engine = Rc::clone(self);
        let loading = compio::runtime::spawn(async move { engine.finish_load(command).await });
        match loading.await {
            Ok(true) => json_response(StatusCode::OK, &"loaded"),
            _ => abort_response(),
        }
    }

    /// Completes a load, also if the caller has given up, as a real engine does.
    async fn finish_load(&self, command: LoadCommand) -> bool {
        let boot_id = self.boot_id.get();
        self.wait_for_weights(&command).await;
        if self.boot_id.get() != boot_id {
            return false;
        }
        let mut inner = self.inner.borrow_mut();
        if let Some(held) = inner.held.get_mut(&command.unit) {
            held.is_ready = true;
        }
        if let MemoryUnit::Replica(replica) = &command.unit {
            inner.cached.retain(|known| known != replica);
            inner.cached.push_back(replica.clone());
            if inner.cached.len() > self.options.cached_checkpoints {
                inner.cached.pop_front();
            }
        }
        true
    }

    async fn wait_for_weights(&self, command: &LoadCommand) {
        let (millis, is_adapter, is_cached) = match &command.unit {
            MemoryUnit::Adapter(_) => (self.options.adapter_ms, true, false),
            MemoryUnit::Replica(replica) => {
                let is_cached = self.inner.borrow().cached.contains(replica);
                let us_per_mb = if is_cached {
                    self.options.cached_us_per_mb
                } else {
                    self.options.remote_us_per_mb
                };
                (command.memory_mb * us_per_mb / 1_000, false, is_cached)
            }
        };
        match self.options.weights {
            Some(store) if !is_cached => {
                let url = format!("http://{store}/weights");
                let body = json!({"millis": millis, "is_adapter": is_adapter});
                let request = self.client.post(url).and_then(|r| r.json(&body));
                if let Ok(request) = request {
                    let _ = request.send().await;
                }
            }
            _ => compio::time::sleep(Duration::from_millis(millis)).await,
        }
    }

    async fn unload(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let Some(command) = read_json::<UnloadCommand>(request).await else {
            return json_response(StatusCode::BAD_REQUEST, &"not an unload order");
        };
        if !self.accepts_fence(command.fence) {
            return json_response(StatusCode::CONFLICT, &"old fencing number");
        }
        self.accrue_memory_time();
        let removed = self.inner.borrow_mut().held.remove(&command.unit);
        if removed.is_some() {
            self.record_change(&command.unit, false);
        }
        json_response(StatusCode::OK, &"unloaded")
    }

    fn holds_ready(&self, request: &ChatRequest) -> bool {
        let inner = self.inner.borrow();
        let is_ready = |unit: &MemoryUnit| inner.held.get(unit).is_some_and(|h| h.is_ready);
        let has_model = is_ready(&MemoryUnit::Replica(request.model.clone()));
        let has_adapter = request.adapter.as_ref().is_none_or(|name| {
            let mut units = inner.held.keys();
            units.any(|unit| unit.to_string() == *name && is_ready(unit))
        });
        has_model && has_adapter
    }

    async fn chat(self: &Rc<Self>, request: Request<Incoming>) -> Response<HttpBody> {
        let attempt = request.headers().get("x-request-id");
        let attempt = attempt.and_then(|value| value.to_str().ok()?.parse().ok());
        let attempt = attempt.unwrap_or_else(AttemptId::random);
        let Some(request) = read_json::<ChatRequest>(request).await else {
            return json_response(StatusCode::BAD_REQUEST, &"not a chat request");
        };
        if !self.holds_ready(&request) {
            return json_response(StatusCode::NOT_FOUND, &"not loaded");
        }
        while self.is_batch_full() {
            compio::time::sleep(Duration::from_millis(BATCH_POLL_MS)).await;
        }
        let guard = RunGuard::enter(self, attempt);
        self.count_run(attempt);
        let boot_id = self.boot_id.get();
        compio::time::sleep(self.prefill_time(request.prompt())).await;
        if request.prompt().contains(POISON_WORD) && self.boot_id.get() == boot_id {
            self.count_poison(request.prompt());
            self.crash();
        }
        if self.boot_id.get() != boot_id {
            return abort_response();
        }
        let next = request.resume_tokens;
        let state = GenerationState {
            engine: Rc::clone(self),
            guard,
            request,
            boot_id,
            next,
        };
        if state.request.stream {
            stream_answer(state)
        } else {
            whole_answer(state).await
        }
    }

    fn is_batch_full(&self) -> bool {
        let running = self.inner.borrow().running.len();
        running >= self.options.max_batch as usize
    }

    fn count_run(&self, attempt: AttemptId) {
        let mut inner = self.inner.borrow_mut();
        *inner.audit.runs.entry(attempt.to_string()).or_insert(0) += 1;
    }

    fn count_poison(&self, prompt: &str) {
        let mut inner = self.inner.borrow_mut();
        *inner.audit.poisoned.entry(prompt.to_owned()).or_insert(0) += 1;
    }

    fn prefill_time(&self, prompt: &str) -> Duration {
        let is_cached = self.inner.borrow_mut().prefixes.touch(prompt);
        let percent = if is_cached {
            CACHED_PREFILL_PERCENT
        } else {
            100
        };
        let millis = self.options.first_ms * percent * self.slowness_percent.get() / 10_000;
        Duration::from_millis(millis)
    }

    /// Duration of the next token, which grows with the size of the batch.
    pub fn token_time(&self) -> Duration {
        let running = self.inner.borrow().running.len() as u64;
        let batching_overhead_us = self.options.batching_overhead_us * running.saturating_sub(1);
        let micros =
            (self.options.token_us + batching_overhead_us) * self.slowness_percent.get() / 100;
        Duration::from_micros(micros)
    }
}

impl HttpHandler for EngineStandin {
    fn handle(
        self: Rc<Self>,
        _peer: SocketAddr,
        request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<HttpBody>> {
        Box::pin(self.route(request))
    }
}

async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let body = read_body(request.into_body(), MAX_REQUEST_BYTES, REQUEST_TIMEOUT_MS).await;
    serde_json::from_slice(&body.ok()?).ok()
}
