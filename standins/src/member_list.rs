//! The platform's list of instances; what is read lags behind what is set.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

use quetzalpin::membership::MemberEntry;

/// A list whose readers see it as it was some time ago.
#[derive(Debug, Default)]
pub struct MemberList {
    versions: RefCell<VecDeque<(Instant, Vec<MemberEntry>)>>,
    lag: Cell<Duration>,
    is_frozen: Cell<bool>,
}

impl MemberList {
    /// Sets the lag.
    pub fn set_lag(&self, lag: Duration) {
        self.lag.set(lag);
    }

    /// Freezes what readers see, or lets it go on.
    pub fn set_frozen(&self, is_frozen: bool) {
        self.is_frozen.set(is_frozen);
    }

    /// Changes the list.
    pub fn update(&self, change: impl FnOnce(&mut Vec<MemberEntry>)) {
        let mut versions = self.versions.borrow_mut();
        let mut members = versions.back().map_or_else(Vec::new, |(_, m)| m.clone());
        change(&mut members);
        versions.push_back((Instant::now(), members));
    }

    /// What a reader sees.
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
