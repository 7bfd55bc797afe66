//! Keeps a gateway's requests within the allowance of their accounts.

use std::collections::HashMap;

use super::allowance_pace::PaceShare;
use super::limited_account::LimitedAccount;
use super::{
    AccountBounds, Allowance, AllowanceGrant, AllowanceReport, PLANNER_SILENCE_MS,
    least_rate_per_s, paced_units,
};
use crate::account::{AccountDirectory, AccountLimit};
use crate::prelude::*;
use crate::rate_limit::WaitTurn;

/// Number of gateways assumed until the planner tells it.
const ASSUMED_GATEWAYS: u32 = 64;

/// Milliseconds for which a request may wait for allowance while a planner answers. A longer queue
/// serves no more requests, it only serves them later.
const LONGEST_WAIT_MS: u64 = 1_500;

/// Longest known wait of a request as a part of its target, as a divisor.
const TARGET_DIVISOR: u64 = 2;

/// Longest known wait in milliseconds for the requests ahead. The queue of an account beyond its limit
/// is always as long as requests may wait; patient ones would keep the others out.
const LONGEST_QUEUE_MS: u64 = 250;

/// Milliseconds without an answer after which no planner is expected soon.
const LOST_PLANNER_MS: u64 = 10_000;

/// A request that needs allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountWait {
    /// Rank and time of arrival.
    pub turn: WaitTurn,
    /// Distinguishes requests that arrive together.
    pub number: u64,
    /// Cost in units of the account's limit.
    pub cost: u32,
}

impl AccountWait {
    /// Position among the requests of an account.
    pub(super) const fn order(&self) -> (WaitTurn, u64) {
        (self.turn, self.number)
    }
}

/// A planner's answer to a report.
#[derive(Debug, Clone, Copy)]
pub struct PlannerAnswer<'a> {
    /// When the report was sent.
    pub sent_at: MonoTime,
    /// Number of gateways that report to the planner.
    pub gateway_count: u32,
    /// Version of the configuration that the planner has in force.
    pub version: u64,
    /// Allowance.
    pub grants: &'a [AllowanceGrant],
}

/// Tracks the allowance of the accounts that were active lately at this gateway.
#[derive(Debug)]
pub struct AccountLimiter {
    bounds: AccountBounds,
    accounts: HashMap<AccountName, LimitedAccount>,
    /// When the last report that a planner answered was sent.
    answered_at: MonoTime,
    /// Number of gateways that share the limits; above zero.
    gateway_count: u32,
    /// Whether requests are admitted without a planner; logged once.
    is_paced: bool,
    /// Whether the process shuts down; it then admits nothing without a planner.
    is_stopping: bool,
    /// Number of the last request.
    last_number: u64,
}

impl AccountLimiter {
    /// Creates a limiter without allowance.
    #[must_use]
    pub fn open(now: MonoTime, bounds: AccountBounds) -> Self {
        Self {
            bounds,
            accounts: HashMap::new(),
            answered_at: now,
            gateway_count: ASSUMED_GATEWAYS,
            is_paced: false,
            is_stopping: false,
            last_number: 0,
        }
    }

    /// Number for the next request.
    pub const fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Takes the allowance of a request; `limit` is that of its account. `None` if it has to wait.
    pub fn take(
        &mut self,
        now: MonoTime,
        account: &AccountName,
        limit: AccountLimit,
        wait: AccountWait,
    ) -> Option<Allowance> {
        if self.is_too_large(&limit, wait.cost) {
            return None;
        }
        let is_silent = self.is_silent(now);
        let share = PaceShare {
            answered_at: self.answered_at,
            least_per_s: least_rate_per_s(limit.per_s, self.gateway_count),
            saved: paced_units(self.bounds.depth(&limit), self.gateway_count),
        };
        let known = self.known(now, account, limit);
        if is_silent {
            known.begin_pace(now, share, wait);
        }
        known.take(now, wait)
    }

    /// Gives back allowance of a request that did not run.
    pub fn give_back(&mut self, account: &AccountName, allowance: Allowance) {
        if let Some(known) = self.accounts.get_mut(account) {
            known.give_back(allowance);
        }
    }

    /// Whether a request costs too much to be ever granted.
    #[must_use]
    pub fn is_too_large(&self, limit: &AccountLimit, cost: u32) -> bool {
        self.bounds.is_too_large(limit, cost)
    }

    /// Milliseconds until a request gets its allowance, as far as is known.
    #[must_use]
    pub fn forecast_ms(&self, now: MonoTime, account: &AccountName, wait: AccountWait) -> u64 {
        let known = self.accounts.get(account);
        known.map_or(0, |known| known.forecast_ms(now, wait))
    }

    /// Milliseconds for which a request may go on waiting that has waited for `waited_ms` and must be
    /// sent within `left_ms`. Without a planner it waits for the next one.
    #[must_use]
    pub fn patience_ms(&self, now: MonoTime, waited_ms: u64, left_ms: u64) -> u64 {
        if self.is_silent(now) {
            left_ms
        } else {
            left_ms.min(LONGEST_WAIT_MS.saturating_sub(waited_ms))
        }
    }

    /// Whether a forecast says that a request gets no allowance while it may wait. A forecast without a
    /// planner counts only if none is expected soon.
    #[must_use]
    pub fn is_hopeless(&self, now: MonoTime, forecast_ms: u64, patience_ms: u64) -> bool {
        let is_known =
            !self.is_silent(now) || now.millis_since(self.answered_at) >= LOST_PLANNER_MS;
        patience_ms == 0 || (is_known && forecast_ms > patience_ms)
    }

    /// Whether the planner's forecast says that a request waits too long, which has waited for
    /// `waited_ms`: over half of its target in all, or long for others that are ahead of it. `own_ms` is
    /// what its own cost takes. A request whose account has room goes on waiting.
    #[must_use]
    pub fn is_late(
        &self,
        now: MonoTime,
        waited_ms: u64,
        forecast_ms: u64,
        own_ms: u64,
        target_ms: u64,
    ) -> bool {
        let wait_ms = waited_ms + forecast_ms;
        let is_known = forecast_ms > 0 && !self.is_silent(now);
        let is_beyond_target = wait_ms > target_ms / TARGET_DIVISOR;
        is_known && (is_beyond_target || wait_ms.saturating_sub(own_ms) > LONGEST_QUEUE_MS)
    }

    /// Registers a request that waits. Returns whether it is the first one of its account.
    pub fn begin_wait(&mut self, account: &AccountName, wait: AccountWait) -> bool {
        let known = self.accounts.get_mut(account);
        known.is_some_and(|known| known.begin_wait(wait))
    }

    /// Removes a request that waited.
    pub fn end_wait(&mut self, account: &AccountName, wait: AccountWait) {
        if let Some(known) = self.accounts.get_mut(account) {
            known.end_wait(wait);
        }
    }

    /// Whether requests wait for allowance.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.accounts.values().any(LimitedAccount::has_waiting)
    }

    /// Whether no account was active lately.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Begins the shutdown: without a planner nothing is admitted.
    pub const fn begin_stop(&mut self) {
        self.is_stopping = true;
    }

    /// Applies the limits of a new version; accounts without a limit are forgotten.
    pub fn apply_limits(&mut self, version: u64, accounts: &AccountDirectory) {
        self.accounts.retain(|name, known| {
            let limit = accounts.named(name).and_then(|account| account.limit);
            let Some(limit) = limit else { return false };
            if limit != *known.limit() {
                known.set_limit(version, limit);
            }
            true
        });
    }

    /// What the planner is told. Allowance that expired is named once.
    pub fn take_report(&mut self, now: MonoTime) -> AllowanceReport {
        self.accounts.retain(|_, known| !known.is_idle(now));
        let requests = self
            .accounts
            .iter_mut()
            .filter_map(|(name, known)| known.take_request(now, name));
        let mut requests: Vec<_> = requests.collect();
        requests.sort_unstable_by(|a, b| a.account.cmp(&b.account));
        AllowanceReport {
            requests,
            is_stopping: self.is_stopping && !self.accounts.is_empty(),
        }
    }

    /// Records the answer of a planner that holds the lease.
    pub fn record_answer(&mut self, now: MonoTime, answer: &PlannerAnswer<'_>) {
        self.answered_at = self.answered_at.max(answer.sent_at);
        self.gateway_count = answer.gateway_count.max(1);
        if !self.is_silent(now) {
            self.is_paced = false;
            self.accounts
                .values_mut()
                .for_each(LimitedAccount::end_pace);
        }
        for grant in answer.grants {
            if let Some(known) = self.accounts.get_mut(&grant.account) {
                known.grant(now, answer.sent_at, answer.version, grant);
            }
        }
    }

    /// Notices that no planner answers. Returns whether that began since the last call.
    pub fn advance(&mut self, now: MonoTime) -> bool {
        let is_paced = self.is_silent(now) && !self.accounts.is_empty();
        is_paced && !std::mem::replace(&mut self.is_paced, is_paced)
    }

    /// Whether no planner answers, so that this gateway goes on by itself.
    #[must_use]
    pub const fn is_silent(&self, now: MonoTime) -> bool {
        !self.is_stopping && now.millis_since(self.answered_at) >= PLANNER_SILENCE_MS
    }

    fn known(
        &mut self,
        now: MonoTime,
        account: &AccountName,
        limit: AccountLimit,
    ) -> &mut LimitedAccount {
        let entry = self.accounts.entry(account.clone());
        entry.or_insert_with(|| LimitedAccount::open(now, limit))
    }
}
