//! Metrics of client accounts.

use std::cell::RefCell;
use std::collections::HashSet;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::account::KeyFault;
use crate::prelude::*;

/// Largest number of accounts that are labels of their own. A configuration may list thousands, and
/// each one would be a time series for each gateway and outcome.
const MAX_NAMED_ACCOUNTS: usize = 64;

/// Label of all accounts beyond [`MAX_NAMED_ACCOUNTS`] together.
const OTHER_ACCOUNTS: &str = "other";

/// What became of a request of an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AccountOutcome {
    /// It arrived with a key of the account.
    Arrived,
    /// It got an upstream's answer.
    Answered,
    /// It was refused by this process.
    Refused,
}

impl AccountOutcome {
    const fn label(self) -> &'static str {
        match self {
            Self::Arrived => "arrived",
            Self::Answered => "answered",
            Self::Refused => "refused",
        }
    }
}

/// Labels of requests by account.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AccountLabels {
    account: String,
    outcome: &'static str,
}

/// Labels of checks of keys.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KeyLabels {
    outcome: &'static str,
}

/// Counters of keys and accounts.
#[derive(Debug, Default)]
pub struct AccountMetrics {
    key_checks: Family<KeyLabels, Counter>,
    requests: Family<AccountLabels, Counter>,
    /// Requests that waited for allowance of their account.
    pub waits: Counter,
    /// Requests that were admitted without a planner.
    pub paced: Counter,
    /// The first accounts that sent a request; at most [`MAX_NAMED_ACCOUNTS`].
    named: RefCell<HashSet<AccountName>>,
}

impl AccountMetrics {
    /// Adds the counters to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register("key_checks", "Checks of keys", self.key_checks.clone());
        registry.register(
            "account_requests",
            "Requests by account",
            self.requests.clone(),
        );
        registry.register(
            "allowance_waits",
            "Requests that waited for allowance of their account",
            self.waits.clone(),
        );
        registry.register(
            "allowance_paced",
            "Requests admitted within their account's limit without a planner",
            self.paced.clone(),
        );
    }

    /// Counts a check of a request's key, with the fault that was found. `is_exempt` says whether the
    /// request is served all the same.
    pub fn count_check(&self, fault: Option<KeyFault>, is_exempt: bool) {
        let outcome = match fault {
            None => "known_key",
            Some(_) if is_exempt => "exempt",
            Some(fault) => fault.outcome(),
        };
        let labels = KeyLabels { outcome };
        self.key_checks.get_or_create(&labels).inc();
    }

    /// Counts a request of an account; nothing for a request without one.
    pub fn count_request(&self, account: Option<&AccountName>, outcome: AccountOutcome) {
        let Some(account) = account else { return };
        let labels = AccountLabels {
            account: self.label(account).to_owned(),
            outcome: outcome.label(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// The account's name if it is one of the first, else the label of all others.
    fn label<'a>(&self, account: &'a AccountName) -> &'a str {
        let mut named = self.named.borrow_mut();
        if named.contains(account) {
            return account.as_str();
        }
        if named.len() >= MAX_NAMED_ACCOUNTS {
            return OTHER_ACCOUNTS;
        }
        named.insert(account.clone());
        account.as_str()
    }
}
