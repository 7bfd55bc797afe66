//! Admission of a request within the limit of its account.

use std::rc::Rc;
use std::time::Duration;

use super::{CallPlan, GatewayContext};
use crate::account::{AccountDirectory, AccountLimit};
use crate::account_limit::{AccountWait, AllowanceGuard, PlannerAnswer, SpentAllowance};
use crate::planner_rpc::DemandResponse;
use crate::prelude::*;

/// Milliseconds after which a request that waits for allowance checks again without being woken.
const ALLOWANCE_POLL_MS: u64 = 60;

/// Whether a request may be sent as far as its account's limit is concerned.
pub enum AdmissionStep {
    /// It may be sent now.
    Admitted,
    /// It has waited and has to check again.
    Waited,
    /// It gets no allowance in time; one such as this would after `retry_ms`.
    Refused {
        /// Milliseconds.
        retry_ms: u64,
    },
}

/// Allowance of one request.
enum CallAllowance {
    /// It needs allowance.
    Needed,
    /// It has allowance and is not sent yet.
    Held(AllowanceGuard),
    /// It was sent. A request that is sent again is not charged again.
    Spent(SpentAllowance),
}

/// What a request needs that has no allowance.
struct AccountNeed {
    account: AccountName,
    limit: AccountLimit,
    wait: AccountWait,
}

/// Takes a request through the limit of its account.
pub struct AccountAdmission {
    allowance: CallAllowance,
    /// Present while the request waits.
    waiting: Option<AllowanceWait>,
    /// Whether the request was admitted before. It may have given its allowance back since.
    was_admitted: bool,
    has_waited: bool,
}

impl AccountAdmission {
    /// Begins with a request that has no allowance.
    pub const fn open() -> Self {
        Self {
            allowance: CallAllowance::Needed,
            waiting: None,
            was_admitted: false,
            has_waited: false,
        }
    }

    /// Whether the request has never been admitted.
    pub const fn is_new(&self) -> bool {
        !self.was_admitted
    }

    /// Takes the allowance of a request that has none, or waits for it.
    pub async fn admit(&mut self, context: &Rc<GatewayContext>, plan: &CallPlan) -> AdmissionStep {
        let Some(need) = self.take(context, plan) else {
            self.waiting = None;
            self.was_admitted = true;
            return AdmissionStep::Admitted;
        };
        let generation = context.allowance_changed.generation();
        match self.forecast(context, plan, &need) {
            Err(retry_ms) => {
                self.waiting = None;
                AdmissionStep::Refused { retry_ms }
            }
            Ok(pause_ms) => {
                let changed = context.allowance_changed.wait_after(generation);
                let _ = compio::time::timeout(Duration::from_millis(pause_ms), changed).await;
                AdmissionStep::Waited
            }
        }
    }

    /// Takes the allowance of a request. Returns what it needs if there is too little.
    fn take(&mut self, context: &Rc<GatewayContext>, plan: &CallPlan) -> Option<AccountNeed> {
        let now = context.now();
        if let CallAllowance::Held(guard) = &self.allowance
            && guard.is_expired(now)
        {
            self.allowance = CallAllowance::Needed;
        }
        if !matches!(self.allowance, CallAllowance::Needed) {
            return None;
        }
        let (account, limit) = context.account_limit(plan)?;
        let wait = match &self.waiting {
            Some(waiting) => waiting.wait,
            None => context.account_wait(plan),
        };
        let taken = context
            .account_limiter
            .borrow_mut()
            .take(now, &account, limit, wait);
        let Some(allowance) = taken else {
            return Some(AccountNeed {
                account,
                limit,
                wait,
            });
        };
        if allowance.expires_at.is_none() {
            context.metrics.accounts.paced.inc();
        }
        let owner = Rc::clone(&context.account_limiter);
        self.allowance = CallAllowance::Held(AllowanceGuard::open(owner, account, allowance));
        None
    }

    /// Registers a request that waits. Returns the milliseconds until its next check, or those after
    /// which a request such as this would get its allowance if this one gets none in time.
    fn forecast(
        &mut self,
        context: &Rc<GatewayContext>,
        plan: &CallPlan,
        need: &AccountNeed,
    ) -> Result<u64, u64> {
        let now = context.now();
        let left_ms = context.wait_limit(plan).millis_since(now);
        let since = self.waiting.as_ref().map_or(now, |waiting| waiting.since);
        let limiter = context.account_limiter.borrow();
        let waited_ms = now.millis_since(since);
        let patience_ms = limiter.patience_ms(now, waited_ms, left_ms);
        let forecast_ms = limiter.forecast_ms(now, &need.account, need.wait);
        let own_ms = need.limit.refill_ms(need.wait.cost);
        let is_hopeless = limiter.is_too_large(&need.limit, need.wait.cost)
            || limiter.is_hopeless(now, forecast_ms, patience_ms)
            || limiter.is_late(now, waited_ms, forecast_ms, own_ms, plan.target_ms);
        drop(limiter);
        if is_hopeless {
            return Err(forecast_ms.max(own_ms));
        }
        if !std::mem::replace(&mut self.has_waited, true) {
            context.metrics.accounts.waits.inc();
            log::info!(
                request:% = plan.request,
                account:% = need.account,
                cost = need.wait.cost,
                forecast_ms,
                limit_ms = patience_ms;
                "waiting for allowance"
            );
        }
        if self.waiting.is_none() {
            self.waiting = Some(AllowanceWait::begin(context, need, now));
        }
        Ok(patience_ms.min(ALLOWANCE_POLL_MS))
    }

    /// Gives back the allowance of a request that waits for something else.
    pub fn release(&mut self) {
        if matches!(self.allowance, CallAllowance::Held(_)) {
            self.allowance = CallAllowance::Needed;
        }
    }

    /// Spends the allowance on a request that is sent now.
    pub fn spend(&mut self) {
        self.allowance = match std::mem::replace(&mut self.allowance, CallAllowance::Needed) {
            CallAllowance::Held(guard) => CallAllowance::Spent(guard.spend()),
            other => other,
        };
    }

    /// Takes the allowance back of a request that turned out not to have run.
    pub fn refund(&mut self) {
        self.allowance = match std::mem::replace(&mut self.allowance, CallAllowance::Needed) {
            CallAllowance::Spent(spent) => CallAllowance::Held(spent.refund()),
            other => other,
        };
    }
}

/// Keeps a request among those that wait for allowance; dropping it removes the request.
struct AllowanceWait {
    context: Rc<GatewayContext>,
    account: AccountName,
    wait: AccountWait,
    since: MonoTime,
}

impl AllowanceWait {
    /// Registers a request. The first one of an account makes this process report at once.
    fn begin(context: &Rc<GatewayContext>, need: &AccountNeed, since: MonoTime) -> Self {
        let mut limiter = context.account_limiter.borrow_mut();
        let is_first = limiter.begin_wait(&need.account, need.wait);
        drop(limiter);
        if is_first {
            context.waits.wanted.notify();
        }
        Self {
            context: Rc::clone(context),
            account: need.account.clone(),
            wait: need.wait,
            since,
        }
    }
}

impl Drop for AllowanceWait {
    fn drop(&mut self) {
        let mut limiter = self.context.account_limiter.borrow_mut();
        limiter.end_wait(&self.account, self.wait);
    }
}

impl GatewayContext {
    /// Applies what a planner granted in answer to a report sent at `sent_at`.
    pub fn apply_allowance(&self, sent_at: MonoTime, response: &DemandResponse) {
        // A process that does not hold the lease grants nothing and does not know of all grants.
        if response.lease_revision == 0 {
            return;
        }
        let answer = PlannerAnswer {
            sent_at,
            gateway_count: response.entry_count,
            version: response.feeds.catalog,
            grants: &response.allowance,
        };
        let mut limiter = self.account_limiter.borrow_mut();
        limiter.record_answer(self.now(), &answer);
        drop(limiter);
        if !response.allowance.is_empty() {
            self.allowance_changed.notify();
        }
    }

    /// Goes on without a planner if none answers.
    pub fn check_allowance(&self) {
        let is_new = self.account_limiter.borrow_mut().advance(self.now());
        if is_new {
            log::warn!("no planner grants allowance; accounts go on at their last rates");
            self.allowance_changed.notify();
        }
    }

    /// Applies the limits of a new configuration.
    pub fn apply_account_limits(&self, version: u64, accounts: &AccountDirectory) {
        let mut limiter = self.account_limiter.borrow_mut();
        limiter.apply_limits(version, accounts);
        drop(limiter);
        self.allowance_changed.notify();
    }

    /// The account of a request and its limit; `None` without a limit.
    fn account_limit(&self, plan: &CallPlan) -> Option<(AccountName, AccountLimit)> {
        let account = plan.account.as_ref()?;
        let catalog = self.catalog.borrow();
        let limit = catalog.as_ref()?.accounts().named(account)?.limit?;
        Some((account.clone(), limit))
    }

    fn account_wait(&self, plan: &CallPlan) -> AccountWait {
        AccountWait {
            turn: plan.wait_turn(),
            number: self.account_limiter.borrow_mut().next_number(),
            cost: plan.cost,
        }
    }
}
