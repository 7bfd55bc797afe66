//! One feed of the platform as this process and others have read it.

use std::cell::Cell;
use std::rc::Rc;

use crate::daemon::WakeSignal;
use crate::fleet::FeedVersion;
use crate::net::ReadProgress;
use crate::prelude::*;

/// Milliseconds after which a call is overdue that has not brought a change which another process has
/// read; doubles with each further call.
const HANG_MS: u64 = 1_000;

/// Milliseconds after which a call is overdue while no other process would tell of a change; doubles
/// with each further call.
const NO_PLANNER_CALL_MS: u64 = 2_600;

/// Milliseconds after which a change that another process has read, and this one has not, is no longer
/// explained by the pause between two calls.
const MISSED_MS: u64 = 2_500;

/// A version that another process has read and this one has not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct MissedVersion {
    version: u64,
    /// When this process first heard of a version that it had not read.
    heard_at: MonoTime,
}

/// Progress of the calls of a feed at a look.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct SeenProgress {
    bytes: usize,
    /// When bytes were last found to have arrived.
    at: MonoTime,
}

/// A feed that is read by calls that wait for changes.
#[derive(Debug)]
pub struct WatchedFeed {
    name: &'static str,
    /// Version up to which this process has read.
    position: Cell<u64>,
    /// Version of the newest change that this process has read; at most `position`.
    newest_change: Cell<u64>,
    /// When the newest call in progress began; `None` between calls.
    call_started_at: Cell<Option<MonoTime>>,
    /// Counts the bytes that calls in progress bring.
    pub progress: Rc<ReadProgress>,
    /// Bytes that had arrived at the latest look, and when the latest ones were seen.
    seen_progress: Cell<SeenProgress>,
    /// Number of calls that were begun since the last answer beside one that was overdue.
    further_calls: Cell<u32>,
    /// When the latest call completed.
    read_at: Cell<MonoTime>,
    /// When this process last had a reason to think that it misses changes; `None` once a call that
    /// began later has completed.
    doubted_at: Cell<Option<MonoTime>>,
    /// Set while another process is ahead of `position`.
    missed: Cell<Option<MissedVersion>>,
    /// Notified to begin another call beside the one in progress.
    pub repeat: WakeSignal,
}

impl WatchedFeed {
    /// Creates a feed that has not been read.
    #[must_use]
    pub fn open(name: &'static str) -> Self {
        Self {
            name,
            position: Cell::new(0),
            newest_change: Cell::new(0),
            call_started_at: Cell::default(),
            progress: Rc::default(),
            seen_progress: Cell::default(),
            further_calls: Cell::new(0),
            read_at: Cell::default(),
            doubted_at: Cell::default(),
            missed: Cell::new(None),
            repeat: WakeSignal::default(),
        }
    }

    /// Name of the feed in log lines.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        self.name
    }

    /// Version up to which this process has read.
    #[must_use]
    pub const fn position(&self) -> u64 {
        self.position.get()
    }

    /// Version of the newest change that this process has read.
    #[must_use]
    pub const fn newest_change(&self) -> u64 {
        self.newest_change.get()
    }

    /// Milliseconds since a call last completed.
    #[must_use]
    pub const fn age_ms(&self, now: MonoTime) -> u64 {
        now.millis_since(self.read_at.get())
    }

    /// Milliseconds for which the newest call in progress has been running; 0 between calls.
    #[must_use]
    pub fn call_ms(&self, now: MonoTime) -> u64 {
        self.call_started_at
            .get()
            .map_or(0, |started_at| now.millis_since(started_at))
    }

    /// Milliseconds for which the calls in progress have brought nothing; 0 between calls.
    fn silent_ms(&self, now: MonoTime) -> u64 {
        let progress_ms = now.millis_since(self.seen_progress.get().at);
        self.call_ms(now).min(progress_ms)
    }

    /// Notes whether calls in progress have brought anything.
    fn look_at_progress(&self, now: MonoTime) {
        let bytes = self.progress.bytes();
        if bytes != self.seen_progress.get().bytes {
            self.seen_progress.set(SeenProgress { bytes, at: now });
        }
    }

    /// Records the start of a call.
    pub fn begin_call(&self, now: MonoTime) {
        self.call_started_at.set(Some(now));
        self.further_calls.set(0);
    }

    /// Records the start of a call beside one that is overdue.
    pub fn begin_further_call(&self, now: MonoTime) {
        self.call_started_at.set(Some(now));
        self.further_calls.set(self.further_calls.get() + 1);
    }

    /// Records that the calls in progress ended, with or without an answer.
    pub fn end_call(&self) {
        self.call_started_at.set(None);
    }

    /// Records that the feed was read by a call that began at `started_at`.
    pub fn record_read(&self, started_at: MonoTime, now: MonoTime) {
        self.read_at.set(now);
        let still_doubted = self.doubted_at.get().filter(|at| *at > started_at);
        self.doubted_at.set(still_doubted);
    }

    /// Records a reason to think that this process misses changes.
    pub fn doubt(&self, now: MonoTime) {
        self.doubted_at.set(Some(now));
    }

    /// Whether this process had a reason to think that it misses changes when the answered call had
    /// begun already.
    #[must_use]
    pub const fn is_doubted(&self) -> bool {
        self.doubted_at.get().is_some()
    }

    /// Whether nothing hints that this process misses changes.
    #[must_use]
    pub fn is_trusted(&self, now: MonoTime) -> bool {
        let missed = self.missed.get();
        let is_behind = missed.is_some_and(|missed| now.millis_since(missed.heard_at) >= MISSED_MS);
        self.doubted_at.get().is_none() && !is_behind
    }

    /// Position after which the next call asks for changes, if the feed was read up to `position`; `None`
    /// to ask for the whole state. An answer with changes holds each one, also those that later ones
    /// replace, so that it grows with the time since `position`. A process that may be behind asks for
    /// the state, whose size does not depend on that.
    #[must_use]
    pub fn read_after(&self, now: MonoTime, position: Option<FeedVersion>) -> Option<FeedVersion> {
        position.filter(|_| self.is_trusted(now))
    }

    /// Records the number of changes in an answer, and the most of a process that is not behind. The
    /// state is the shorter answer for one that is.
    pub fn record_backlog(&self, now: MonoTime, changes: usize, usual_changes: usize) {
        if changes > usual_changes {
            self.doubt(now);
        }
    }

    /// Records a change that was read, and the position up to which the feed has been read.
    pub fn record_change(&self, now: MonoTime, change: u64, position: u64) {
        self.newest_change.set(self.newest_change.get().max(change));
        self.position
            .set(self.position.get().max(position).max(change));
        let still_missed = self
            .missed
            .get()
            .filter(|missed| missed.version > self.position.get());
        // A call that brought a change does not hang: the wait for the rest starts anew.
        self.missed.set(still_missed.map(|missed| MissedVersion {
            heard_at: now,
            ..missed
        }));
    }

    /// Forgets all positions, because the platform was restored and gives versions out again.
    pub fn restart(&self) {
        self.position.set(0);
        self.newest_change.set(0);
        self.missed.set(None);
    }

    /// Records the newest change that another process has read.
    pub fn record_remote_change(&self, now: MonoTime, version: u64) {
        if version <= self.position.get() {
            return;
        }
        let first = MissedVersion {
            version,
            heard_at: now,
        };
        let missed = self.missed.get().map_or(first, |missed| MissedVersion {
            version: missed.version.max(version),
            ..missed
        });
        self.missed.set(Some(missed));
    }

    /// Whether another call should be begun beside the one in progress. `has_planner` says whether a
    /// planner answers that would tell of changes that this process misses.
    #[must_use]
    pub fn is_overdue(&self, now: MonoTime, has_planner: bool) -> bool {
        let call_ms = self.silent_ms(now) >> self.further_calls.get().min(u64::BITS - 1);
        let has_missed = self
            .missed
            .get()
            .is_some_and(|missed| now.millis_since(missed.heard_at) >= HANG_MS);
        (has_missed && call_ms >= HANG_MS) || (!has_planner && call_ms >= NO_PLANNER_CALL_MS)
    }

    /// Asks for another call if the one in progress is overdue.
    pub fn repeat_overdue_call(&self, now: MonoTime, has_planner: bool) {
        self.look_at_progress(now);
        if !self.is_overdue(now, has_planner) {
            return;
        }
        log::info!(
            feed = self.name,
            position = self.position.get(),
            missed = self.missed.get().map(|missed| missed.version),
            has_planner,
            call_ms = self.call_ms(now),
            age_ms = self.age_ms(now);
            "call for changes is overdue, another one is begun"
        );
        self.doubt(now);
        self.repeat.notify();
    }
}
