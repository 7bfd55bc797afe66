//! Detects feeds that hang by the changes that other processes report.

use std::cell::Cell;
use std::cmp::Ordering;

use super::watched_feed::WatchedFeed;
use crate::fleet::FeedVersion;
use crate::planner_rpc::{FeedAges, FeedVersions};
use crate::prelude::*;
use crate::table::TableEra;

/// Greatest age in milliseconds of the planner's own reads of the list of upstreams for this process to rely
/// on them; the pauses between them are longer than those of the configuration.
const MAX_PLANNER_ROSTER_AGE_MS: u64 = 3_500;

/// The feeds that a gateway reads, compared with those of other processes.
#[derive(Debug)]
pub struct FeedWatch {
    /// The configuration; its positions are configuration versions.
    pub catalog: WatchedFeed,
    /// The list of upstreams; its positions are versions of the platform's table.
    pub roster: WatchedFeed,
    /// Era of the table of the positions of `roster`.
    roster_era: Cell<TableEra>,
}

impl Default for FeedWatch {
    fn default() -> Self {
        Self {
            catalog: WatchedFeed::open("configuration"),
            roster: WatchedFeed::open("list of upstreams")
                .with_max_planner_age(MAX_PLANNER_ROSTER_AGE_MS),
            roster_era: Cell::default(),
        }
    }
}

impl FeedWatch {
    /// Records a read of the list of upstreams: its newest change, and the position after it.
    pub fn record_roster_read(&self, now: MonoTime, change: FeedVersion, position: FeedVersion) {
        if self.roster_era.replace(position.era) != position.era {
            self.roster.restart();
        }
        self.roster
            .record_change(now, change.version, position.version);
    }

    /// Position up to which the list of upstreams has been read; `None` before the first read.
    #[must_use]
    pub fn roster_position(&self) -> Option<FeedVersion> {
        let version = self.roster.position();
        (version > 0).then_some(FeedVersion {
            era: self.roster_era.get(),
            version,
        })
    }

    /// The newest changes that this process has read.
    #[must_use]
    pub const fn versions(&self) -> FeedVersions {
        FeedVersions {
            era: self.roster_era.get(),
            catalog: self.catalog.newest_change(),
            roster: self.roster.newest_change(),
        }
    }

    /// Ages of this process's own reads.
    #[must_use]
    pub const fn ages(&self, now: MonoTime) -> FeedAges {
        FeedAges {
            catalog_ms: self.catalog.own_age_ms(now),
            roster_ms: self.roster.own_age_ms(now),
        }
    }

    /// Records the ages of the planner's reads, from its answer to a call that began at `sent_at`.
    pub fn record_planner_read(&self, sent_at: MonoTime, ages: FeedAges) {
        self.catalog.record_planner_read(sent_at, ages.catalog_ms);
        self.roster.record_planner_read(sent_at, ages.roster_ms);
    }

    /// Records the newest changes that another process has read.
    pub fn record_remote(&self, now: MonoTime, versions: FeedVersions) {
        self.catalog.record_remote_change(now, versions.catalog);
        match versions.era.cmp(&self.roster_era.get()) {
            Ordering::Greater => self.roster.record_remote_change(now, u64::MAX),
            Ordering::Equal => self.roster.record_remote_change(now, versions.roster),
            Ordering::Less => {}
        }
    }

    /// Asks for another call of each feed whose call is overdue. `has_planner` says whether a planner
    /// answers; it tells of changes that this process misses if it has read the feed itself.
    pub fn repeat_overdue_calls(&self, now: MonoTime, has_planner: bool) {
        for feed in [&self.catalog, &self.roster] {
            let is_covered = has_planner && feed.is_planner_current(now);
            feed.repeat_overdue_call(now, is_covered);
        }
    }

    /// Triggers a refetch of both feeds, because the platform is reachable again.
    pub fn refetch(&self) {
        self.catalog.repeat.notify();
        self.roster.repeat.notify();
    }
}
