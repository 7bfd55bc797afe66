//! State of one entry.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use super::agent_book::{AgentBook, EntryPlace};
use crate::config::EntryConfig;
use crate::daemon::NodeContext;
use crate::placement::DemandTracker;
use crate::prelude::*;
use crate::quarantine::{QuarantineBook, QuarantineVerdict, RequestFingerprint};
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

    /// Takes an agent's report, with the crashes it names.
    pub fn take_report(&self, report: AgentReport) {
        let now = self.now();
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
