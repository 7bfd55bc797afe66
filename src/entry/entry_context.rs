//! State of one entry.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use super::agent_book::{AgentBook, EntryPlace};
use crate::config::EntryConfig;
use crate::daemon::{NodeContext, delete_crash, store_crash};
use crate::placement::DemandTracker;
use crate::prelude::*;
use crate::quarantine::{
    LossWatch, QuarantineBook, QuarantineVerdict, RequestFingerprint, UnexplainedLoss, crash_number,
};
use crate::retry::RetryBudget;
use crate::rpc::AgentReport;

/// Milliseconds of quarantine before the settings give a time.
const DEFAULT_HOLD_MS: u64 = 600_000;

/// Made once at start and passed down.
pub struct EntryContext {
    /// What both roles share.
    pub node: Rc<NodeContext>,
    /// The entry's settings file.
    pub config: EntryConfig,
    /// Reports of agents.
    pub agents: RefCell<AgentBook>,
    /// Demand seen here.
    pub demand: RefCell<DemandTracker>,
    /// Crashing requests.
    pub quarantine: RefCell<QuarantineBook>,
    /// Requests lost with their agents.
    pub losses: RefCell<LossWatch>,
    /// Retry budgets.
    pub retries: RefCell<RetryBudget>,
    /// Requests in this process.
    pub open_requests: Cell<usize>,
}

impl EntryContext {
    /// Opens the context.
    #[must_use]
    pub fn open(node: Rc<NodeContext>, config: EntryConfig) -> Rc<Self> {
        let place = EntryPlace {
            zone: node.config.zone.clone(),
            region: node.config.region.clone(),
        };
        Rc::new(Self {
            node,
            config,
            agents: RefCell::new(AgentBook::open(place)),
            demand: RefCell::new(DemandTracker::open()),
            quarantine: RefCell::new(QuarantineBook::open()),
            losses: RefCell::new(LossWatch::open()),
            retries: RefCell::new(RetryBudget::open()),
            open_requests: Cell::new(0),
        })
    }

    /// The time.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        self.node.now()
    }

    /// Milliseconds for which crashing requests are held back.
    #[must_use]
    pub fn hold_ms(&self) -> u64 {
        let fleet = self.node.fleet();
        fleet.map_or(DEFAULT_HOLD_MS, |fleet| fleet.limits.quarantine_ms)
    }

    /// Judges a request.
    #[must_use]
    pub fn judge(&self, fingerprint: RequestFingerprint) -> QuarantineVerdict {
        let quarantine = self.quarantine.borrow();
        quarantine.verdict(self.now(), fingerprint, self.hold_ms())
    }

    /// Forgives requests that were lost with an agent whose engine has not crashed.
    fn clear_losses(&self, report: &AgentReport) {
        let Some(boot_id) = report.boot_id else {
            return;
        };
        let cleared = self.losses.borrow_mut().heard(&report.instance, boot_id);
        let now = self.now();
        for loss in cleared {
            let mut quarantine = self.quarantine.borrow_mut();
            quarantine.pardon(now, loss.fingerprint, loss.crash);
            drop(quarantine);
            let node = Rc::clone(&self.node);
            compio::runtime::spawn(delete_crash(node, loss.fingerprint, loss.crash)).detach();
        }
    }

    /// Presumes that a request lost with its agent crashed the engine, until the agent's
    /// next report tells.
    pub fn presume_crash(
        &self,
        fingerprint: RequestFingerprint,
        instance: &InstanceName,
        boot_id: u64,
    ) {
        let now = self.now();
        let crash = crash_number(instance, boot_id);
        self.losses.borrow_mut().follow(UnexplainedLoss {
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

    /// Takes an agent's report, with the crashes it names.
    pub fn take_report(&self, report: AgentReport) {
        let now = self.now();
        self.clear_losses(&report);
        let crashes = report.crashes.clone();
        if !self.agents.borrow_mut().take(now, report) {
            return;
        }
        let mut quarantine = self.quarantine.borrow_mut();
        for crash in crashes {
            quarantine.record(now, crash.fingerprint, crash.crash);
        }
    }
}
