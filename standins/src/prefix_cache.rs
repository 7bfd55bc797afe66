//! An engine's prompt cache, and the events that it publishes with a lag and with gaps.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Capacity of the cache in prefixes.
const MAX_CACHED_PREFIXES: usize = 64;

/// Number of leading characters of a prompt that form its prefix.
const PREFIX_CHARS: usize = 64;

/// Events whose sequence number is a multiple of this are never published.
const UNPUBLISHED_EVENT_INTERVAL: u64 = 7;

/// Number of events kept for readers; older ones are discarded.
const MAX_KEPT_EVENTS: usize = 1_024;

/// Insertion or eviction of a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Increases by one with each change; unpublished events show as missing numbers.
    pub sequence: u64,
    /// Prefix that was inserted or evicted.
    pub prefix: String,
    /// True if inserted, false if evicted.
    pub is_cached: bool,
}

/// LRU cache of prompt prefixes, least recently used first, with the events of its changes.
#[derive(Debug, Default)]
pub struct PrefixCache {
    prefixes: VecDeque<String>,
    events: VecDeque<(Instant, CacheEvent)>,
    sequence: u64,
}

impl PrefixCache {
    /// Looks up a prompt's prefix and makes it the most recently used, evicting the oldest one
    /// if the cache is full. Returns whether it was cached.
    pub fn touch(&mut self, prompt: &str) -> bool {
        let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
        let was_cached = self.prefixes.contains(&prefix);
        self.prefixes.retain(|known| *known != prefix);
        self.prefixes.push_back(prefix.clone());
        if !was_cached {
            self.record_event(prefix, true);
        }
        if self.prefixes.len() > MAX_CACHED_PREFIXES
            && let Some(evicted) = self.prefixes.pop_front()
        {
            self.record_event(evicted, false);
        }
        was_cached
    }

    /// Removes all prefixes, as a crash does, without publishing events.
    pub fn clear(&mut self) {
        self.prefixes.clear();
    }

    /// Published events with a higher sequence number that are at least `lag` old.
    #[must_use]
    pub fn events_after(&self, sequence: u64, lag: Duration) -> Vec<CacheEvent> {
        let published = self.events.iter().filter(|(at, _)| at.elapsed() >= lag);
        published
            .map(|(_, event)| event)
            .filter(|event| event.sequence > sequence)
            .cloned()
            .collect()
    }

    fn record_event(&mut self, prefix: String, is_cached: bool) {
        self.sequence += 1;
        if self.sequence.is_multiple_of(UNPUBLISHED_EVENT_INTERVAL) {
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            prefix,
            is_cached,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
