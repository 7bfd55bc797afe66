//! Tokens of one limited upstream, shared among the entries.

use std::collections::{HashMap, VecDeque};

use super::{LimitHearing, RequestRate, TokenQueue, TokenRequest, send_rate_per_s};
use crate::prelude::*;

/// Time in milliseconds whose tokens are saved while no entry requests any.
const SAVED_MS: f64 = 600.0;

/// Milliseconds for which a token is kept for an entry that waits for it; longer than the pause
/// between its reports.
const ASSIGNED_TTL_MS: u64 = 700;

/// Milliseconds after its last report for which an entry counts as waiting.
const WAITING_TTL_MS: u64 = 1_200;

/// An entry with requests that wait for tokens.
#[derive(Debug)]
struct WaitingEntry {
    entry: InstanceName,
    /// Tokens that it lacks; above zero.
    lacking: u32,
    reported_at: MonoTime,
}

/// Tokens of one limited upstream. Waiting entries get one token each in turn; what is left goes to
/// entries that expect requests.
#[derive(Debug)]
pub(super) struct TokenRow {
    pub started_at_ms: u64,
    limit: Option<RequestRate>,
    heard_at: MonoTime,
    /// When the limit was last named with another value, or ended.
    pub changed_at: MonoTime,
    pub reported_at: MonoTime,
    tokens: f64,
    refilled_at: MonoTime,
    waiting: VecDeque<WaitingEntry>,
    /// Tokens that waiting entries get with their next report, and when the first one was assigned.
    assigned: HashMap<InstanceName, (u32, MonoTime)>,
}

impl TokenRow {
    pub fn open(now: MonoTime, request: &TokenRequest) -> Self {
        Self {
            started_at_ms: request.started_at_ms,
            limit: request.hearing.limit,
            heard_at: now - request.hearing.age_ms,
            changed_at: now,
            reported_at: now,
            tokens: 1.0,
            refilled_at: now,
            waiting: VecDeque::new(),
            assigned: HashMap::new(),
        }
    }

    /// The limit; `None` once it has ended.
    pub const fn limit(&self) -> Option<RequestRate> {
        self.limit
    }

    /// The newest word on the limit.
    pub fn hearing(&self, now: MonoTime) -> LimitHearing {
        LimitHearing {
            limit: self.limit,
            age_ms: now.millis_since(self.heard_at),
        }
    }

    /// Records an entry's report and returns the number of tokens that it gets.
    pub fn exchange(&mut self, now: MonoTime, entry: &InstanceName, request: &TokenRequest) -> u32 {
        self.reported_at = now;
        self.hear(now, request.hearing);
        self.refill(now);
        self.add_tokens(f64::from(request.returned));
        self.expire(now);
        self.set_waiting(now, entry, request.waiting);
        self.assign(now);
        let assigned = self.assigned.remove(entry).map_or(0, |(count, _)| count);
        assigned + self.take_spare(request.expected)
    }

    /// Tokens that entries other than `entry` wait for.
    pub fn queue_besides(&self, entry: &InstanceName) -> TokenQueue {
        let others = self.waiting.iter().filter(|known| known.entry != *entry);
        others.fold(TokenQueue::default(), |queue, waiting| TokenQueue {
            entries: queue.entries + 1,
            tokens: queue.tokens + waiting.lacking,
        })
    }

    fn hear(&mut self, now: MonoTime, hearing: LimitHearing) {
        let heard_at = now - hearing.age_ms;
        if heard_at <= self.heard_at {
            return;
        }
        self.heard_at = heard_at;
        if self.limit != hearing.limit {
            self.limit = hearing.limit;
            self.changed_at = now;
        }
    }

    fn refill(&mut self, now: MonoTime) {
        let Some(limit) = self.limit else { return };
        #[allow(clippy::cast_precision_loss)]
        let elapsed_s = now.millis_since(self.refilled_at) as f64 / 1_000.0;
        self.refilled_at = now;
        self.add_tokens(send_rate_per_s(limit) * elapsed_s);
    }

    /// Adds tokens up to what may be saved, which is at least one.
    fn add_tokens(&mut self, count: f64) {
        let per_s = self.limit.map_or(0.0, send_rate_per_s);
        let most = (per_s * SAVED_MS / 1_000.0).max(1.0);
        self.tokens = (self.tokens + count).min(most.max(self.tokens));
    }

    /// Takes tokens back from entries that did not report again, and drops these.
    fn expire(&mut self, now: MonoTime) {
        let is_expired = |at: MonoTime| now.millis_since(at) >= ASSIGNED_TTL_MS;
        let expired: u32 = self
            .assigned
            .extract_if(|_, (_, at)| is_expired(*at))
            .map(|(_, (count, _))| count)
            .sum();
        self.add_tokens(f64::from(expired));
        self.waiting
            .retain(|waiting| now.millis_since(waiting.reported_at) < WAITING_TTL_MS);
    }

    /// Sets the number of tokens that an entry lacks; an entry that already waits keeps its turn.
    fn set_waiting(&mut self, now: MonoTime, entry: &InstanceName, waiting: u32) {
        let assigned = self.assigned.get(entry).map_or(0, |(count, _)| *count);
        let lacking = waiting.saturating_sub(assigned);
        let known = self.waiting.iter_mut().find(|known| known.entry == *entry);
        match known {
            Some(known) => {
                known.lacking = lacking;
                known.reported_at = now;
            }
            None => self.waiting.push_back(WaitingEntry {
                entry: entry.clone(),
                lacking,
                reported_at: now,
            }),
        }
        self.waiting.retain(|known| known.lacking > 0);
    }

    /// Assigns whole tokens to waiting entries, one each in turn.
    fn assign(&mut self, now: MonoTime) {
        while self.tokens >= 1.0 {
            let Some(mut next) = self.waiting.pop_front() else {
                return;
            };
            self.tokens -= 1.0;
            let assigned = self.assigned.entry(next.entry.clone()).or_insert((0, now));
            assigned.0 += 1;
            next.lacking -= 1;
            if next.lacking > 0 {
                self.waiting.push_back(next);
            }
        }
    }

    /// Takes up to `expected` tokens that no waiting entry needs.
    fn take_spare(&mut self, expected: u32) -> u32 {
        // The number of tokens is small and not negative.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let whole = self.tokens as u32;
        let count = expected.min(whole);
        self.tokens -= f64::from(count);
        count
    }
}
