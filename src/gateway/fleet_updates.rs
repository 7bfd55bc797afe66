//! Applies the configuration, the list of upstreams and the table's era to a gateway's state.

use std::rc::Rc;

use super::GatewayContext;
use super::feed_read::FeedRead;
use crate::fleet::{
    AnswerSize, FleetCatalog, RosterChange, SourceError, UpstreamKey, UpstreamUpdate,
};
use crate::prelude::*;
use crate::table::TableEra;

impl GatewayContext {
    /// Applies a new configuration that was brought by `read`.
    pub fn apply_catalog(&self, catalog: FleetCatalog, read: FeedRead, size: AnswerSize) {
        let (now, version) = (self.now(), catalog.version);
        log::info!(
            version,
            age_ms = self.feeds.catalog.age_ms(now),
            call_ms = read.call_ms,
            late_ms = read.late_ms,
            versions = size.changes,
            bytes = size.bytes,
            accounts = catalog.accounts().len(),
            keys = catalog.accounts().key_count();
            "configuration in force"
        );
        self.feeds.catalog.record_change(now, version, version);
        let revision = i64::try_from(version).unwrap_or(i64::MAX);
        self.metrics.settings_revision.set(revision);
        let catalog = Rc::new(catalog);
        self.apply_account_limits(version, catalog.accounts());
        *self.catalog.borrow_mut() = Some(Rc::clone(&catalog));
        self.host
            .with_planner(|planner| planner.set_catalog(catalog));
        self.propagate_roster();
    }

    /// Records by how much the timer of the feeds is late.
    pub fn record_lateness(&self, now: MonoTime) {
        #[allow(clippy::cast_precision_loss)]
        let seconds = self.delay.lateness_ms(now) as f64 / 1_000.0;
        self.metrics.timer_lateness_s.observe(seconds);
    }

    /// Applies changes of the upstream list.
    pub fn apply_upstreams(&self, update: UpstreamUpdate) {
        let now = self.now();
        self.feeds
            .record_roster_read(now, update.newest_change, update.version);
        // Versions that leave with this update count as listed until now.
        self.observe_software();
        let changes = self.roster.borrow_mut().apply(now, update);
        self.observe_software();
        self.knows_roster.set(true);
        for change in changes {
            self.log_change(&change);
        }
        self.propagate_roster();
    }

    /// Drops upstreams that stayed missing after an outage, and uses those that stayed listed after a
    /// restore.
    pub fn expire_upstreams(&self) {
        let changes = self.roster.borrow_mut().expire(self.now());
        for change in &changes {
            self.log_change(change);
        }
        if !changes.is_empty() {
            self.propagate_roster();
        }
    }

    /// Records a read of the upstream list that began at `started_at` and failed. Returns whether it
    /// shows an outage of the platform.
    pub fn record_failed_list_read(&self, started_at: MonoTime, error: &SourceError) -> bool {
        let now = self.now();
        let mut roster = self.roster.borrow_mut();
        let is_outage = roster.note_failed_read(started_at, now, error, &self.delay);
        if !is_outage {
            let call_ms = now.millis_since(started_at);
            log::warn!(error:% = error, call_ms, reason = "this process was delayed"; "read given up");
        }
        is_outage
    }

    /// Records the era that the platform's table named last.
    pub fn check_era(&self) {
        if let Some(era) = self.ports.table.era() {
            self.record_era(era);
        }
    }

    /// Records the era that another process has read. A process that knows none yet learns it from
    /// the table.
    pub fn record_remote_era(&self, era: TableEra) {
        if self.era.get().is_some() {
            self.record_era(era);
        }
    }

    fn record_era(&self, era: TableEra) {
        let known = self.era.get();
        if known.is_some_and(|known| era <= known) {
            return;
        }
        self.era.set(Some(era));
        self.host.observe_era(self.now(), era);
        if known.is_some() {
            self.restored_at.set(Some(self.now()));
            self.origins.borrow_mut().mark_all_unsaved();
            self.origin_wake.notify();
            log::warn!(dependency = "table", era = era.0; "table restored from an older copy");
            self.lease_wake.notify();
        }
    }

    /// Updates placement, load tracking, planner and waiting requests from the roster.
    pub fn propagate_roster(&self) {
        let now = self.now();
        let roster = self.roster.borrow();
        self.placement.borrow_mut().apply_roster(&roster);
        self.loads
            .borrow_mut()
            .retain(|key| roster.get(key).is_some());
        self.speeds
            .borrow_mut()
            .retain(|key| roster.get(key).is_some());
        self.rate_limiter
            .borrow_mut()
            .retain(|key| roster.get(key).is_some());
        self.host
            .with_planner(|planner| planner.apply_roster(now, &roster));
        self.waits.wake_all();
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
                        software = entry.software.as_ref().map(SoftwareVersion::as_str),
                        started_at_ms = entry.started_at_ms,
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
            RosterChange::Lapsed(id) => {
                log::info!(upstream:% = id, reason = "stayed missing after an outage"; "upstream gone");
            }
            RosterChange::Unreadable(id, reason) => {
                log::warn!(upstream:% = id, reason:% = reason; "entry ignored");
            }
        }
    }
}
