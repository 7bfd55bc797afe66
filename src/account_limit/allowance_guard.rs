//! Ownership of a request's allowance.

use std::cell::RefCell;
use std::rc::Rc;

use super::{AccountLimiter, Allowance};
use crate::prelude::*;

/// Allowance of a request that was not sent yet; dropping it gives the allowance back.
#[derive(Debug)]
pub struct AllowanceGuard {
    limiter: Rc<RefCell<AccountLimiter>>,
    account: AccountName,
    allowance: Allowance,
}

impl AllowanceGuard {
    /// Takes over allowance that the limiter gave.
    #[must_use]
    pub const fn open(
        limiter: Rc<RefCell<AccountLimiter>>,
        account: AccountName,
        allowance: Allowance,
    ) -> Self {
        Self {
            limiter,
            account,
            allowance,
        }
    }

    /// Whether it may be spent no more.
    #[must_use]
    pub fn is_expired(&self, now: MonoTime) -> bool {
        self.allowance.expires_at.is_some_and(|at| now >= at)
    }

    /// Spends it on a request that is sent now.
    #[must_use]
    pub fn spend(mut self) -> SpentAllowance {
        let spent = SpentAllowance {
            limiter: Rc::clone(&self.limiter),
            account: self.account.clone(),
            allowance: self.allowance,
        };
        // Nothing is left to give back.
        self.allowance.units = 0;
        spent
    }
}

impl Drop for AllowanceGuard {
    fn drop(&mut self) {
        if self.allowance.units > 0 {
            let mut limiter = self.limiter.borrow_mut();
            limiter.give_back(&self.account, self.allowance);
        }
    }
}

/// Allowance that was spent on a request which was sent.
#[derive(Debug)]
pub struct SpentAllowance {
    limiter: Rc<RefCell<AccountLimiter>>,
    account: AccountName,
    allowance: Allowance,
}

impl SpentAllowance {
    /// Takes the allowance back, since the request did not run.
    #[must_use]
    pub fn refund(self) -> AllowanceGuard {
        AllowanceGuard::open(self.limiter, self.account, self.allowance)
    }
}
