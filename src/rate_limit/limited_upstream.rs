//! Tokens of one limited upstream, and the requests that wait for them.

use std::collections::VecDeque;

use super::{RequestRate, TokenQueue, send_rate_per_s};
use crate::prelude::*;
use crate::time::RateMeter;

/// Milliseconds for which a token may be used; the planner counts on it when it issues the next.
const TOKEN_TTL_MS: u64 = 800;

/// Time in milliseconds for which tokens are requested ahead; longer than the pause between reports.
const LOOKAHEAD_MS: f64 = 600.0;

/// Time constant in milliseconds of the average rate of requests.
const DEMAND_WINDOW_MS: f64 = 2_000.0;

/// Time constant in milliseconds of the average rate of tokens granted.
const GRANT_WINDOW_MS: f64 = 4_000.0;

/// Part of its equal share of a limit that an entry uses while no planner grants tokens and none
/// granted any before, as a divisor. It may be one of many entries that have just started.
const UNKNOWN_SHARE_DIVISOR: f64 = 4.0;

/// Position of a request among those that wait for the same upstream: by rank, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitTurn {
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Arrival time.
    pub arrived_at: MonoTime,
}

/// Sends at a fixed rate while no planner grants tokens.
#[derive(Debug, Clone, Copy)]
struct SendPace {
    per_s: f64,
    next_at: MonoTime,
}

/// Token state of one limited upstream.
#[derive(Debug)]
pub(super) struct LimitedUpstream {
    pub limit: RequestRate,
    /// When each unused token expires, earliest first.
    tokens: VecDeque<MonoTime>,
    /// Tokens that expired unused since the last report.
    returned: u32,
    /// Requests that were sent, or refused for lack of a token.
    demand: RateMeter,
    grants: RateMeter,
    /// `None` while a planner grants tokens.
    pace: Option<SendPace>,
    waiting: Vec<WaitTurn>,
    /// Tokens that other entries waited for when the planner last answered.
    queue: TokenQueue,
}

impl LimitedUpstream {
    pub fn open(limit: RequestRate) -> Self {
        Self {
            limit,
            tokens: VecDeque::new(),
            returned: 0,
            demand: RateMeter::open(DEMAND_WINDOW_MS),
            grants: RateMeter::open(GRANT_WINDOW_MS),
            pace: None,
            waiting: Vec::new(),
            queue: TokenQueue::default(),
        }
    }

    /// Adds tokens that the planner granted.
    pub fn grant(&mut self, now: MonoTime, count: u32, queue: TokenQueue) {
        self.queue = queue;
        let expires_at = now + TOKEN_TTL_MS;
        self.tokens.extend((0..count).map(|_| expires_at));
        self.grants.record(now, count);
    }

    /// Whether a request may be sent now: there is a token left after those that more urgent
    /// waiting requests will use.
    pub fn may_send(&self, now: MonoTime, turn: WaitTurn) -> bool {
        let unexpired = self.tokens.iter().filter(|expires_at| now < **expires_at);
        let is_paced_in = self.pace.is_some_and(|pace| now >= pace.next_at);
        unexpired.count() + usize::from(is_paced_in) > self.ahead(turn)
    }

    /// Spends a token. Returns `false` if none is left.
    pub fn take(&mut self, now: MonoTime) -> bool {
        self.drop_expired(now);
        let is_taken = self.tokens.pop_front().is_some() || self.take_paced(now);
        if is_taken {
            self.demand.record(now, 1);
        }
        is_taken
    }

    fn take_paced(&mut self, now: MonoTime) -> bool {
        let Some(pace) = self.pace.as_mut().filter(|pace| now >= pace.next_at) else {
            return false;
        };
        pace.next_at = now + interval_ms(pace.per_s);
        true
    }

    /// Goes on without a planner, at the rate at which tokens were granted before. The first
    /// request waits for a random part of its interval, so that entries do not send together.
    pub fn begin_pace(&mut self, now: MonoTime, entry_count: u32) {
        if self.pace.is_some() {
            return;
        }
        let share = send_rate_per_s(self.limit) / f64::from(entry_count);
        let per_s = self.grants.per_s(now).max(share / UNKNOWN_SHARE_DIVISOR);
        let next_at = now + fastrand::u64(..=interval_ms(per_s));
        self.pace = Some(SendPace { per_s, next_at });
    }

    /// Stops sending without tokens.
    pub const fn end_pace(&mut self) {
        self.pace = None;
    }

    /// Milliseconds until a request can be sent, after those that wait here and elsewhere.
    pub fn forecast_ms(&self, turn: WaitTurn) -> u64 {
        let own = u32::try_from(self.ahead(turn)).map_or(u32::MAX, |ahead| ahead + 1);
        let (per_s, others) = match self.pace {
            Some(pace) => (pace.per_s, 0),
            None => (send_rate_per_s(self.limit), self.queue.ahead_of(own)),
        };
        interval_ms(per_s / f64::from(own + others))
    }

    /// Counts a request that was refused because no token would come in time.
    pub fn record_refused(&mut self, now: MonoTime) {
        self.demand.record(now, 1);
    }

    /// Number of requests that wait.
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Further tokens that will be used until the next report, beyond those in hand.
    pub fn expected(&self, now: MonoTime) -> u32 {
        let unused = u32::try_from(self.tokens.len()).unwrap_or(u32::MAX);
        // The rate is small and not negative.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let expected = (self.demand.per_s(now) * LOOKAHEAD_MS / 1_000.0).round() as u32;
        expected.saturating_sub(unused)
    }

    /// Removes expired tokens, and returns the number of those that expired since the last call.
    pub fn take_returned(&mut self, now: MonoTime) -> u32 {
        self.drop_expired(now);
        std::mem::take(&mut self.returned)
    }

    pub fn begin_wait(&mut self, turn: WaitTurn) {
        self.waiting.push(turn);
    }

    pub fn end_wait(&mut self, turn: WaitTurn) {
        if let Some(position) = self.waiting.iter().position(|known| *known == turn) {
            self.waiting.swap_remove(position);
        }
    }

    fn ahead(&self, turn: WaitTurn) -> usize {
        self.waiting.iter().filter(|other| **other < turn).count()
    }

    fn drop_expired(&mut self, now: MonoTime) {
        while self.tokens.front().is_some_and(|at| now >= *at) {
            self.tokens.pop_front();
            self.returned += 1;
        }
    }
}

/// Milliseconds between two requests at a rate above zero.
// The rate is far from zero, so that the quotient fits.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn interval_ms(per_s: f64) -> u64 {
    (1_000.0 / per_s).ceil() as u64
}
