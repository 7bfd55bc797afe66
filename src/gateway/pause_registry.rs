//! Upstreams that want no requests from this process for a while.

use std::collections::HashMap;

use crate::fleet::UpstreamEntry;
use crate::prelude::*;

/// One start of an upstream. Unlike its key in the roster, it stays the same if the upstream is
/// dropped and listed again.
type UpstreamStart = (UpstreamId, u64);

/// When the upstreams want requests again.
#[derive(Debug, Default)]
pub struct PauseRegistry {
    ends: HashMap<UpstreamStart, MonoTime>,
}

impl PauseRegistry {
    /// Creates an empty registry.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Records that an upstream wants no requests for a time in milliseconds.
    pub fn record(&mut self, now: MonoTime, upstream: &UpstreamEntry, pause_ms: u64) {
        self.ends.retain(|_, end| now < *end);
        let end = self.ends.entry(start_of(upstream)).or_default();
        *end = (*end).max(now + pause_ms);
    }

    /// Milliseconds for which an upstream still wants no requests.
    #[must_use]
    pub fn left_ms(&self, now: MonoTime, upstream: &UpstreamEntry) -> u64 {
        if self.ends.is_empty() {
            return 0;
        }
        let end = self.ends.get(&start_of(upstream));
        end.map_or(0, |end| end.millis_since(now))
    }
}

fn start_of(upstream: &UpstreamEntry) -> UpstreamStart {
    (upstream.id.clone(), upstream.started_at_ms)
}
