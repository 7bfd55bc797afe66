//! Detects a hanging configuration watch by the versions that other processes report.

use std::cell::Cell;

use crate::daemon::WakeSignal;
use crate::prelude::*;

/// Milliseconds before the same version triggers another refetch; a slow platform answers within
/// this time.
const REPEAT_DELAY_MS: u64 = 3_000;

/// Compares the configuration version in force with those of other processes.
#[derive(Debug, Default)]
pub struct FeedWatch {
    /// Version of the configuration in force.
    version: Cell<u64>,
    /// Version that triggered the latest refetch, and its time.
    last_refetch: Cell<(u64, MonoTime)>,
    /// Notified to refetch the configuration.
    pub catalog: WakeSignal,
    /// Notified to refetch the upstream list.
    pub roster: WakeSignal,
}

impl FeedWatch {
    /// Version of the configuration in force.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version.get()
    }

    /// Records the version of the configuration in force.
    pub fn record_catalog(&self, version: u64) {
        self.version.set(version);
    }

    /// Records the version in force at another process. Triggers a refetch if it is newer, and
    /// returns whether it did.
    pub fn record_remote_version(&self, now: MonoTime, version: u64) -> bool {
        let (requested, at) = self.last_refetch.get();
        let is_repeat = version <= requested && now.millis_since(at) < REPEAT_DELAY_MS;
        if version <= self.version.get() || is_repeat {
            return false;
        }
        self.last_refetch.set((version, now));
        self.catalog.notify();
        true
    }

    /// Triggers a refetch of both feeds, because the platform is reachable again.
    pub fn refetch(&self) {
        self.catalog.notify();
        self.roster.notify();
    }
}
