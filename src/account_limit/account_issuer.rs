//! Leases the limits of accounts to the gateways.

use std::collections::BTreeMap;

use super::account_row::AccountRow;
use super::{
    AccountBounds, AllowanceGrant, AllowanceReport, AllowanceRequest, ExhaustedAccount,
    PLANNER_SILENCE_MS, RESERVE_END_MS, least_rate_per_s, seconds_between,
};
use crate::account::{AccountDirectory, AccountLimit};
use crate::prelude::*;

/// Milliseconds between two counts of the gateways that do not report.
const SILENCE_CHECK_MS: u64 = 200;

/// Milliseconds after its last report for which a gateway is known: so long its least rate is left to
/// it.
const GATEWAY_TTL_MS: u64 = 60_000;

/// Milliseconds after its last report for which a gateway counts for the equal shares. The same time
/// counts for the number of gateways that the planner tells them.
const COUNTED_MS: u64 = 3_000;

/// Milliseconds without a report about an account after which it is forgotten once its bucket is full.
const ROW_TTL_MS: u64 = 12_000;

/// Part of a bucket that a new planner begins with: the planner before may have granted the rest.
const FIRST_PART: f64 = 0.25;

/// A gateway that reports to the planner.
#[derive(Debug, Clone, Copy)]
struct KnownGateway {
    reported_at: MonoTime,
    /// It spends nothing without a planner.
    is_stopping: bool,
}

/// Shares the limits of accounts among the gateways, at the planner.
#[derive(Debug)]
pub struct AccountIssuer {
    bounds: AccountBounds,
    opened_at: MonoTime,
    checked_at: MonoTime,
    gateways: BTreeMap<InstanceName, KnownGateway>,
    /// Accounts that were active lately.
    rows: BTreeMap<AccountName, AccountRow>,
    /// Accounts that became exhausted since they were asked for.
    exhausted: Vec<ExhaustedAccount>,
}

impl AccountIssuer {
    /// Creates the issuer of a planner that begins now.
    #[must_use]
    pub fn open(now: MonoTime, bounds: AccountBounds) -> Self {
        Self {
            bounds,
            opened_at: now,
            checked_at: now,
            gateways: BTreeMap::new(),
            rows: BTreeMap::new(),
            exhausted: Vec::new(),
        }
    }

    /// Records a gateway's report and returns its allowance. `accounts` are those of the planner's
    /// configuration.
    pub fn exchange(
        &mut self,
        now: MonoTime,
        gateway: &InstanceName,
        report: &AllowanceReport,
        accounts: &AccountDirectory,
    ) -> Vec<AllowanceGrant> {
        if accounts.is_empty() && self.rows.is_empty() {
            return Vec::new();
        }
        let known = KnownGateway {
            reported_at: now,
            is_stopping: report.is_stopping,
        };
        let before = self.gateways.insert(gateway.clone(), known);
        // A gateway that reports again no longer spends what was reserved for it.
        let was_silent = before.is_some_and(|before| is_silent(&before, now));
        if was_silent || now.millis_since(self.checked_at) >= SILENCE_CHECK_MS {
            self.check_silence(now);
        }
        if was_silent {
            self.charge_paced(now);
        }
        let requests = report.requests.iter();
        requests
            .map(|request| self.exchange_one(now, gateway, request, accounts, before.is_none()))
            .filter(AllowanceGrant::is_news)
            .collect()
    }

    /// Accounts whose requests wait for their limits; each one at most once in some seconds.
    pub fn take_exhausted(&mut self) -> Vec<ExhaustedAccount> {
        std::mem::take(&mut self.exhausted)
    }

    /// Number of accounts that were active lately.
    #[must_use]
    pub fn active_accounts(&self) -> usize {
        self.rows.len()
    }

    fn exchange_one(
        &mut self,
        now: MonoTime,
        gateway: &InstanceName,
        request: &AllowanceRequest,
        accounts: &AccountDirectory,
        is_first: bool,
    ) -> AllowanceGrant {
        let account = accounts.named(&request.account);
        let Some(limit) = account.and_then(|account| account.limit) else {
            return unlimited(request);
        };
        if !self.rows.contains_key(&request.account) {
            let row = self.open_row(now, limit);
            self.rows.insert(request.account.clone(), row);
        }
        match self.rows.get_mut(&request.account) {
            Some(row) => {
                row.bucket.set_limit(limit);
                let grant = row.exchange(now, gateway, request, is_first);
                self.exhausted.extend(row.note_exhausted(now, &grant));
                grant
            }
            None => unlimited(request),
        }
    }

    /// A row with what the account may use at least, since another planner may have granted the rest
    /// before this one began.
    fn open_row(&self, now: MonoTime, limit: AccountLimit) -> AccountRow {
        let first = self.bounds.depth(&limit) * FIRST_PART;
        let tokens = first + limit.per_s * seconds_between(self.opened_at, now);
        let mut row = AccountRow::open(now, self.bounds, limit, tokens);
        row.bucket
            .reserve(self.silent_gateways(now).reserved_per_s(now, &row));
        row
    }

    /// Charges what a gateway that was silent may have used at once, of each account.
    fn charge_paced(&mut self, now: MonoTime) {
        let counted = self.counted(now);
        for row in self.rows.values_mut() {
            row.charge_paced(counted);
        }
    }

    /// Reserves the rates of gateways that do not report, and forgets accounts that are not used.
    fn check_silence(&mut self, now: MonoTime) {
        self.checked_at = now;
        self.gateways
            .retain(|_, known| now.millis_since(known.reported_at) < GATEWAY_TTL_MS);
        let silent = self.silent_gateways(now);
        self.rows.retain(|_, row| {
            // The time up to now counts at the rate that was in force.
            row.refill(now);
            row.drop_idle(now);
            row.bucket.reserve(silent.reserved_per_s(now, row));
            now.millis_since(row.reported_at) < ROW_TTL_MS || !row.bucket.is_full()
        });
    }

    fn silent_gateways(&self, now: MonoTime) -> SilentGateways {
        let silent = self
            .gateways
            .iter()
            .filter(|(_, known)| is_silent(known, now));
        SilentGateways {
            reported: silent
                .map(|(name, known)| (name.clone(), known.reported_at))
                .collect(),
            counted: self.counted(now),
        }
    }

    /// Number of gateways that the equal shares are of.
    fn counted(&self, now: MonoTime) -> u32 {
        let gateways = self.gateways.values();
        let counted = gateways.filter(|known| now.millis_since(known.reported_at) < COUNTED_MS);
        u32::try_from(counted.count()).unwrap_or(u32::MAX).max(1)
    }
}

/// Gateways that may be spending without the planner.
struct SilentGateways {
    /// With the time of their last reports.
    reported: Vec<(InstanceName, MonoTime)>,
    /// Number of gateways that the equal shares are of.
    counted: u32,
}

impl SilentGateways {
    /// Units per second that they may be using of an account.
    fn reserved_per_s(&self, now: MonoTime, row: &AccountRow) -> f64 {
        let least_per_s = least_rate_per_s(row.bucket.limit().per_s, self.counted);
        let rates = self.reported.iter().map(|(name, reported_at)| {
            let is_ended = now.millis_since(*reported_at) >= RESERVE_END_MS;
            let share = row.shares.get(name).filter(|_| !is_ended);
            least_per_s + share.map_or(0.0, |share| share.pace_per_s(*reported_at))
        });
        rates.sum()
    }
}

/// Whether a gateway may be spending without a planner.
const fn is_silent(known: &KnownGateway, now: MonoTime) -> bool {
    !known.is_stopping && now.millis_since(known.reported_at) >= PLANNER_SILENCE_MS
}

/// The answer to a gateway that knows of a limit which this planner has not read yet. The gateway
/// keeps to its own version.
fn unlimited(request: &AllowanceRequest) -> AllowanceGrant {
    let waiting = request.waiting.iter().map(|cost| cost.1);
    AllowanceGrant {
        account: request.account.clone(),
        units: waiting.fold(request.expected, u32::saturating_add),
        wait_ms: 0,
        pace_per_s: 0,
    }
}
