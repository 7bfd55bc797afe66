//! Request rate limits of upstreams, as this process has heard of them.

use slotmap::SecondaryMap;

use super::RequestRate;
use crate::fleet::UpstreamKey;
use crate::prelude::*;

/// Latest word of an upstream on its rate limit.
#[derive(Debug, Clone, Copy)]
struct LimitHearing {
    limit: Option<RequestRate>,
    heard_at: MonoTime,
}

/// Tracks the rate limits that upstreams name in their answers.
#[derive(Debug, Default)]
pub struct RateLimiter {
    hearings: SecondaryMap<UpstreamKey, LimitHearing>,
}

impl RateLimiter {
    /// Creates a limiter that knows no limits.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Records the limit in an answer; an answer without one ends it. Returns whether the limit has
    /// changed.
    pub fn record_answer(
        &mut self,
        now: MonoTime,
        key: UpstreamKey,
        limit: Option<RequestRate>,
    ) -> bool {
        let hearing = LimitHearing {
            limit,
            heard_at: now,
        };
        let known = self.hearings.insert(key, hearing);
        known.and_then(|known| known.limit) != limit
    }

    /// The limit of an upstream; `None` without one.
    #[must_use]
    pub fn limit(&self, key: UpstreamKey) -> Option<RequestRate> {
        self.hearings.get(key)?.limit
    }

    /// Milliseconds since the upstream last named or ended its limit; `None` if it never answered.
    #[must_use]
    pub fn age_ms(&self, now: MonoTime, key: UpstreamKey) -> Option<u64> {
        let hearing = self.hearings.get(key)?;
        Some(now.millis_since(hearing.heard_at))
    }

    /// Drops the limits of upstreams that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(UpstreamKey) -> bool) {
        self.hearings.retain(|key, _| exists(key));
    }
}
