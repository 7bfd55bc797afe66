//! Whether an upstream still runs the start that the list of upstreams names, and with it the software
//! version. A list that lags behind names an earlier one.

use std::rc::Rc;
use std::time::Duration;

use super::GatewayContext;
use super::upstream_loss::UpstreamStart;
use crate::fleet::{SourceError, UpstreamChange, UpstreamEntry, UpstreamKey};
use crate::orders::UpstreamTarget;

/// Longest time in milliseconds for an engine to tell its start.
const REPORT_LIMIT_MS: u64 = 400;

/// Milliseconds without processor time after which this process may have missed changes of the list.
const MISSED_CHANGES_MS: u64 = 1_000;

/// What an upstream says of its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportedStart {
    /// It started at this Unix millisecond.
    At(u64),
    /// It does not name its start.
    Unnamed,
    /// It does not answer.
    Silent,
}

impl GatewayContext {
    /// Whether an upstream runs the start that the list names. An engine is asked; for other upstreams
    /// the changes of the list since it was read last.
    pub(super) async fn runs_listed_start(&self, request: &str, key: UpstreamKey) -> bool {
        let Some(entry) = self.roster.borrow().get(key).cloned() else {
            return false;
        };
        let reported = if self.is_engine(&entry) {
            self.reported_start(&entry).await
        } else {
            ReportedStart::Unnamed
        };
        let is_same = match reported {
            ReportedStart::At(started_at_ms) => started_at_ms == entry.started_at_ms,
            ReportedStart::Unnamed => self.confirm_start(&UpstreamStart::of(&entry)).await,
            ReportedStart::Silent => false,
        };
        log::info!(
            request,
            upstream:% = entry.id,
            listed_at_ms = entry.started_at_ms,
            reported:? = reported,
            list_age_ms = self.feeds.roster.age_ms(self.now()),
            is_same;
            "start of an upstream checked"
        );
        is_same
    }

    /// Whether the list, read now, still names a start of an upstream.
    pub(super) async fn confirm_start(&self, start: &UpstreamStart) -> bool {
        let changes = self.read_changes_to_confirm().await;
        changes.is_some_and(|changes| self.names_start(&changes, start))
    }

    /// Like [`Self::read_list_changes`]; `None` also if the list cannot be read, which is logged.
    pub(super) async fn read_changes_to_confirm(&self) -> Option<Vec<UpstreamChange>> {
        match self.read_list_changes().await {
            Ok(changes) => changes,
            Err(error) => {
                log::warn!(dependency = "list of upstreams", error:% = error; "start of an upstream not confirmed");
                None
            }
        }
    }

    /// Changes of the list since this process read it last, without a wait; `None` if it has not read it.
    ///
    /// # Errors
    /// [`SourceError`] if the list cannot be read.
    pub(super) async fn read_list_changes(
        &self,
    ) -> Result<Option<Vec<UpstreamChange>>, SourceError> {
        let Some(position) = self.feeds.roster_position() else {
            return Ok(None);
        };
        let fleet = &self.ports.fleet;
        let update = fleet.upstreams(Some(position), 0, Rc::default()).await?;
        Ok(Some(update.changes))
    }

    /// Whether the list with some changes names a start of an upstream.
    pub(super) fn names_start(&self, changes: &[UpstreamChange], start: &UpstreamStart) -> bool {
        let roster = self.roster.borrow();
        let listed = roster.key_of(&start.id).and_then(|key| roster.get(key));
        let is_listed = listed.is_some_and(|entry| start.is_of(entry));
        let is_changed = changes.iter().any(|change| match change {
            UpstreamChange::Listed(entry) => entry.id == start.id && !start.is_of(entry),
            UpstreamChange::Removed(id) | UpstreamChange::Unreadable { id, .. } => *id == start.id,
        });
        is_listed && !is_changed
    }

    /// Whether this process has no reason to think that it misses changes of the list of upstreams.
    pub(super) fn is_list_trusted(&self) -> bool {
        self.doubt_list_after_delay();
        self.feeds.roster.is_trusted(self.now())
    }

    /// Doubts the list if this process has just had no processor time. Returns whether it had none.
    pub(super) fn doubt_list_after_delay(&self) -> bool {
        let now = self.now();
        let is_delayed = self.delay.lateness_ms(now) >= MISSED_CHANGES_MS;
        if is_delayed {
            self.feeds.roster.doubt(now);
        }
        is_delayed
    }

    /// Reads the list again if this process has just had no processor time.
    pub(super) fn refetch_list_after_delay(&self) {
        if self.doubt_list_after_delay() {
            self.feeds.roster.repeat.notify();
        }
    }

    pub(super) fn is_engine(&self, entry: &UpstreamEntry) -> bool {
        let catalog = self.catalog.borrow();
        let service = catalog
            .as_ref()
            .and_then(|catalog| catalog.service(&entry.service));
        service.is_some_and(|service| service.engine.is_some())
    }

    async fn reported_start(&self, entry: &UpstreamEntry) -> ReportedStart {
        let target = UpstreamTarget {
            id: entry.id.clone(),
            address: entry.address,
        };
        let limit = Duration::from_millis(REPORT_LIMIT_MS);
        let reporting = compio::time::timeout(limit, self.ports.engines.report(target));
        let Ok(Ok(report)) = reporting.await else {
            return ReportedStart::Silent;
        };
        match report.started_at_ms {
            Some(started_at_ms) if entry.started_at_ms > 0 => ReportedStart::At(started_at_ms),
            _ => ReportedStart::Unnamed,
        }
    }
}
