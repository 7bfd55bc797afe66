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

/// Greatest age in milliseconds of what is known for a final refusal by it. It leaves time for a read
/// after the planner's own reads have become too old.
const MAX_CURRENT_AGE_MS: u64 = 2_800;

/// Greatest age in milliseconds of the planner's own reads for this process to rely on them, unless another
/// one is set. A planner that is on time reads every 1.3 s, and answers twice a second.
const MAX_PLANNER_AGE_MS: u64 = 2_300;

/// A completed read of a feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompletedRead {
    /// When its call began.
    pub began_at: MonoTime,
    /// Milliseconds from then on in which nothing changed.
    pub quiet_ms: u64,
    /// Number of changes in the answer; 0 for the whole state.
    pub changes: usize,
    /// Most changes in an answer for a process that is not behind. For one that is, the whole state is
    /// the shorter answer.
    pub usual_changes: usize,
}

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
    /// Greatest age in milliseconds of the planner's own reads for this process to rely on them.
    max_planner_age_ms: u64,
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
    /// Time until which this process's own reads show that there was no newer change.
    confirmed_until: Cell<MonoTime>,
    /// Time until which the planner has read the feed, and would have told of newer changes.
    planner_read_until: Cell<MonoTime>,
    /// When this process last had a reason to think that it misses changes; `None` once a call that
    /// began later has completed.
    doubted_at: Cell<Option<MonoTime>>,
    /// Whether there may be many changes after `position`: a read has failed, a change that another
    /// process has read is overdue, or the latest answer held more changes than usual.
    is_behind: Cell<bool>,
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
            max_planner_age_ms: MAX_PLANNER_AGE_MS,
            position: Cell::new(0),
            newest_change: Cell::new(0),
            call_started_at: Cell::default(),
            progress: Rc::default(),
            seen_progress: Cell::default(),
            further_calls: Cell::new(0),
            confirmed_until: Cell::default(),
            planner_read_until: Cell::default(),
            doubted_at: Cell::default(),
            is_behind: Cell::new(false),
            missed: Cell::new(None),
            repeat: WakeSignal::default(),
        }
    }

    /// Replaces the greatest age of the planner's own reads for this process to rely on them.
    #[must_use]
    pub const fn with_max_planner_age(mut self, millis: u64) -> Self {
        self.max_planner_age_ms = millis;
        self
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

    /// Milliseconds since this process last knew, by its own reads or by the planner's, that there was
    /// no newer change.
    #[must_use]
    pub fn age_ms(&self, now: MonoTime) -> u64 {
        let own_ms = self.own_age_ms(now);
        if self.missed.get().is_some() {
            return own_ms;
        }
        own_ms.min(now.millis_since(self.planner_read_until.get()))
    }

    /// Like [`Self::age_ms`], by this process's own reads alone.
    #[must_use]
    pub const fn own_age_ms(&self, now: MonoTime) -> u64 {
        now.millis_since(self.confirmed_until.get())
    }

    /// Whether what is known is as new as a final refusal by it requires.
    #[must_use]
    pub fn is_current(&self, now: MonoTime) -> bool {
        self.is_trusted(now) && self.age_ms(now) < MAX_CURRENT_AGE_MS
    }

    /// Records that the planner's own reads, when it answered a call of this process that began at
    /// `sent_at`, had the given age.
    pub fn record_planner_read(&self, sent_at: MonoTime, age_ms: u64) {
        self.planner_read_until.set(sent_at - age_ms);
    }

    /// Whether the planner has read the feed a short while ago, so that its answers name changes that this
    /// process misses.
    #[must_use]
    pub fn is_planner_current(&self, now: MonoTime) -> bool {
        now.millis_since(self.planner_read_until.get()) < self.max_planner_age_ms
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

    /// Records a completed read.
    pub fn record_read(&self, read: CompletedRead) {
        let doubted_at = self.doubted_at.get();
        self.doubted_at
            .set(doubted_at.filter(|at| *at > read.began_at));
        self.is_behind.set(read.changes > read.usual_changes);
        self.confirmed_until.set(read.began_at + read.quiet_ms);
    }

    /// Records a read that failed.
    pub fn record_failure(&self, now: MonoTime) {
        self.doubt(now);
        self.is_behind.set(true);
    }

    /// Reads the feed at once, unless that has been asked for already.
    pub fn read_again(&self, now: MonoTime) {
        if self.is_doubted() {
            return;
        }
        self.doubt(now);
        if self.call_started_at.get().is_some() {
            self.repeat.notify();
        }
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

    /// Whether the feed should be read again without a pause.
    #[must_use]
    pub const fn wants_read(&self) -> bool {
        self.is_doubted() || self.is_behind.get()
    }

    /// Whether nothing hints that this process misses changes.
    #[must_use]
    pub fn is_trusted(&self, now: MonoTime) -> bool {
        self.doubted_at.get().is_none() && !self.has_missed_for(now, MISSED_MS)
    }

    /// Position after which the next call asks for changes, if the feed was read up to `position`; `None`
    /// to ask for the whole state. An answer with changes holds each one, also those that later ones
    /// replace, so that it grows with the time since `position`. A process that may be behind asks for
    /// the state, whose size does not depend on that.
    #[must_use]
    pub fn read_after(&self, position: Option<FeedVersion>) -> Option<FeedVersion> {
        position.filter(|_| !self.is_behind.get())
    }

    /// Long-poll timeout in milliseconds of the next call, which usually is `usual_ms`. A feed that is
    /// doubted is read without a wait.
    #[must_use]
    pub fn wait_ms(&self, now: MonoTime, usual_ms: u64) -> u64 {
        if self.is_trusted(now) { usual_ms } else { 0 }
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
        let is_awaited = self.has_missed_for(now, HANG_MS);
        (is_awaited && call_ms >= HANG_MS) || (!has_planner && call_ms >= NO_PLANNER_CALL_MS)
    }

    /// Whether another process has been ahead for so many milliseconds.
    fn has_missed_for(&self, now: MonoTime, millis: u64) -> bool {
        let missed = self.missed.get();
        missed.is_some_and(|missed| now.millis_since(missed.heard_at) >= millis)
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
        if self.has_missed_for(now, HANG_MS) {
            self.is_behind.set(true);
        }
        self.repeat.notify();
    }
}
