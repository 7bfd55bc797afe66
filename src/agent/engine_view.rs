//! Last observed state of the engine, and the requests in flight.

use std::collections::HashMap;

use futures_channel::oneshot;

use crate::prelude::*;
use crate::quarantine::{RequestFingerprint, crash_id};
use crate::rpc::CrashReport;

/// Consecutive failed reads after which the engine counts as down.
const DOWN_AFTER_FAILURES: u32 = 2;

/// Time in milliseconds that a crash is included in reports.
const CRASH_RETENTION_MS: u64 = 600_000;

/// Maximum number of crash reports to send; the oldest are dropped first.
const MAX_CRASHES: usize = 256;

/// Time in milliseconds without progress after which the answer of a request that the
/// engine does not list counts as lost.
const LOST_AFTER_MS: u64 = 1_500;

/// A request in flight at the engine.
#[derive(Debug)]
pub struct InFlight {
    /// Fingerprint of the request, for the quarantine.
    pub fingerprint: RequestFingerprint,
    /// Boot id of the engine process that the request was sent to.
    pub boot_id: u64,
    /// When the last byte came from the engine; before the first byte, when the request was
    /// sent.
    pub progress_at: MonoTime,
    /// Whether the relay waits for a slow receiver, so that missing progress is not the
    /// engine's fault.
    pub is_blocked: bool,
    /// Fired when the engine no longer lists the request; `None` once fired.
    pub lost: Option<oneshot::Sender<()>>,
}

/// Last observed state of the engine.
#[derive(Debug, Default)]
pub struct EngineView {
    /// Identifies the engine process; `None` before the first successful read.
    pub boot_id: Option<u64>,
    /// Fencing token for orders; higher than any that the engine has accepted.
    pub fence: u64,
    /// Replicas whose checkpoints are cached near the engine.
    pub cached: Vec<ReplicaName>,
    /// Requests in flight at the engine.
    pub in_flight: HashMap<AttemptId, InFlight>,
    crashes: Vec<(CrashReport, MonoTime)>,
    failures: u32,
    last_ok_asked_at: Option<MonoTime>,
    last_failed_at: Option<MonoTime>,
}

/// Why a request lost its connection to the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The engine has not been read since; the cause is not known yet.
    Open,
    /// The engine process is alive, so that the connection alone failed.
    Alive,
    /// The engine crashed; holds the number of the crash.
    Crashed(u64),
}

impl EngineView {
    /// Creates a view without any reads.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Whether the engine has been read and is not down.
    #[must_use]
    pub const fn is_healthy(&self) -> bool {
        self.boot_id.is_some() && self.failures < DOWN_AFTER_FAILURES
    }

    /// Records a successful read that was sent at `asked_at`. Returns whether the engine
    /// has restarted since the previous read.
    pub fn record_success(&mut self, asked_at: MonoTime, boot_id: u64, fence: Option<u64>) -> bool {
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

    /// Records a failed read. Returns true for the failure at which the engine starts to
    /// count as down.
    pub const fn record_failure(&mut self, now: MonoTime) -> bool {
        self.failures += 1;
        self.last_failed_at = Some(now);
        self.failures == DOWN_AFTER_FAILURES
    }

    /// Raises the fencing token, so that an earlier order without an answer can no longer
    /// take effect on an engine that checks the token.
    pub const fn raise_fence(&mut self) {
        self.fence += 1;
    }

    /// Records that all in-flight requests of an engine process were in flight at its
    /// crash. Returns the reports that are new.
    pub fn record_crash(&mut self, now: MonoTime, crash: u64, boot_id: u64) -> Vec<CrashReport> {
        let in_flight = self.in_flight.values();
        let reports: Vec<CrashReport> = in_flight
            .filter(|run| run.boot_id == boot_id)
            .map(|run| CrashReport {
                fingerprint: run.fingerprint,
                crash,
            })
            .collect();
        let new_reports: Vec<CrashReport> = reports
            .into_iter()
            .filter(|report| !self.crashes.iter().any(|(known, _)| known == report))
            .collect();
        self.crashes
            .extend(new_reports.iter().map(|report| (*report, now)));
        new_reports
    }

    /// Returns the crashes to report, and drops expired and excess ones.
    pub fn recent_crashes(&mut self, now: MonoTime) -> Vec<CrashReport> {
        self.crashes
            .retain(|(_, at)| now.millis_since(*at) < CRASH_RETENTION_MS);
        let excess = self.crashes.len().saturating_sub(MAX_CRASHES);
        self.crashes.drain(..excess);
        self.crashes.iter().map(|(report, _)| *report).collect()
    }

    /// Determines from the reads since `since` whether a request lost its connection
    /// because the engine crashed.
    #[must_use]
    pub fn verdict(&self, instance: &InstanceName, boot_id: u64, since: MonoTime) -> CrashVerdict {
        let crash = CrashVerdict::Crashed(crash_id(instance, boot_id));
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

    /// Tells requests that make no progress and that the engine no longer lists, that their
    /// answer is lost.
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
