//! An engine's prompt cache, and the events that it publishes late and with gaps.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Prefixes that the cache holds.
const MAX_CACHED_PREFIXES: usize = 64;

/// Characters of a prompt that make its prefix.
const PREFIX_CHARS: usize = 64;

/// One in so many events is never published.
const UNPUBLISHED_EVENT_INTERVAL: u64 = 7;

/// Events kept for readers.
const MAX_KEPT_EVENTS: usize = 1_024;

/// A change of the cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Rises by one with each change; gaps show as missing numbers.
    pub sequence: u64,
    /// The prefix.
    pub prefix: String,
    /// False once evicted.
    pub is_cached: bool,
}

/// Prefixes in memory, least recently used first, with the events of their changes.
#[derive(Debug, Default)]
pub struct PrefixCache {
    prefixes: VecDeque<String>,
    events: VecDeque<(Instant, CacheEvent)>,
    sequence: u64,
}

impl PrefixCache {
    /// Uses a prompt's prefix; returns whether it was cached.
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

    /// Forgets everything, as a crash does; no events tell of it.
    pub fn clear(&mut self) {
        self.prefixes.clear();
    }

    /// Events after a sequence that are at least `lag` old.
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
