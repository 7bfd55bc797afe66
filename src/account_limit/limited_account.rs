//! Allowance of one account at a gateway, and the requests that wait for it.

use super::allowance_lease::LeasedUnits;
use super::allowance_pace::{AllowancePace, PaceShare};
use super::{
    AccountWait, Allowance, AllowanceGrant, AllowanceRequest, LEASE_MS, WaitingCost, decay,
    whole_ms, whole_units,
};
use crate::account::AccountLimit;
use crate::prelude::*;
use crate::time::RateMeter;

/// Time in seconds for which allowance is requested ahead: the pause between reports and the way of
/// an answer from another region.
const LOOKAHEAD_S: f64 = 0.65;

/// Allowance requested ahead, as a multiple of the average need in that time.
const LOOKAHEAD_FACTOR: f64 = 1.25;

/// Time constant in milliseconds of the average need.
const DEMAND_WINDOW_MS: f64 = 2_000.0;

/// Number of waiting requests that a report lists. The planner serves few more in the time between two
/// reports.
const LISTED_REQUESTS: usize = 24;

/// Milliseconds after its last use for which an account is kept.
const IDLE_MS: u64 = 10_000;

/// State of one account at a gateway.
#[derive(Debug)]
pub(super) struct LimitedAccount {
    limit: AccountLimit,
    leases: LeasedUnits,
    /// In the order in which requests are served.
    waiting: Vec<AccountWait>,
    /// Sum of the costs that the last report listed.
    listed_units: f64,
    /// When the planner expects to have served the listed requests.
    served_at: MonoTime,
    /// Units and requests that were admitted.
    used_units: RateMeter,
    used_requests: RateMeter,
    /// Rate in units per second that the planner named last, and when.
    told: (u32, MonoTime),
    /// `None` while a planner answers.
    pace: Option<AllowancePace>,
    /// Version of the configuration that lowered the limit, and the part that is left of it. A planner
    /// with an older version grants too much.
    lowered: Option<(u64, f64)>,
    used_at: MonoTime,
}

impl LimitedAccount {
    pub fn open(now: MonoTime, limit: AccountLimit) -> Self {
        Self {
            limit,
            leases: LeasedUnits::default(),
            waiting: Vec::new(),
            listed_units: 0.0,
            served_at: now,
            used_units: RateMeter::open(DEMAND_WINDOW_MS),
            used_requests: RateMeter::open(DEMAND_WINDOW_MS),
            told: (0, now),
            pace: None,
            lowered: None,
            used_at: now,
        }
    }

    pub const fn limit(&self) -> &AccountLimit {
        &self.limit
    }

    /// Applies the limit of a new version. What is in hand shrinks with it.
    pub fn set_limit(&mut self, version: u64, limit: AccountLimit) {
        let part = limit.per_s / self.limit.per_s;
        self.limit = limit;
        if part >= 1.0 {
            return;
        }
        let before = self.lowered.map_or(1.0, |(_, part)| part);
        self.lowered = Some((version, before * part));
        self.leases.scale(part);
        self.told.0 = whole_units(f64::from(self.told.0) * part);
        if let Some(pace) = &mut self.pace {
            pace.scale(part);
        }
    }

    /// Adds what a planner granted, whose report was sent at `sent_at`.
    pub fn grant(
        &mut self,
        now: MonoTime,
        sent_at: MonoTime,
        planner_version: u64,
        grant: &AllowanceGrant,
    ) {
        self.lowered = self
            .lowered
            .filter(|(version, _)| planner_version < *version);
        let part = self.lowered.map_or(1.0, |(_, part)| part);
        let units = whole_units(f64::from(grant.units) * part);
        self.leases.add(sent_at + LEASE_MS, units);
        self.leases.drop_expired(now);
        self.served_at = now + grant.wait_ms;
        self.told = (whole_units(f64::from(grant.pace_per_s) * part), now);
    }

    /// Takes the allowance of a request unless others go before it. `None` if there is too little.
    pub fn take(&mut self, now: MonoTime, wait: AccountWait) -> Option<Allowance> {
        self.leases.drop_expired(now);
        self.used_at = now;
        let ahead = self.units_ahead(wait);
        let needed = u64::from(ahead) + u64::from(wait.cost);
        let allowance = if u64::from(self.leases.held()) >= needed {
            let expires_at = self.leases.take(wait.cost);
            Some(Allowance {
                units: wait.cost,
                expires_at,
            })
        } else {
            self.take_paced(now, wait, ahead)
        }?;
        self.used_units.record(now, wait.cost);
        self.used_requests.record(now, 1);
        Some(allowance)
    }

    fn take_paced(&mut self, now: MonoTime, wait: AccountWait, ahead: u32) -> Option<Allowance> {
        let pace = self.pace.as_mut()?;
        pace.update(now, ahead.saturating_add(wait.cost));
        let is_taken = ahead == 0 && pace.take(wait.cost);
        is_taken.then_some(Allowance {
            units: wait.cost,
            expires_at: None,
        })
    }

    /// Gives back allowance that was not used.
    pub fn give_back(&mut self, allowance: Allowance) {
        match (allowance.expires_at, &mut self.pace) {
            // What has expired is dropped, and reported, before it can be taken.
            (Some(expires_at), _) => self.leases.add(expires_at, allowance.units),
            (None, Some(pace)) => pace.give_back(allowance.units),
            (None, None) => {}
        }
    }

    /// Goes on without a planner; `wait` is the request that needs allowance.
    pub fn begin_pace(&mut self, now: MonoTime, share: PaceShare, wait: AccountWait) {
        if self.pace.is_some() {
            return;
        }
        let told_age_ms = share.answered_at.millis_since(self.told.1);
        let told_per_s = f64::from(self.told.0) * decay(told_age_ms);
        let first = self.waiting.first().unwrap_or(&wait);
        self.pace = Some(AllowancePace::open(now, share, told_per_s, first.cost));
    }

    pub fn end_pace(&mut self) {
        self.pace = None;
    }

    /// Milliseconds until a request gets its allowance, as far as is known.
    pub fn forecast_ms(&self, now: MonoTime, wait: AccountWait) -> u64 {
        let needed = f64::from(self.units_ahead(wait)) + f64::from(wait.cost);
        if let Some(pace) = &self.pace {
            return whole_ms(pace.lacking(needed) / pace.per_s(now).max(1e-6));
        }
        let left_s = super::seconds_between(now, self.served_at);
        if left_s <= 0.0 {
            return 0;
        }
        let beyond = needed - self.listed_units;
        if beyond >= 0.0 {
            whole_ms(left_s + beyond / self.limit.per_s)
        } else {
            whole_ms(left_s * needed / self.listed_units)
        }
    }

    /// Registers a request that waits. Returns whether it is the first one.
    pub fn begin_wait(&mut self, wait: AccountWait) -> bool {
        let position = self
            .waiting
            .partition_point(|other| other.order() < wait.order());
        self.waiting.insert(position, wait);
        self.waiting.len() == 1
    }

    pub fn end_wait(&mut self, wait: AccountWait) {
        self.waiting.retain(|other| other.order() != wait.order());
    }

    pub const fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// The request to the planner; `None` if there is nothing to ask or to give back.
    pub fn take_request(&mut self, now: MonoTime, name: &AccountName) -> Option<AllowanceRequest> {
        self.leases.drop_expired(now);
        let waiting = self.unserved();
        let listed = waiting.iter().map(|cost| f64::from(cost.1));
        self.listed_units = listed.sum::<f64>() + f64::from(self.leases.held());
        if self.waiting.is_empty() {
            self.listed_units = 0.0;
        }
        let expected = self.expected(now, waiting.is_empty());
        let needs = !waiting.is_empty() || expected > 0;
        (needs || !self.leases.is_empty()).then(|| AllowanceRequest {
            account: name.clone(),
            waiting,
            expected,
            returned: self.leases.take_returned(),
            held: self.leases.held(),
        })
    }

    /// Whether the account was not used lately and nothing of it is in hand.
    pub fn is_idle(&self, now: MonoTime) -> bool {
        self.waiting.is_empty()
            && self.leases.is_empty()
            && now.millis_since(self.used_at) >= IDLE_MS
    }

    /// The first requests that wait for more than what is in hand.
    fn unserved(&self) -> Vec<WaitingCost> {
        let mut held = self.leases.held();
        let unserved = self.waiting.iter().filter_map(|wait| {
            if held >= wait.cost {
                held -= wait.cost;
                return None;
            }
            let lacking = wait.cost - std::mem::take(&mut held);
            Some(WaitingCost(wait.turn.rank, lacking))
        });
        unserved.take(LISTED_REQUESTS).collect()
    }

    /// Units that will be needed until the next report beyond those in hand. An account that has less
    /// than one request in that time asks when the request arrives.
    fn expected(&self, now: MonoTime, is_served: bool) -> u32 {
        let requests = self.used_requests.per_s(now) * LOOKAHEAD_S;
        if requests < 1.0 {
            return 0;
        }
        let units = self.used_units.per_s(now) * LOOKAHEAD_S;
        let ahead = units * LOOKAHEAD_FACTOR + units / requests;
        let held = if is_served { self.leases.held() } else { 0 };
        whole_units(ahead).saturating_sub(held)
    }

    fn units_ahead(&self, wait: AccountWait) -> u32 {
        let ahead = self
            .waiting
            .iter()
            .take_while(|other| other.order() < wait.order());
        ahead.fold(0, |sum, other| sum.saturating_add(other.cost))
    }
}
