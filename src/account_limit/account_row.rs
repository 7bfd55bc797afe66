//! Allowance of one account, shared among the gateways.

use std::collections::BTreeMap;

use super::account_bucket::AccountBucket;
use super::gateway_share::GatewayShare;
use super::{
    AccountBounds, AllowanceGrant, AllowanceRequest, GRANT_WINDOW_MS, WaitingCost, paced_units,
    whole_ms, whole_units,
};
use crate::account::AccountLimit;
use crate::prelude::*;
use crate::time::RateMeter;

/// Part of the rate that the gateways together may use without a planner. The rest covers their least
/// rates.
const PACED_PART: f64 = 0.75;

/// Milliseconds after its last report about the account for which a gateway's use is kept.
const SHARE_TTL_MS: u64 = 12_000;

/// Milliseconds between two notes that an account is exhausted.
const NOTE_MS: u64 = 5_000;

/// An account whose requests wait for its limit.
#[derive(Debug, Clone, PartialEq)]
pub struct ExhaustedAccount {
    /// The account.
    pub account: AccountName,
    /// Its limit in units per second.
    pub limit_per_s: f64,
    /// Units per second that were granted lately.
    pub granted_per_s: f64,
    /// Units per second that are left to gateways which do not report.
    pub reserved_per_s: f64,
    /// Units that requests at all gateways wait for.
    pub waiting_units: f64,
    /// Milliseconds until the requests of the gateway that reported last are served.
    pub wait_ms: u64,
}

/// State of one account at the planner.
#[derive(Debug)]
pub(super) struct AccountRow {
    pub bucket: AccountBucket,
    /// In a fixed order, so that simulations repeat.
    pub shares: BTreeMap<InstanceName, GatewayShare>,
    granted: RateMeter,
    /// Number of the last turn in which a gateway was served.
    turn: u64,
    pub reported_at: MonoTime,
    /// When it was last noted as exhausted; `None` if it never was.
    noted_at: Option<MonoTime>,
}

impl AccountRow {
    pub fn open(now: MonoTime, bounds: AccountBounds, limit: AccountLimit, tokens: f64) -> Self {
        Self {
            bucket: AccountBucket::open(now, bounds, limit, tokens),
            shares: BTreeMap::new(),
            granted: RateMeter::open(GRANT_WINDOW_MS),
            turn: 0,
            reported_at: now,
            noted_at: None,
        }
    }

    /// A note that requests wait for the limit; `None` if there was one a short while ago.
    pub fn note_exhausted(
        &mut self,
        now: MonoTime,
        grant: &AllowanceGrant,
    ) -> Option<ExhaustedAccount> {
        let is_noted = |at: MonoTime| now.millis_since(at) < NOTE_MS;
        if grant.wait_ms == 0 || self.noted_at.is_some_and(is_noted) {
            return None;
        }
        self.noted_at = Some(now);
        let limit_per_s = self.bucket.limit().per_s;
        let shares = self.shares.values();
        Some(ExhaustedAccount {
            account: grant.account.clone(),
            limit_per_s,
            granted_per_s: self.granted.per_s(now),
            reserved_per_s: limit_per_s - self.bucket.rate_per_s(),
            waiting_units: shares.map(|share| share.waiting_units).sum(),
            wait_ms: grant.wait_ms,
        })
    }

    /// Records a gateway's request and returns what it gets. `is_first` says whether the gateway has
    /// not reported to this planner before.
    pub fn exchange(
        &mut self,
        now: MonoTime,
        gateway: &InstanceName,
        request: &AllowanceRequest,
        is_first: bool,
    ) -> AllowanceGrant {
        self.reported_at = now;
        self.refill(now);
        if is_first {
            self.bucket.charge(request.held);
        } else {
            let assigned = self.assigned();
            self.bucket.add(f64::from(request.returned), assigned);
        }
        let share = self.shares.entry(gateway.clone());
        let share = share.or_insert_with(|| GatewayShare::open(now));
        let bucket = &self.bucket;
        let grantable = request.waiting.iter().copied();
        share.set_waiting(now, grantable.filter(|cost| !bucket.is_too_large(cost.1)));
        self.assign(now);
        self.grant(now, gateway, request)
    }

    /// Adds what the rate gives and what was set apart in vain.
    pub fn refill(&mut self, now: MonoTime) {
        let shares = self.shares.values_mut();
        let expired: u32 = shares.map(|share| share.take_expired(now)).sum();
        let assigned = self.assigned();
        self.bucket.refill(now, assigned);
        self.bucket.add(f64::from(expired), assigned);
    }

    /// Charges what a gateway may have used at once without the planner.
    pub fn charge_paced(&mut self, gateway_count: u32) {
        let units = paced_units(self.bucket.depth(), gateway_count);
        self.bucket.charge(whole_units(units.ceil()));
    }

    /// Drops what is known of gateways that no longer use the account.
    pub fn drop_idle(&mut self, now: MonoTime) {
        self.shares
            .retain(|_, share| now.millis_since(share.reported_at) < SHARE_TTL_MS);
    }

    fn assigned(&self) -> u32 {
        self.shares.values().map(GatewayShare::assigned).sum()
    }

    /// Serves waiting requests by rank; gateways with requests of one rank are served in turn. A
    /// request that costs much is not passed over, since it would never get its allowance.
    fn assign(&mut self, now: MonoTime) {
        loop {
            let waiting = self.shares.values_mut().filter_map(|share| {
                let WaitingCost(rank, cost) = share.first(now)?;
                Some(((rank, share.served_turn), cost, share))
            });
            let next = waiting.min_by_key(|(order, _, _)| *order);
            let Some((_, cost, share)) = next else { return };
            if !self.bucket.take(cost) {
                return;
            }
            self.turn += 1;
            share.assign_first(now, self.turn);
        }
    }

    fn grant(
        &mut self,
        now: MonoTime,
        gateway: &InstanceName,
        request: &AllowanceRequest,
    ) -> AllowanceGrant {
        let is_short = self.shares.values().any(|share| share.first(now).is_some());
        let ahead = if is_short {
            0
        } else {
            self.bucket.take_spare(request.expected)
        };
        let wait_ms = self.wait_ms(now, gateway);
        let mut grant = AllowanceGrant {
            account: request.account.clone(),
            units: ahead,
            wait_ms,
            pace_per_s: 0,
        };
        let rate_per_s = self.bucket.limit().per_s;
        let Some(share) = self.shares.get_mut(gateway) else {
            return grant;
        };
        grant.units += share.take_assigned();
        if grant.units > 0 {
            share.granted.record(now, grant.units);
            self.granted.record(now, grant.units);
            self.bucket.record_granted(now, grant.units);
        }
        let all_per_s = self.granted.per_s(now).max(f64::MIN_POSITIVE);
        let part = (PACED_PART * rate_per_s / all_per_s).min(1.0);
        grant.pace_per_s = whole_units(share.granted.per_s(now) * part);
        if grant.is_news() {
            share.tell(now, grant.pace_per_s);
        }
        grant
    }

    /// Milliseconds until the requests that wait at a gateway are served: gateways are served in turn.
    fn wait_ms(&self, now: MonoTime, gateway: &InstanceName) -> u64 {
        let Some(own) = self.shares.get(gateway) else {
            return 0;
        };
        if own.first(now).is_none() {
            return 0;
        }
        let live = self
            .shares
            .values()
            .filter(|share| share.first(now).is_some());
        let ahead: f64 = live
            .map(|share| share.waiting_units.min(own.waiting_units))
            .sum();
        let rate_per_s = self.bucket.rate_per_s().max(1e-6);
        whole_ms(self.bucket.lacking_for_queue(ahead) / rate_per_s).max(1)
    }
}
