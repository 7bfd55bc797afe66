//! What all parts of a gateway share.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use super::feed_watch::FeedWatch;
use super::planner_host::PlannerHost;
use super::{CallDialect, CallPlan, LoadBook, PlacementView, WaitBoard};
use crate::config::{GatewayConfig, NodeConfig};
use crate::daemon::{BroadcastSignal, WakeSignal};
use crate::decision::unix_ms;
use crate::fleet::{
    FleetCatalog, FleetSource, ModelNeed, RosterChange, UpstreamKey, UpstreamRoster, UpstreamUpdate,
};
use crate::metrics::{NodeMetrics, RequestLabels};
use crate::net::PeerClient;
use crate::orders::{AskedLine, EngineControl, EntryDemand, RunLine};
use crate::planner_rpc::CrashRecord;
use crate::prelude::*;
use crate::quarantine::{QuarantineBook, QuarantineVerdict, RequestFingerprint, crash_number};
use crate::retry::ResendWindow;
use crate::rpc::PeerRpc;
use crate::table::TableService;
use crate::time::MonoClock;

/// Milliseconds before a call to another process counts as unanswered.
const RPC_TIMEOUT_MS: u64 = 1_800;

/// Entries assumed before the planner has told their number.
const ASSUMED_ENTRIES: usize = 12;

/// Part of the shutdown's time for which requests may still wait, as a divisor.
const STOP_WAIT_DIVISOR: u64 = 3;

/// Milliseconds that a request stays held back after its last crash.
const CRASH_HOLD_MS: u64 = 60_000;

/// What the adapter of a platform implements.
pub struct GatewayPorts {
    /// The platform's table.
    pub table: Rc<dyn TableService>,
    /// Configuration and list of upstreams.
    pub fleet: Rc<dyn FleetSource>,
    /// Orders to engines.
    pub engines: Rc<dyn EngineControl>,
    /// Headers.
    pub dialect: Rc<dyn CallDialect>,
}

/// Made once at start and passed down.
pub struct GatewayContext {
    /// The instance's settings.
    pub config: GatewayConfig,
    /// Instance, availability zone and region.
    pub node: NodeConfig,
    /// The adapter of the platform.
    pub ports: GatewayPorts,
    /// The process's clock.
    pub clock: MonoClock,
    /// Tells two starts of a process apart.
    pub start_id: u64,
    /// Metrics.
    pub metrics: NodeMetrics,
    /// Connections to other processes.
    pub peers: Rc<PeerClient>,
    /// Configuration in force.
    pub catalog: RefCell<Option<Rc<FleetCatalog>>>,
    /// Upstreams that exist.
    pub roster: RefCell<UpstreamRoster>,
    /// Whether the list of upstreams was read once.
    pub knows_roster: Cell<bool>,
    /// What engines hold.
    pub placement: RefCell<PlacementView>,
    /// Load and health of upstreams.
    pub loads: RefCell<LoadBook>,
    /// Requests that wait for a model.
    pub waits: Rc<WaitBoard>,
    /// Notified when an engine has read a prompt of this process.
    pub prompt_read: BroadcastSignal,
    /// Limit on requests sent again.
    pub resends: RefCell<ResendWindow>,
    /// Requests that were in flight at crashes.
    pub crashes: RefCell<QuarantineBook>,
    /// The planner's lease and, while it is held, the planner.
    pub host: PlannerHost,
    /// How far configuration and list were read.
    pub feeds: FeedWatch,
    /// Wakes the lease loop.
    pub lease_hint: WakeSignal,
    /// When shutdown began; never cleared.
    stopped_at: Cell<Option<MonoTime>>,
    new_crashes: RefCell<Vec<CrashRecord>>,
    /// Upstreams that denied a model since the last report.
    lacking: RefCell<BTreeSet<UpstreamId>>,
    asked: RefCell<BTreeMap<ModelName, u32>>,
    /// Own requests in flight; every count is above zero.
    runs: RefCell<HashMap<(UpstreamKey, ModelName), u32>>,
}

impl GatewayContext {
    /// Opens the context.
    #[must_use]
    pub fn open(node: NodeConfig, config: GatewayConfig, ports: GatewayPorts) -> Rc<Self> {
        let start_id = (unix_ms() << 16) | fastrand::u64(..1 << 16);
        let clock = MonoClock::open();
        let host = PlannerHost::open(clock.now(), &node, &config, start_id);
        Rc::new(Self {
            resends: RefCell::new(ResendWindow::open(config.resend_reserve / ASSUMED_ENTRIES)),
            config,
            node,
            ports,
            clock,
            start_id,
            metrics: NodeMetrics::open(),
            peers: Rc::new(PeerClient::open()),
            catalog: RefCell::default(),
            roster: RefCell::new(UpstreamRoster::open()),
            knows_roster: Cell::new(false),
            placement: RefCell::new(PlacementView::open()),
            loads: RefCell::new(LoadBook::open()),
            waits: WaitBoard::open(),
            prompt_read: BroadcastSignal::default(),
            crashes: RefCell::new(QuarantineBook::open()),
            host,
            feeds: FeedWatch::default(),
            lease_hint: WakeSignal::default(),
            stopped_at: Cell::new(None),
            new_crashes: RefCell::default(),
            lacking: RefCell::default(),
            asked: RefCell::default(),
            runs: RefCell::default(),
        })
    }

    /// The time.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// Whether callers should be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let knows_fleet = self.catalog.borrow().is_some() && self.knows_roster.get();
        knows_fleet && !self.is_stopping()
    }

    /// Begins the shutdown: no longer ready, and requests that wait are soon refused.
    pub fn begin_stop(&self) {
        self.stopped_at.set(Some(self.now()));
        self.waits.wake_all();
    }

    /// Whether the shutdown has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopped_at.get().is_some()
    }

    /// Until when a request may wait. One that waits at a process that is shutting down is
    /// refused early enough to be served elsewhere.
    #[must_use]
    pub fn wait_limit(&self, plan: &CallPlan) -> MonoTime {
        match self.stopped_at.get() {
            Some(at) => plan
                .wait_until
                .min(at + self.node.drain_ms / STOP_WAIT_DIVISOR),
            None => plan.wait_until,
        }
    }

    /// Whether an availability zone lies in the own region.
    #[must_use]
    pub fn is_near(&self, zone: &ZoneName) -> bool {
        self.config
            .regions
            .get(zone)
            .is_some_and(|region| *region == self.node.region)
    }

    /// A caller of another process.
    #[must_use]
    pub fn rpc(&self, address: std::net::SocketAddr) -> PeerRpc {
        PeerRpc::open(Rc::clone(&self.peers), address, RPC_TIMEOUT_MS)
    }

    /// Takes a configuration.
    pub fn take_catalog(&self, catalog: FleetCatalog) {
        self.feeds.note_catalog(catalog.version);
        log::info!(version = catalog.version; "configuration in force");
        let version = i64::try_from(catalog.version).unwrap_or(i64::MAX);
        self.metrics.settings_revision.set(version);
        let catalog = Rc::new(catalog);
        *self.catalog.borrow_mut() = Some(Rc::clone(&catalog));
        self.host
            .with_planner(|planner| planner.take_catalog(catalog));
        self.share_roster();
    }

    /// Takes news of the list of upstreams.
    pub fn take_upstreams(&self, news: UpstreamUpdate) {
        let now = self.now();
        let changes = self.roster.borrow_mut().apply(now, news);
        self.knows_roster.set(true);
        for change in changes {
            self.log_change(&change);
        }
        self.share_roster();
    }

    /// Passes the roster on to all that follow it.
    pub fn share_roster(&self) {
        let now = self.now();
        let roster = self.roster.borrow();
        self.placement.borrow_mut().take_roster(&roster);
        self.loads
            .borrow_mut()
            .retain(|key| roster.get(key).is_some());
        self.host
            .with_planner(|planner| planner.take_roster(now, &roster));
        self.waits.wake_all();
    }

    /// Counts a request that arrived.
    pub fn note_asked(&self, plan: &CallPlan) {
        self.resends
            .borrow_mut()
            .earn(plan.arrived_at, &plan.service);
        if let Some(need) = &plan.need {
            *self
                .asked
                .borrow_mut()
                .entry(need.model.clone())
                .or_default() += 1;
        }
    }

    /// Counts an answer and its time.
    pub fn note_answered(&self, plan: &CallPlan, now: MonoTime) {
        let labels = RequestLabels {
            rank: plan.rank.to_string(),
        };
        self.metrics.answered.get_or_create(&labels).inc();
        #[allow(clippy::cast_precision_loss)]
        let seconds = now.millis_since(plan.arrived_at) as f64 / 1_000.0;
        self.metrics
            .first_byte_s
            .get_or_create(&labels)
            .observe(seconds);
    }

    /// Counts a request that begins or ends at an engine.
    pub fn track_run(&self, key: UpstreamKey, need: Option<&ModelNeed>, change: i32) {
        let Some(need) = need else { return };
        let mut runs = self.runs.borrow_mut();
        let run = (key, need.model.clone());
        let count = runs
            .get(&run)
            .copied()
            .unwrap_or(0)
            .saturating_add_signed(change);
        if count == 0 {
            runs.remove(&run);
        } else {
            runs.insert(run, count);
        }
    }

    /// What this process asks for and runs. Counts of arrivals start anew.
    #[must_use]
    pub fn take_demand(&self) -> EntryDemand {
        let asked = std::mem::take(&mut *self.asked.borrow_mut());
        let roster = self.roster.borrow();
        let runs = self.runs.borrow();
        let lines = runs.iter().filter_map(|((key, model), count)| {
            let entry = roster.get(*key)?;
            Some(RunLine(entry.id.clone(), model.clone(), *count))
        });
        EntryDemand {
            wants: self.waits.wants(self.now()),
            runs: lines.collect(),
            asked: asked
                .into_iter()
                .map(|(model, count)| AskedLine(model, count))
                .collect(),
            lacking: std::mem::take(&mut *self.lacking.borrow_mut())
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

    /// Takes this process's part of the fleet's reserve of further sends.
    pub fn share_reserve(&self, entry_count: u32) {
        let count = usize::try_from(entry_count.max(1)).unwrap_or(usize::MAX);
        let part = self.config.resend_reserve / (count + 1);
        self.resends.borrow_mut().set_reserve(part);
    }

    /// Takes an engine's own word that it cannot serve a need.
    pub fn note_missing(&self, now: MonoTime, key: UpstreamKey, need: &ModelNeed) {
        self.placement.borrow_mut().note_missing(now, key, need);
        if let Some(entry) = self.roster.borrow().get(key) {
            self.lacking.borrow_mut().insert(entry.id.clone());
            self.waits.wanted.notify();
        }
    }

    /// Whether a request crashed several upstreams.
    #[must_use]
    pub fn is_held_back(&self, fingerprint: RequestFingerprint) -> bool {
        let verdict = self
            .crashes
            .borrow()
            .verdict(self.now(), fingerprint, CRASH_HOLD_MS);
        verdict == QuarantineVerdict::HeldBack
    }

    /// Records that an upstream was lost while it ran a request.
    pub fn note_crash(&self, fingerprint: RequestFingerprint, key: UpstreamKey) {
        let roster = self.roster.borrow();
        let Some(entry) = roster.get(key) else { return };
        let instance = InstanceName::from(entry.id.as_str());
        let line = CrashRecord(fingerprint, crash_number(&instance, entry.started_at_ms));
        if self
            .crashes
            .borrow_mut()
            .record(self.now(), fingerprint, line.1)
        {
            self.new_crashes.borrow_mut().push(line);
        }
    }

    /// Takes crashes that other processes saw.
    pub fn take_crashes(&self, lines: &[CrashRecord]) {
        let now = self.now();
        let mut book = self.crashes.borrow_mut();
        for CrashRecord(fingerprint, crash) in lines {
            book.record(now, *fingerprint, *crash);
        }
    }

    /// Crashes seen here that were not reported yet.
    #[must_use]
    pub fn drain_crashes(&self) -> Vec<CrashRecord> {
        std::mem::take(&mut *self.new_crashes.borrow_mut())
    }

    fn log_change(&self, change: &RosterChange) {
        let roster = self.roster.borrow();
        let entry = |key: &UpstreamKey| roster.get(*key);
        match change {
            RosterChange::Joined(key) => {
                if let Some(entry) = entry(key) {
                    log::info!(
                        upstream:% = entry.id,
                        service:% = entry.service,
                        address:% = entry.address;
                        "upstream joined"
                    );
                }
            }
            RosterChange::Leaving(key) => {
                if let Some(entry) = entry(key) {
                    log::info!(upstream:% = entry.id; "upstream leaving");
                }
            }
            RosterChange::Gone(id) => log::info!(upstream:% = id; "upstream gone"),
            RosterChange::Unreadable(id, reason) => {
                log::warn!(upstream:% = id, reason:% = reason; "entry ignored");
            }
        }
    }
}
