//! What an agent knows of its engine.

use std::collections::HashMap;

use futures_channel::oneshot;

use crate::prelude::*;
use crate::quarantine::{RequestFingerprint, crash_number};
use crate::rpc::CrashReport;

/// Failed reads in a row after which the engine counts as down.
const DOWN_AFTER_FAILURES: u32 = 2;

/// Milliseconds for which crashes are reported.
const CRASH_KEEP_MS: u64 = 600_000;

/// Crashes reported at most.
const MAX_CRASHES: usize = 256;

/// Milliseconds without progress after which a request that the engine does not list counts
/// as lost.
const LOST_AFTER_MS: u64 = 1_500;

/// A request at the engine.
#[derive(Debug)]
pub struct InFlight {
    /// Its fingerprint.
    pub fingerprint: RequestFingerprint,
    /// Start of the engine that it was handed to.
    pub boot_id: u64,
    /// Last byte from the engine, or the hand-over.
    pub progress_at: MonoTime,
    /// The next byte waits for the receiver, not for the engine.
    pub is_blocked: bool,
    /// Fired when the engine no longer knows the request.
    pub lost: Option<oneshot::Sender<()>>,
}

/// Newest knowledge of the engine.
#[derive(Debug, Default)]
pub struct EngineView {
    /// Start number; `None` before the first read.
    pub boot_id: Option<u64>,
    /// Fencing number for orders; above any that the engine has accepted.
    pub fence: u64,
    /// Checkpoints near the engine.
    pub cached: Vec<ReplicaName>,
    /// Requests at the engine.
    pub in_flight: HashMap<AttemptId, InFlight>,
    crashes: Vec<(CrashReport, MonoTime)>,
    failures: u32,
    last_ok_asked_at: Option<MonoTime>,
    last_failed_at: Option<MonoTime>,
}

/// What became of the connection trouble of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// Not known yet.
    Open,
    /// The engine is alive.
    Alive,
    /// The engine crashed; the number of the crash.
    Crashed(u64),
}

impl EngineView {
    /// Opens a view before the first read.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Whether the engine answers and its holdings are known.
    #[must_use]
    pub const fn is_healthy(&self) -> bool {
        self.boot_id.is_some() && self.failures < DOWN_AFTER_FAILURES
    }

    /// Takes a successful read, asked at `asked_at`. Returns whether the engine is another
    /// start than before.
    pub fn read_ok(&mut self, asked_at: MonoTime, boot_id: u64, fence: Option<u64>) -> bool {
        self.failures = 0;
        self.last_ok_asked_at = Some(asked_at);
        let is_first = self.boot_id.is_none();
        let is_other = self.boot_id.is_some_and(|known| known != boot_id);
        if is_first || is_other {
            self.fence = self.fence.max(fence.unwrap_or(0)) + 1;
        }
        self.boot_id = Some(boot_id);
        is_other
    }

    /// Takes a failed read. Returns whether the engine counts as down from now on.
    pub const fn read_failed(&mut self, now: MonoTime) -> bool {
        self.failures += 1;
        self.last_failed_at = Some(now);
        self.failures == DOWN_AFTER_FAILURES
    }

    /// Raises the fencing number, so that an unanswered order can no longer take effect on
    /// an engine that checks.
    pub const fn raise_fence(&mut self) {
        self.fence += 1;
    }

    /// Records that all requests handed to a start of the engine were in flight at its crash.
    pub fn record_crash(&mut self, now: MonoTime, crash: u64, boot_id: u64) -> Vec<CrashReport> {
        let in_flight = self.in_flight.values();
        let reports: Vec<CrashReport> = in_flight
            .filter(|run| run.boot_id == boot_id)
            .map(|run| CrashReport {
                fingerprint: run.fingerprint,
                crash,
            })
            .collect();
        let fresh: Vec<CrashReport> = reports
            .into_iter()
            .filter(|report| !self.crashes.iter().any(|(known, _)| known == report))
            .collect();
        self.crashes
            .extend(fresh.iter().map(|report| (*report, now)));
        fresh
    }

    /// Crashes to report.
    pub fn recent_crashes(&mut self, now: MonoTime) -> Vec<CrashReport> {
        self.crashes
            .retain(|(_, at)| now.millis_since(*at) < CRASH_KEEP_MS);
        let excess = self.crashes.len().saturating_sub(MAX_CRASHES);
        self.crashes.drain(..excess);
        self.crashes.iter().map(|(report, _)| *report).collect()
    }

    /// Judges whether a request's connection broke because the engine died.
    #[must_use]
    pub fn verdict(&self, instance: &InstanceName, boot_id: u64, since: MonoTime) -> CrashVerdict {
        let crash = CrashVerdict::Crashed(crash_number(instance, boot_id));
        if self.boot_id != Some(boot_id) {
            return crash;
        }
        if self.failures >= DOWN_AFTER_FAILURES && self.last_failed_at > Some(since) {
            return crash;
        }
        if self.last_ok_asked_at > Some(since) && self.failures == 0 {
            return CrashVerdict::Alive;
        }
        CrashVerdict::Open
    }

    /// Tells the requests that the engine no longer lists that their answer is lost.
    pub fn signal_lost(&mut self, now: MonoTime, listed: &[AttemptId]) {
        for (attempt, run) in &mut self.in_flight {
            let is_stuck = !run.is_blocked && now.millis_since(run.progress_at) >= LOST_AFTER_MS;
            if is_stuck
                && !listed.contains(attempt)
                && let Some(lost) = run.lost.take()
            {
                let _ = lost.send(());
            }
        }
    }
}
