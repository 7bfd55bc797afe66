//! Calls for changes that may hang, and word from others that there are some.

use std::cell::Cell;

use crate::daemon::WakeSignal;
use crate::prelude::*;

/// Milliseconds before the same version leads to another call; a slow platform answers within.
const REPEAT_MS: u64 = 3_000;

/// Follows how far the configuration has been read, here and elsewhere.
#[derive(Debug, Default)]
pub struct FeedWatch {
    /// Version of the configuration in force.
    version: Cell<u64>,
    /// Version that led to the newest call anew, and when.
    hinted: Cell<(u64, MonoTime)>,
    /// Has the configuration read anew.
    pub catalog: WakeSignal,
    /// Has the list of upstreams read anew.
    pub roster: WakeSignal,
}

impl FeedWatch {
    /// Version of the configuration in force.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version.get()
    }

    /// Notes a configuration that came into force.
    pub fn note_catalog(&self, version: u64) {
        self.version.set(version);
    }

    /// Takes word of the version in force at another process. Returns whether a call anew is
    /// due, and has it made.
    pub fn note_remote_version(&self, now: MonoTime, version: u64) -> bool {
        let (hinted, at) = self.hinted.get();
        let is_repeat = version <= hinted && now.millis_since(at) < REPEAT_MS;
        if version <= self.version.get() || is_repeat {
            return false;
        }
        self.hinted.set((version, now));
        self.catalog.notify();
        true
    }

    /// Has both read anew, because the platform is back.
    pub fn refetch(&self) {
        self.catalog.notify();
        self.roster.notify();
    }
}
