//! Shared state of one agent.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use super::adapter_limiter::AdapterLimiter;
use super::attempt_registry::AttemptRegistry;
use super::engine_view::EngineView;
use super::lease_controller::LeaseSet;
use super::permit_broker::PermitBroker;
use super::report_controller::ReportTracker;
use super::slot_controller::PlacementCache;
use crate::admission::{ConcurrencyLimiter, RankShare, ServiceEstimate, WaitForecast, WorkQueue};
use crate::config::{AgentConfig, UpstreamKind};
use crate::daemon::{NodeContext, WakeSignal};
use crate::engine::EngineClient;
use crate::memory::MemoryUnit;
use crate::placement::{ResidencyManager, ResidencyPolicy};
use crate::prelude::*;
use crate::quarantine::{QuarantineTracker, QuarantineVerdict, RequestFingerprint};

use super::admission_controller::WaitingWork;

/// Initial estimate of the time to the first token in microseconds, used until requests
/// have run.
const INITIAL_FIRST_TOKEN_US: u64 = 100_000;

/// Initial estimate of the time per token in microseconds, used until requests have run.
const INITIAL_TOKEN_US: u64 = 20_000;

/// Initial estimate of the duration of a call to a plain service, in microseconds.
const INITIAL_CALL_US: u64 = 20_000;

/// Minimum idle time in milliseconds until the settings have been read.
const DEFAULT_MIN_IDLE_MS: u64 = 10_000;

/// State shared by the controllers of one agent; created once at startup.
pub struct AgentContext {
    /// State that agents and entries have in common.
    pub node: Rc<NodeContext>,
    /// Configuration from the agent's settings file.
    pub config: AgentConfig,
    /// Client of the engine; `None` if the upstream is a plain service.
    pub engine: Option<EngineClient>,
    /// Requests that wait to run.
    pub queue: RefCell<WorkQueue<WaitingWork>>,
    /// Memory ledger and slots of the engine.
    pub residency: RefCell<ResidencyManager>,
    /// Adaptive limit on the number of running requests.
    pub limiter: RefCell<ConcurrencyLimiter>,
    /// Estimate of how long requests run.
    pub estimate: RefCell<ServiceEstimate>,
    /// Forecast of queueing times.
    pub forecast: RefCell<WaitForecast>,
    /// Attempts seen in the last minute.
    pub attempts: RefCell<AttemptRegistry>,
    /// Last observed state of the engine.
    pub engine_view: RefCell<EngineView>,
    /// Crashes known to this agent: those of its own engine and those reported with suspect
    /// requests.
    pub quarantine: RefCell<QuarantineTracker>,
    /// Placement rows as of the last read.
    pub placements: RefCell<PlacementCache>,
    /// Last observed state of all leases.
    pub leases: RefCell<LeaseSet>,
    /// Issues load permits while this agent is the issuer.
    pub permits: PermitBroker,
    /// Limits concurrent adapter loads.
    pub adapter_limiter: AdapterLimiter,
    /// Number of requests that use each adapter; adapters without any are absent.
    pub adapters_in_use: RefCell<BTreeMap<MemoryUnit, u32>>,
    /// Number of requests that run at the upstream.
    pub running: Cell<u32>,
    /// Number of running requests that are suspected of causing a crash.
    pub suspects_running: Cell<u32>,
    /// Set when the agent starts to drain and refuses new work; never cleared.
    pub is_leaving: Cell<bool>,
    /// Last report and the entries that have it.
    pub reports: RefCell<ReportTracker>,
    /// Sequence number of the newest report.
    pub report_sequence: Cell<u64>,
    /// Wakes the dispatch loop.
    pub dispatch_wake: WakeSignal,
    /// Wakes the report loop.
    pub report_wake: WakeSignal,
    /// Wakes the lease loop.
    pub lease_wake: WakeSignal,
    /// Wakes the planner loop.
    pub planner_wake: WakeSignal,
}

impl AgentContext {
    /// Creates the context; the queue has a single rank until the settings are applied.
    #[must_use]
    pub fn open(node: Rc<NodeContext>, config: AgentConfig) -> Rc<Self> {
        let (engine, memory_mb) = match &config.upstream {
            UpstreamKind::Engine { memory_mb } => (
                Some(EngineClient::open(config.upstream_address)),
                *memory_mb,
            ),
            UpstreamKind::Service(_) => (None, 0),
        };
        let policy = ResidencyPolicy {
            holding: config.holding_policy,
            min_idle_ms: DEFAULT_MIN_IDLE_MS,
        };
        let first_us = if engine.is_some() {
            INITIAL_FIRST_TOKEN_US
        } else {
            INITIAL_CALL_US
        };
        let limiter = ConcurrencyLimiter::open(config.concurrency, config.target_unit_us);
        Rc::new(Self {
            engine,
            queue: RefCell::new(WorkQueue::open(
                default_ranks(),
                config.queue_capacity,
                config.queue_policy,
            )),
            residency: RefCell::new(ResidencyManager::open(memory_mb, policy)),
            limiter: RefCell::new(limiter),
            estimate: RefCell::new(ServiceEstimate::open(first_us, INITIAL_TOKEN_US)),
            forecast: RefCell::new(WaitForecast::open()),
            attempts: RefCell::new(AttemptRegistry::open()),
            engine_view: RefCell::new(EngineView::open()),
            quarantine: RefCell::new(QuarantineTracker::open()),
            placements: RefCell::new(PlacementCache::default()),
            leases: RefCell::new(LeaseSet::open()),
            permits: PermitBroker::open(),
            adapter_limiter: AdapterLimiter::default(),
            adapters_in_use: RefCell::new(BTreeMap::new()),
            running: Cell::new(0),
            suspects_running: Cell::new(0),
            is_leaving: Cell::new(false),
            reports: RefCell::default(),
            report_sequence: Cell::new(0),
            dispatch_wake: WakeSignal::default(),
            report_wake: WakeSignal::default(),
            lease_wake: WakeSignal::default(),
            planner_wake: WakeSignal::default(),
            node,
            config,
        })
    }

    /// Current monotonic time.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        self.node.now()
    }

    /// Name of this instance.
    #[must_use]
    pub fn instance(&self) -> &InstanceName {
        &self.node.config.instance
    }

    /// Name of the plain service that this agent runs next to; `None` if the upstream is an
    /// engine.
    #[must_use]
    pub const fn service_name(&self) -> Option<&ServiceName> {
        match &self.config.upstream {
            UpstreamKind::Service(service) => Some(service),
            UpstreamKind::Engine { .. } => None,
        }
    }

    /// Whether the upstream is healthy. Plain services have no health check and always
    /// count as healthy.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.engine.is_none() || self.engine_view.borrow().is_healthy()
    }

    /// Whether a request is quarantined because it was in flight at too many crashes. Until
    /// the settings are known, the quarantine does not end.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: RequestFingerprint) -> bool {
        let fleet = self.node.fleet();
        let quarantine_ms = fleet.map_or(u64::MAX, |fleet| fleet.limits.quarantine_ms);
        let quarantine = self.quarantine.borrow();
        let verdict = quarantine.verdict(self.now(), fingerprint, quarantine_ms);
        verdict == QuarantineVerdict::Quarantined
    }

    /// Applies ranks, the residency policy and load limits from the current settings.
    pub fn apply_settings(&self) {
        let Ok(fleet) = self.node.fleet() else {
            return;
        };
        self.queue.borrow_mut().set_ranks(RankShare::all_of(&fleet));
        self.residency.borrow_mut().set_policy(ResidencyPolicy {
            holding: self.config.holding_policy,
            min_idle_ms: fleet.limits.min_idle_ms,
        });
        self.permits.set_limits(&fleet.limits);
    }
}

/// The single rank used until the settings have been read.
fn default_ranks() -> Vec<RankShare> {
    vec![RankShare {
        name: RankName::from("unranked"),
        floor_percent: 0,
    }]
}
