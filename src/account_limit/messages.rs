//! Parts of reports between gateways and the planner about the limits of accounts.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Rank and cost in units of a request that waits for allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingCost(pub u8, pub u32);

/// A gateway's request for allowance of one account. Quantities are units of the account's limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceRequest {
    /// The account.
    #[serde(rename = "i")]
    pub account: AccountName,
    /// The first requests that wait, in the order in which they are served.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub waiting: Vec<WaitingCost>,
    /// Further units that the gateway expects to need until its next report.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero")]
    pub expected: u32,
    /// Units that expired unused, or whose request turned out not to have run.
    #[serde(rename = "b", default, skip_serializing_if = "is_zero")]
    pub returned: u32,
    /// Units in hand. A planner that does not know the gateway yet charges them.
    #[serde(rename = "h", default, skip_serializing_if = "is_zero")]
    pub held: u32,
}

/// What a gateway reports about the limits of accounts.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AllowanceReport {
    /// The accounts that it needs allowance of, or gives some back.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub requests: Vec<AllowanceRequest>,
    /// Whether the gateway is shutting down; it then spends nothing without a planner.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_stopping: bool,
}

impl AllowanceReport {
    /// Whether there is nothing to report.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.requests.is_empty() && !self.is_stopping
    }
}

/// The planner's answer about one account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceGrant {
    /// The account.
    #[serde(rename = "i")]
    pub account: AccountName,
    /// Units granted.
    #[serde(rename = "n", default, skip_serializing_if = "is_zero")]
    pub units: u32,
    /// Milliseconds until all requests that the report named as waiting can be granted; 0 if they are.
    #[serde(rename = "x", default, skip_serializing_if = "is_zero_ms")]
    pub wait_ms: u64,
    /// Units per second at which the gateway may go on without a planner.
    #[serde(rename = "p", default, skip_serializing_if = "is_zero")]
    pub pace_per_s: u32,
}

impl AllowanceGrant {
    /// Whether it tells the gateway anything.
    #[must_use]
    pub const fn is_news(&self) -> bool {
        self.units > 0 || self.wait_ms > 0
    }
}

// Serde passes a reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
const fn is_zero(number: &u32) -> bool {
    *number == 0
}

// Serde passes a reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
const fn is_zero_ms(number: &u64) -> bool {
    *number == 0
}
