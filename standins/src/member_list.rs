//! The platform's instance list; reads return stale versions.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

use quetzalpin::membership::MemberEntry;

/// Instance list whose readers see updates after a lag.
#[derive(Debug, Default)]
pub struct MemberList {
    versions: RefCell<VecDeque<(Instant, Vec<MemberEntry>)>>,
    lag: Cell<Duration>,
    is_frozen: Cell<bool>,
}

impl MemberList {
    /// Sets the time until readers see an update; 0 by default.
    pub fn set_lag(&self, lag: Duration) {
        self.lag.set(lag);
    }

    /// Sets whether readers keep seeing the same version despite updates.
    pub fn set_frozen(&self, is_frozen: bool) {
        self.is_frozen.set(is_frozen);
    }

    /// Applies a change to the latest version.
    pub fn update(&self, change: impl FnOnce(&mut Vec<MemberEntry>)) {
        let mut versions = self.versions.borrow_mut();
        let mut members = versions.back().map_or_else(Vec::new, |(_, m)| m.clone());
        change(&mut members);
        versions.push_back((Instant::now(), members));
    }

    /// The version that readers see now.
    pub fn visible(&self) -> Vec<MemberEntry> {
        let mut versions = self.versions.borrow_mut();
        if !self.is_frozen.get() {
            let lag = self.lag.get();
            while versions.len() > 1 && versions[1].0.elapsed() >= lag {
                versions.pop_front();
            }
        }
        versions.front().map_or_else(Vec::new, |(_, m)| m.clone())
    }
}
