//! Keeps an entry's requests to limited upstreams within the tokens that the planner granted.

use slotmap::SecondaryMap;

use super::limited_upstream::LimitedUpstream;
use super::{LimitHearing, RequestRate, TokenQueue, WaitTurn};
use crate::fleet::UpstreamKey;
use crate::prelude::*;

/// Milliseconds without an answer of a planner after which an entry sends without tokens.
const PLANNER_SILENCE_MS: u64 = 1_500;

/// Milliseconds for which an entry reports a limit that it has not heard of again, or its end.
const REPORTED_HEARING_MS: u64 = 3_000;

/// Number of entries assumed until the planner tells it.
const ASSUMED_ENTRIES: u32 = 12;

/// Latest word of an upstream on its rate limit.
#[derive(Debug, Clone, Copy)]
struct HeardLimit {
    limit: Option<RequestRate>,
    heard_at: MonoTime,
    /// When the last limit ended; `None` if there was none.
    ended_at: Option<MonoTime>,
}

impl HeardLimit {
    /// Whether the planner should hear of it: it named a limit, or ended one, a short while ago.
    fn is_news(&self, now: MonoTime) -> bool {
        let told_at = self.limit.map(|_| self.heard_at).or(self.ended_at);
        told_at.is_some_and(|at| now.millis_since(at) < REPORTED_HEARING_MS)
    }
}

/// Tokens that an entry needs for one limited upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenNeed {
    /// The upstream.
    pub key: UpstreamKey,
    /// What the entry knows of the limit.
    pub hearing: LimitHearing,
    /// Requests that wait for a token.
    pub waiting: u32,
    /// Further requests that the entry expects until its next report.
    pub expected: u32,
    /// Tokens that expired unused.
    pub returned: u32,
}

/// Tracks the rate limits that upstreams name, and the tokens for them.
#[derive(Debug)]
pub struct RateLimiter {
    /// Of every upstream that has answered.
    heard: SecondaryMap<UpstreamKey, HeardLimit>,
    /// Exactly the upstreams whose latest word is a limit.
    limited: SecondaryMap<UpstreamKey, LimitedUpstream>,
    /// Time of the planner's last answer.
    answered_at: MonoTime,
    /// Number of entries that share the limits; above zero.
    entry_count: u32,
}

impl RateLimiter {
    /// Creates a limiter that knows no limits.
    #[must_use]
    pub fn open() -> Self {
        Self {
            heard: SecondaryMap::new(),
            limited: SecondaryMap::new(),
            answered_at: MonoTime::default(),
            entry_count: ASSUMED_ENTRIES,
        }
    }

    /// Records the limit in an answer; an answer without one ends it. Returns whether the limit has
    /// changed.
    pub fn record_answer(
        &mut self,
        now: MonoTime,
        key: UpstreamKey,
        limit: Option<RequestRate>,
    ) -> bool {
        let word = self.heard.get(key).copied();
        let known = word.and_then(|word| word.limit);
        let ended_at = word.and_then(|word| word.ended_at);
        let word = HeardLimit {
            limit,
            heard_at: now,
            ended_at: known.map_or(ended_at, |_| Some(now)),
        };
        self.heard.insert(key, word);
        match limit {
            Some(limit) => self.set_limit(key, limit),
            None if known.is_some() => {
                self.limited.remove(key);
            }
            None => {}
        }
        known != limit
    }

    /// Applies what another entry has heard of a limit, unless this one heard of it later. Returns
    /// whether the limit has changed.
    pub fn adopt(&mut self, now: MonoTime, key: UpstreamKey, hearing: LimitHearing) -> bool {
        let heard_at = now - hearing.age_ms;
        let is_known = |known: &HeardLimit| known.heard_at >= heard_at;
        if self.heard.get(key).is_some_and(is_known) {
            return false;
        }
        self.record_answer(heard_at, key, hearing.limit)
    }

    /// Records that a planner answered, and the number of entries that report to it.
    pub fn record_planner_answer(&mut self, now: MonoTime, entry_count: u32) {
        self.answered_at = now;
        self.entry_count = entry_count.max(1);
        for upstream in self.limited.values_mut() {
            upstream.end_pace();
        }
    }

    /// Lets requests through without tokens if no planner answers.
    pub fn advance(&mut self, now: MonoTime) {
        if now.millis_since(self.answered_at) < PLANNER_SILENCE_MS {
            return;
        }
        for upstream in self.limited.values_mut() {
            upstream.begin_pace(now, self.entry_count);
        }
    }

    /// Adds tokens that the planner granted; other entries wait for `queue`.
    pub fn grant(&mut self, now: MonoTime, key: UpstreamKey, count: u32, queue: TokenQueue) {
        if let Some(upstream) = self.limited.get_mut(key) {
            upstream.grant(now, count, queue);
        }
    }

    /// The limit of an upstream; `None` without one.
    #[must_use]
    pub fn limit(&self, key: UpstreamKey) -> Option<RequestRate> {
        self.limited.get(key).map(|upstream| upstream.limit)
    }

    /// Milliseconds since an answer named or ended the limit; `None` without any answer.
    #[must_use]
    pub fn age_ms(&self, now: MonoTime, key: UpstreamKey) -> Option<u64> {
        let word = self.heard.get(key)?;
        Some(now.millis_since(word.heard_at))
    }

    /// Whether a request may be sent to an upstream now.
    #[must_use]
    pub fn may_send(&self, now: MonoTime, key: UpstreamKey, turn: WaitTurn) -> bool {
        let upstream = self.limited.get(key);
        upstream.is_none_or(|upstream| upstream.may_send(now, turn))
    }

    /// Counts a request to an upstream. Returns `false` if its limit does not allow it now.
    pub fn take(&mut self, now: MonoTime, key: UpstreamKey) -> bool {
        let upstream = self.limited.get_mut(key);
        upstream.is_none_or(|upstream| upstream.take(now))
    }

    /// Registers a request that waits for a token. Returns whether it is the first one.
    pub fn begin_wait(&mut self, key: UpstreamKey, turn: WaitTurn) -> bool {
        let Some(upstream) = self.limited.get_mut(key) else {
            return false;
        };
        upstream.begin_wait(turn);
        upstream.waiting() == 1
    }

    /// Removes a request that waited for a token.
    pub fn end_wait(&mut self, key: UpstreamKey, turn: WaitTurn) {
        if let Some(upstream) = self.limited.get_mut(key) {
            upstream.end_wait(turn);
        }
    }

    /// Whether requests wait for a token.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.limited.values().any(|upstream| upstream.waiting() > 0)
    }

    /// Milliseconds until a request can be sent to an upstream, as far as is known.
    #[must_use]
    pub fn forecast_ms(&self, key: UpstreamKey, turn: WaitTurn) -> u64 {
        let upstream = self.limited.get(key);
        upstream.map_or(0, |upstream| upstream.forecast_ms(turn))
    }

    /// Counts a request that was refused because its token would come too late.
    pub fn record_refused(&mut self, now: MonoTime, key: UpstreamKey) {
        if let Some(upstream) = self.limited.get_mut(key) {
            upstream.record_refused(now);
        }
    }

    /// Tokens that this entry needs, for its report to the planner. The tokens that expired are
    /// named once.
    pub fn take_needs(&mut self, now: MonoTime) -> Vec<TokenNeed> {
        let mut needs = Vec::new();
        for (key, word) in &self.heard {
            let age_ms = now.millis_since(word.heard_at);
            let mut need = TokenNeed {
                key,
                hearing: LimitHearing {
                    limit: word.limit,
                    age_ms,
                },
                waiting: 0,
                expected: 0,
                returned: 0,
            };
            if let Some(upstream) = self.limited.get_mut(key) {
                need.returned = upstream.take_returned(now);
                need.waiting = upstream.waiting();
                need.expected = upstream.expected(now);
            }
            let is_needed = need.waiting + need.expected + need.returned > 0;
            if is_needed || word.is_news(now) {
                needs.push(need);
            }
        }
        needs
    }

    /// Drops the limits of upstreams that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(UpstreamKey) -> bool) {
        self.heard.retain(|key, _| exists(key));
        self.limited.retain(|key, _| exists(key));
    }

    fn set_limit(&mut self, key: UpstreamKey, limit: RequestRate) {
        match self.limited.get_mut(key) {
            Some(upstream) => upstream.limit = limit,
            None => {
                self.limited.insert(key, LimitedUpstream::open(limit));
            }
        }
    }
}

impl Default for RateLimiter {
    fn default() -> Self {
        Self::open()
    }
}
