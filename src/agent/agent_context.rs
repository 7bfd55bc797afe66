//! State of one agent.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use super::adapter_limiter::AdapterLimiter;
use super::attempt_registry::AttemptRegistry;
use super::engine_view::EngineView;
use super::lease_controller::LeaseDesk;
use super::permit_broker::PermitBroker;
use super::report_controller::ReportBook;
use super::slot_controller::SlotBook;
use crate::admission::{ConcurrencyLimiter, RankShare, ServiceEstimate, WaitForecast, WorkQueue};
use crate::config::{AgentConfig, UpstreamKind};
use crate::daemon::{DaemonError, NodeContext, WakeSignal};
use crate::engine::EngineClient;
use crate::memory::MemoryUnit;
use crate::placement::{ResidencyPolicy, UpstreamHolder};
use crate::prelude::*;
use crate::quarantine::{QuarantineBook, QuarantineVerdict, RequestFingerprint};

use super::admission_controller::WaitingWork;

/// Guess of the time to the first token before any request has run, in microseconds.
const FIRST_GUESS_US: u64 = 100_000;

/// Guess of the time per token before any request has run, in microseconds.
const TOKEN_GUESS_US: u64 = 20_000;

/// Guess of the time of a plain service's call, in microseconds.
const CALL_GUESS_US: u64 = 20_000;

/// Shortest idle milliseconds before the settings give one.
const MIN_IDLE_MS: u64 = 10_000;

/// Made once at start and passed down.
pub struct AgentContext {
    /// What both roles share.
    pub node: Rc<NodeContext>,
    /// The agent's settings file.
    pub config: AgentConfig,
    /// The engine, if the upstream is one.
    pub engine: Option<EngineClient>,
    /// Waiting requests.
    pub queue: RefCell<WorkQueue<WaitingWork>>,
    /// The engine's memory and slots.
    pub holder: RefCell<UpstreamHolder>,
    /// Limit on running requests.
    pub limiter: RefCell<ConcurrencyLimiter>,
    /// How long requests run.
    pub estimate: RefCell<ServiceEstimate>,
    /// Forecast of waits.
    pub forecast: RefCell<WaitForecast>,
    /// Attempts of the last minute.
    pub attempts: RefCell<AttemptRegistry>,
    /// What is known of the engine.
    pub engine_view: RefCell<EngineView>,
    /// Crashes that this agent knows of, its own and those that made a request a suspect.
    pub quarantine: RefCell<QuarantineBook>,
    /// Placement rows as last read.
    pub slots: RefCell<SlotBook>,
    /// Leases.
    pub leases: RefCell<LeaseDesk>,
    /// Load permits.
    pub permits: PermitBroker,
    /// Adapter loads under way.
    pub adapter_limiter: AdapterLimiter,
    /// Requests that use each adapter.
    pub adapters_in_use: RefCell<BTreeMap<MemoryUnit, u32>>,
    /// Requests handed over and not ended.
    pub running: Cell<u32>,
    /// Suspects of a crash among the running requests.
    pub suspects_running: Cell<u32>,
    /// Set once the agent accepts no new work; never cleared.
    pub leaving: Cell<bool>,
    /// The last report, and who has it.
    pub reports: RefCell<ReportBook>,
    /// Number of the newest report.
    pub report_sequence: Cell<u64>,
    /// Wakes the dispatch loop.
    pub dispatch: WakeSignal,
    /// Wakes the report loop.
    pub report: WakeSignal,
    /// Wakes the lease loop.
    pub lease_hint: WakeSignal,
    /// Wakes the planner loop.
    pub planner: WakeSignal,
}

impl AgentContext {
    /// Opens the context.
    ///
    /// # Errors
    /// [`DaemonError`] if a client cannot be set up.
    pub fn open(node: Rc<NodeContext>, config: AgentConfig) -> Result<Rc<Self>, DaemonError> {
        let (engine, memory_mb) = match &config.upstream {
            UpstreamKind::Engine { memory_mb } => (
                Some(EngineClient::open(config.upstream_address)?),
                *memory_mb,
            ),
            UpstreamKind::Service(_) => (None, 0),
        };
        let policy = ResidencyPolicy {
            holding: config.holding_policy,
            min_idle_ms: MIN_IDLE_MS,
        };
        let first_us = if engine.is_some() {
            FIRST_GUESS_US
        } else {
            CALL_GUESS_US
        };
        let limiter = ConcurrencyLimiter::open(config.concurrency, config.target_unit_us);
        Ok(Rc::new(Self {
            engine,
            queue: RefCell::new(WorkQueue::open(
                unranked(),
                config.queue_capacity,
                config.queue_policy,
            )),
            holder: RefCell::new(UpstreamHolder::open(memory_mb, policy)),
            limiter: RefCell::new(limiter),
            estimate: RefCell::new(ServiceEstimate::open(first_us, TOKEN_GUESS_US)),
            forecast: RefCell::new(WaitForecast::open()),
            attempts: RefCell::new(AttemptRegistry::open()),
            engine_view: RefCell::new(EngineView::open()),
            quarantine: RefCell::new(QuarantineBook::open()),
            slots: RefCell::new(SlotBook::default()),
            leases: RefCell::new(LeaseDesk::open()),
            permits: PermitBroker::open(),
            adapter_limiter: AdapterLimiter::default(),
            adapters_in_use: RefCell::new(BTreeMap::new()),
            running: Cell::new(0),
            suspects_running: Cell::new(0),
            leaving: Cell::new(false),
            reports: RefCell::default(),
            report_sequence: Cell::new(0),
            dispatch: WakeSignal::default(),
            report: WakeSignal::default(),
            lease_hint: WakeSignal::default(),
            planner: WakeSignal::default(),
            node,
            config,
        }))
    }

    /// The time.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        self.node.now()
    }

    /// The own instance.
    #[must_use]
    pub fn instance(&self) -> &InstanceName {
        &self.node.config.instance
    }

    /// The plain service beside which the agent runs, if any.
    #[must_use]
    pub const fn service_name(&self) -> Option<&ServiceName> {
        match &self.config.upstream {
            UpstreamKind::Service(service) => Some(service),
            UpstreamKind::Engine { .. } => None,
        }
    }

    /// Whether the upstream answers. Plain services are not probed.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.engine.is_none() || self.engine_view.borrow().is_healthy()
    }

    /// Whether a request crashed upstreams often enough to be held back.
    #[must_use]
    pub fn is_held_back(&self, fingerprint: RequestFingerprint) -> bool {
        let fleet = self.node.fleet();
        let hold_ms = fleet.map_or(u64::MAX, |fleet| fleet.limits.quarantine_ms);
        let quarantine = self.quarantine.borrow();
        let verdict = quarantine.verdict(self.now(), fingerprint, hold_ms);
        verdict == QuarantineVerdict::HeldBack
    }

    /// Takes over ranks and policies from the settings in force.
    pub fn apply_settings(&self) {
        let Ok(fleet) = self.node.fleet() else {
            return;
        };
        self.queue.borrow_mut().set_ranks(RankShare::all_of(&fleet));
        self.holder.borrow_mut().set_policy(ResidencyPolicy {
            holding: self.config.holding_policy,
            min_idle_ms: fleet.limits.min_idle_ms,
        });
        self.permits.set_limits(&fleet.limits);
    }
}

/// The one rank that stands in before the settings have been read.
fn unranked() -> Vec<RankShare> {
    vec![RankShare {
        name: RankName::from("unranked"),
        floor_percent: 0,
    }]
}
