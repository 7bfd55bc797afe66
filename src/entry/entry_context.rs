//! Shared state of one entry process.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use super::agent_registry::{AgentRegistry, EntryLocation};
use crate::config::EntryConfig;
use crate::daemon::{NodeContext, delete_crash, store_crash};
use crate::placement::DemandTracker;
use crate::prelude::*;
use crate::quarantine::{
    LossTracker, QuarantineTracker, QuarantineVerdict, RequestFingerprint, UnexplainedLoss,
    crash_id,
};
use crate::retry::RetryBudget;
use crate::rpc::AgentReport;

/// Quarantine time in milliseconds until settings have been read.
const DEFAULT_QUARANTINE_MS: u64 = 600_000;

/// State that the routes and loops of an entry share; created once at startup.
pub struct EntryContext {
    /// State that all roles share.
    pub node: Rc<NodeContext>,
    /// Configuration of the entry role.
    pub config: EntryConfig,
    /// Agents known from their reports.
    pub agents: RefCell<AgentRegistry>,
    /// Demand per replica, as seen by this entry.
    pub demand: RefCell<DemandTracker>,
    /// Requests that were in flight at engine crashes.
    pub quarantine: RefCell<QuarantineTracker>,
    /// Lost requests whose agent has not yet reported whether its engine crashed.
    pub losses: RefCell<LossTracker>,
    /// Retry budget of each team.
    pub retries: RefCell<RetryBudget>,
    /// Number of requests in flight in this process.
    pub open_requests: Cell<usize>,
}

impl EntryContext {
    /// Creates the context.
    #[must_use]
    pub fn open(node: Rc<NodeContext>, config: EntryConfig) -> Rc<Self> {
        let location = EntryLocation {
            zone: node.config.zone.clone(),
            region: node.config.region.clone(),
        };
        Rc::new(Self {
            node,
            config,
            agents: RefCell::new(AgentRegistry::open(location)),
            demand: RefCell::new(DemandTracker::open()),
            quarantine: RefCell::new(QuarantineTracker::open()),
            losses: RefCell::new(LossTracker::open()),
            retries: RefCell::new(RetryBudget::open()),
            open_requests: Cell::new(0),
        })
    }

    /// Current monotonic time.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        self.node.now()
    }

    /// Quarantine time in milliseconds, from the settings in force.
    #[must_use]
    pub fn quarantine_ms(&self) -> u64 {
        let fleet = self.node.fleet();
        fleet.map_or(DEFAULT_QUARANTINE_MS, |fleet| fleet.limits.quarantine_ms)
    }

    /// Whether a request is quarantined, suspect or neither.
    #[must_use]
    pub fn quarantine_verdict(&self, fingerprint: RequestFingerprint) -> QuarantineVerdict {
        let quarantine = self.quarantine.borrow();
        quarantine.verdict(self.now(), fingerprint, self.quarantine_ms())
    }

    /// Clears requests lost with an agent whose report shows that its engine did not crash.
    fn clear_losses(&self, report: &AgentReport) {
        let Some(boot_id) = report.boot_id else {
            return;
        };
        let cleared = self
            .losses
            .borrow_mut()
            .resolve_losses(&report.instance, boot_id);
        let now = self.now();
        for loss in cleared {
            let mut quarantine = self.quarantine.borrow_mut();
            quarantine.forgive(now, loss.fingerprint, loss.crash);
            drop(quarantine);
            let node = Rc::clone(&self.node);
            compio::runtime::spawn(delete_crash(node, loss.fingerprint, loss.crash)).detach();
        }
    }

    /// Presumes that a request lost with its agent crashed the engine, until the agent's next
    /// report shows whether it did.
    pub fn presume_crash(
        &self,
        fingerprint: RequestFingerprint,
        instance: &InstanceName,
        boot_id: u64,
    ) {
        let now = self.now();
        let crash = crash_id(instance, boot_id);
        self.losses.borrow_mut().track(UnexplainedLoss {
            fingerprint,
            instance: instance.clone(),
            boot_id,
            crash,
            at: now,
        });
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.record(now, fingerprint, crash);
        drop(quarantine);
        let node = Rc::clone(&self.node);
        compio::runtime::spawn(store_crash(node, fingerprint, crash)).detach();
    }

    /// Stores an agent's report and records the crashes in it.
    pub fn record_report(&self, report: AgentReport) {
        let now = self.now();
        self.clear_losses(&report);
        let crashes = report.crashes.clone();
        if !self.agents.borrow_mut().record_report(now, report) {
            return;
        }
        let mut quarantine = self.quarantine.borrow_mut();
        for crash in crashes {
            quarantine.record(now, crash.fingerprint, crash.crash);
        }
    }
}
