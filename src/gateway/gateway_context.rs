//! State shared by all parts of a gateway.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared};

use super::crash_watch::CrashWatch;
use super::feed_watch::FeedWatch;
use super::fleet_follower::FEED_CHECK_MS;
use super::origin_check::OriginClaims;
use super::planner_host::PlannerHost;
use super::{
    CallPlan, HeaderCodec, LargeCalls, LoadTracker, PauseRegistry, PlacementView, WaitRegistry,
};
use crate::account_limit::AccountLimiter;
use crate::config::{GatewayConfig, NodeConfig};
use crate::daemon::{BroadcastSignal, WakeSignal};
use crate::fleet::{FleetCatalog, FleetSource, ModelNeed, UpstreamKey, UpstreamRoster};
use crate::ids::new_start_id;
use crate::metrics::{AccountOutcome, NodeMetrics, RequestLabels};
use crate::net::{BufferBudget, PeerClient};
use crate::orders::{ArrivedRequests, EngineControl, EntryDemand, RunningRequests};
use crate::planner_rpc::CrashUpdate;
use crate::prelude::*;
use crate::quarantine::{AnswerProgress, RequestSuspects};
use crate::rate_limit::RateLimiter;
use crate::retry::ResendWindow;
use crate::rpc::PeerRpc;
use crate::shedding::LoadShedder;
use crate::stream_origin::{OriginRegistry, SoftwareHistory};
use crate::table::{TableEra, TableService};
use crate::time::{DelayWatch, MonoClock};
use crate::upstream_speed::SpeedTracker;

/// Timeout of a call to another process in milliseconds.
const RPC_TIMEOUT_MS: u64 = 1_800;

/// Number of entries assumed until the planner reports it.
const ASSUMED_ENTRIES: usize = 12;

/// Fraction of the drain time for which requests may still wait, as a divisor.
const DRAIN_WAIT_DIVISOR: u64 = 3;

/// Milliseconds for which new connections and requests are still accepted after the shutdown began;
/// the load balancer checks readiness once a second and removes a gateway after two failures.
pub const BALANCER_REMOVAL_MS: u64 = 2_600;

/// Milliseconds before the end of the drain time at which requests without an answer are refused,
/// so that the refusal still reaches the client.
const EXIT_REFUSAL_MS: u64 = 900;

/// Interfaces that a platform adapter implements.
pub struct GatewayPorts {
    /// The platform's table.
    pub table: Rc<dyn TableService>,
    /// Source of the configuration and the upstream list.
    pub fleet: Rc<dyn FleetSource>,
    /// Sends orders to engines.
    pub engines: Rc<dyn EngineControl>,
    /// Reads and writes request and response headers.
    pub header_codec: Rc<dyn HeaderCodec>,
}

/// Gateway state, created once at start.
pub struct GatewayContext {
    /// The instance's settings.
    pub config: GatewayConfig,
    /// Instance, availability zone and region.
    pub node: NodeConfig,
    /// Platform adapter.
    pub ports: GatewayPorts,
    /// Memory for the messages that this process holds.
    pub buffers: Rc<BufferBudget>,
    /// Requests in flight that have large bodies.
    pub large_calls: Rc<LargeCalls>,
    /// The process's clock.
    pub clock: MonoClock,
    /// Distinguishes restarts of a process.
    pub start_id: u64,
    /// Metrics.
    pub metrics: NodeMetrics,
    /// Client for calls to other processes.
    pub peers: Rc<PeerClient>,
    /// Configuration in force; `None` until the first one is read.
    pub catalog: RefCell<Option<Rc<FleetCatalog>>>,
    /// Known upstreams.
    pub roster: RefCell<UpstreamRoster>,
    /// Whether the upstream list has been read at least once.
    pub knows_roster: Cell<bool>,
    /// Models that engines have loaded.
    pub placement: RefCell<PlacementView>,
    /// Load and health of upstreams.
    pub loads: RefCell<LoadTracker>,
    /// Speeds of upstreams.
    pub speeds: RefCell<SpeedTracker>,
    /// Upstreams that want no requests for a while.
    pub pauses: RefCell<PauseRegistry>,
    /// Request rate limits that upstreams name.
    pub rate_limiter: RefCell<RateLimiter>,
    /// Allowance of accounts.
    pub account_limiter: Rc<RefCell<AccountLimiter>>,
    /// Notified when allowance of accounts may have changed.
    pub allowance_changed: BroadcastSignal,
    /// Requests that wait for a model.
    pub waits: Rc<WaitRegistry>,
    /// Decides which requests give way while upstreams are full.
    pub shedder: RefCell<LoadShedder>,
    /// Notified when an engine has finished reading a prompt of this process.
    pub prompt_read: BroadcastSignal,
    /// Retry budget for requests that are sent again.
    pub resends: RefCell<ResendWindow>,
    /// Requests and parts of prompts that were in flight at crashes.
    pub crashes: CrashWatch,
    /// Software versions that began streams.
    pub origins: RefCell<OriginRegistry>,
    /// Streams whose origin is to be confirmed before it is recorded.
    pub origin_claims: OriginClaims,
    /// Software versions that were listed lately.
    pub software_history: RefCell<SoftwareHistory>,
    /// Notified when the origin of a stream has to be written to the table.
    pub origin_wake: WakeSignal,
    /// Planner lease and, while it is held, the planner.
    pub host: PlannerHost,
    /// Version of the configuration read so far, and signals to refetch.
    pub feeds: FeedWatch,
    /// Detects that this process gets too little processor time.
    pub delay: DelayWatch,
    /// Era of the platform's table that this process knows; `None` before the first response.
    pub era: Cell<Option<TableEra>>,
    /// When this process noticed that the table was restored from an older copy; `None` if it was not.
    pub restored_at: Cell<Option<MonoTime>>,
    /// Wakes the lease loop before its next poll.
    pub lease_wake: WakeSignal,
    /// Start of the shutdown; never cleared.
    stopped_at: Cell<Option<MonoTime>>,
    /// Completes [`EXIT_REFUSAL_MS`] before the end of the drain time.
    exit_near: Shared<LocalBoxFuture<'static, ()>>,
    exit_sender: RefCell<Option<oneshot::Sender<()>>>,
    /// Upstreams that reported a missing model since the last demand report.
    missing_model: RefCell<BTreeSet<UpstreamId>>,
    /// Requests that arrived since the last demand report, by model.
    arrivals: RefCell<BTreeMap<ModelName, u32>>,
    /// Requests of this process in flight; every count is above zero.
    runs: RefCell<HashMap<(UpstreamKey, ModelName), u32>>,
}

impl GatewayContext {
    /// Creates the context.
    #[must_use]
    pub fn open(
        node: NodeConfig,
        config: GatewayConfig,
        ports: GatewayPorts,
        buffers: Rc<BufferBudget>,
    ) -> Rc<Self> {
        let start_id = new_start_id();
        let clock = MonoClock::open();
        let host = PlannerHost::open(clock.now(), &node, &config, start_id);
        let (exit_sender, exit_receiver) = oneshot::channel();
        Rc::new(Self {
            resends: RefCell::new(ResendWindow::open(config.resend_reserve / ASSUMED_ENTRIES)),
            account_limiter: Rc::new(RefCell::new(AccountLimiter::open(
                clock.now(),
                config.accounts.bounds(),
            ))),
            config,
            node,
            ports,
            buffers,
            large_calls: LargeCalls::open(),
            clock,
            start_id,
            metrics: NodeMetrics::open(),
            peers: Rc::new(PeerClient::open()),
            catalog: RefCell::default(),
            roster: RefCell::new(UpstreamRoster::open()),
            knows_roster: Cell::new(false),
            placement: RefCell::new(PlacementView::open()),
            loads: RefCell::new(LoadTracker::open()),
            speeds: RefCell::new(SpeedTracker::open()),
            pauses: RefCell::new(PauseRegistry::open()),
            rate_limiter: RefCell::new(RateLimiter::open()),
            allowance_changed: BroadcastSignal::default(),
            waits: WaitRegistry::open(),
            shedder: RefCell::default(),
            prompt_read: BroadcastSignal::default(),
            crashes: CrashWatch::open(start_id),
            origins: RefCell::new(OriginRegistry::open()),
            origin_claims: OriginClaims::default(),
            software_history: RefCell::new(SoftwareHistory::open()),
            origin_wake: WakeSignal::default(),
            host,
            feeds: FeedWatch::default(),
            delay: DelayWatch::open(clock.now(), FEED_CHECK_MS),
            era: Cell::new(None),
            restored_at: Cell::new(None),
            lease_wake: WakeSignal::default(),
            stopped_at: Cell::new(None),
            exit_near: exit_receiver.map(|_| ()).boxed_local().shared(),
            exit_sender: RefCell::new(Some(exit_sender)),
            missing_model: RefCell::default(),
            arrivals: RefCell::default(),
            runs: RefCell::default(),
        })
    }

    /// Current time.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// Whether the gateway is ready for client requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let knows_fleet = self.catalog.borrow().is_some() && self.knows_roster.get();
        knows_fleet && !self.is_stopping()
    }

    /// Begins the shutdown: the gateway is no longer ready, and waiting requests are refused early.
    pub fn begin_stop(&self) {
        self.stopped_at.set(Some(self.now()));
        self.account_limiter.borrow_mut().begin_stop();
        self.waits.wake_all();
        let Some(sender) = self.exit_sender.borrow_mut().take() else {
            return;
        };
        let left_ms = self.node.drain_ms.saturating_sub(EXIT_REFUSAL_MS);
        compio::runtime::spawn(async move {
            compio::time::sleep(Duration::from_millis(left_ms)).await;
            // The receiver lives as long as the context.
            let _ = sender.send(());
        })
        .detach();
    }

    /// Completes shortly before the process exits.
    pub fn exit_near(&self) -> Shared<LocalBoxFuture<'static, ()>> {
        self.exit_near.clone()
    }

    /// Whether the shutdown has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopped_at.get().is_some()
    }

    /// Whether the shutdown is so far that requests which arrive now are refused: the load balancer
    /// sends their callers elsewhere, and some would not end before the exit.
    #[must_use]
    pub fn refuses_arrivals(&self) -> bool {
        let stopped_at = self.stopped_at.get();
        stopped_at.is_some_and(|at| self.now() >= at + BALANCER_REMOVAL_MS)
    }

    /// Time until which a request may wait. During shutdown it is refused early enough to be served
    /// elsewhere.
    #[must_use]
    pub fn wait_limit(&self, plan: &CallPlan) -> MonoTime {
        match self.stopped_at.get() {
            Some(at) => plan
                .wait_until
                .min(at + self.node.drain_ms / DRAIN_WAIT_DIVISOR),
            None => plan.wait_until,
        }
    }

    /// Whether an availability zone is in the region of this process.
    #[must_use]
    pub fn is_near(&self, zone: &ZoneName) -> bool {
        self.config
            .regions
            .get(zone)
            .is_some_and(|region| *region == self.node.region)
    }

    /// RPC client for another process.
    #[must_use]
    pub fn rpc(&self, address: std::net::SocketAddr) -> PeerRpc {
        PeerRpc::open(Rc::clone(&self.peers), address, RPC_TIMEOUT_MS)
            .within(Rc::clone(&self.buffers))
    }

    /// Counts a request that arrived, for the retry budget and the demand report.
    pub fn record_arrival(&self, plan: &CallPlan) {
        self.resends
            .borrow_mut()
            .earn(plan.arrived_at, &plan.service);
        if let Some(need) = &plan.need {
            *self
                .arrivals
                .borrow_mut()
                .entry(need.model.clone())
                .or_default() += 1;
        }
    }

    /// Records an answer and its latency in the metrics.
    pub fn record_answered(&self, plan: &CallPlan, now: MonoTime) {
        let labels = RequestLabels {
            rank: plan.rank.to_string(),
        };
        self.metrics.answered.get_or_create(&labels).inc();
        let accounts = &self.metrics.accounts;
        accounts.count_request(plan.account.as_ref(), AccountOutcome::Answered);
        #[allow(clippy::cast_precision_loss)]
        let seconds = now.millis_since(plan.arrived_at) as f64 / 1_000.0;
        self.metrics
            .first_byte_s
            .get_or_create(&labels)
            .observe(seconds);
    }

    /// Changes the number of requests in flight at an engine by `change`.
    pub fn change_in_flight(&self, key: UpstreamKey, need: Option<&ModelNeed>, change: i32) {
        let Some(need) = need else { return };
        let mut runs = self.runs.borrow_mut();
        let run_key = (key, need.model.clone());
        let count = runs
            .get(&run_key)
            .copied()
            .unwrap_or(0)
            .saturating_add_signed(change);
        if count == 0 {
            runs.remove(&run_key);
        } else {
            runs.insert(run_key, count);
        }
    }

    /// Demand of this process: waiting, running and arrived requests. Resets the arrival counts and
    /// the list of upstreams with a missing model.
    #[must_use]
    pub fn take_demand(&self) -> EntryDemand {
        let arrivals = std::mem::take(&mut *self.arrivals.borrow_mut());
        let roster = self.roster.borrow();
        let runs = self.runs.borrow();
        let running = runs.iter().filter_map(|((key, model), count)| {
            let entry = roster.get(*key)?;
            Some(RunningRequests(entry.id.clone(), model.clone(), *count))
        });
        EntryDemand {
            wants: self.waits.wants(self.now()),
            left_ms: self.waits.left_ms(self.now()),
            runs: running.collect(),
            asked: arrivals
                .into_iter()
                .map(|(model, count)| ArrivedRequests(model, count))
                .collect(),
            lacking: std::mem::take(&mut *self.missing_model.borrow_mut())
                .into_iter()
                .collect(),
            unreachable: self
                .loads
                .borrow()
                .unreachable()
                .filter_map(|key| Some(roster.get(key)?.id.clone()))
                .collect(),
        }
    }

    /// Sets this process's share of the fleet's retry budget.
    pub fn set_resend_share(&self, entry_count: u32) {
        let count = usize::try_from(entry_count.max(1)).unwrap_or(usize::MAX);
        let share = self.config.resend_reserve / (count + 1);
        self.resends.borrow_mut().set_reserve(share);
    }

    /// Records an engine's report that it cannot serve a need.
    pub fn record_missing(&self, now: MonoTime, key: UpstreamKey, need: &ModelNeed) {
        self.placement.borrow_mut().record_missing(now, key, need);
        if let Some(entry) = self.roster.borrow().get(key) {
            self.missing_model.borrow_mut().insert(entry.id.clone());
            self.waits.wanted.notify();
        }
    }

    /// Records how far the answer to a request came; the planner is told at once if that may free a
    /// suspect of crashes.
    pub fn record_progress(&self, suspects: RequestSuspects, progress: AnswerProgress) {
        if self.crashes.record_answered(suspects, progress) {
            self.waits.wanted.notify();
        }
    }

    /// Applies what the planner tells of crashes. A planner that has not answered before is told all
    /// that is known here, at once.
    pub fn apply_crashes(&self, update: &CrashUpdate) {
        if self.crashes.apply_update(self.now(), update) {
            self.waits.wanted.notify();
        }
    }
}
