//! Limits of client accounts, which hold for all gateways together.
//!
//! The planner keeps a token bucket for each active account ([`AccountIssuer`]) and leases allowance
//! to the gateways, which spend it on requests ([`AccountLimiter`]). A lease expires after
//! [`LEASE_MS`]. A gateway that no planner answers goes on at the rate that the planner named last.

mod account_bounds;
mod account_bucket;
mod account_issuer;
mod account_limiter;
mod account_row;
mod allowance_guard;
mod allowance_lease;
mod allowance_pace;
mod gateway_share;
mod limited_account;
mod messages;

pub use account_bounds::AccountBounds;
pub use account_issuer::AccountIssuer;
pub use account_limiter::{AccountLimiter, AccountWait, PlannerAnswer};
pub use account_row::ExhaustedAccount;
pub use allowance_guard::{AllowanceGuard, SpentAllowance};
pub use allowance_lease::Allowance;
pub use messages::{AllowanceGrant, AllowanceReport, AllowanceRequest, WaitingCost};

/// Milliseconds after the report that asked for it for which allowance may be spent. The time counts
/// from the report, since a gateway that was frozen reads the answer late.
pub const LEASE_MS: u64 = 1_000;

/// Milliseconds without an answer of a planner after which a gateway goes on by itself. Longer than
/// a lease, so that the two never add up.
pub const PLANNER_SILENCE_MS: u64 = 1_500;

/// Milliseconds without an answer after which a gateway no longer uses the rate that the planner
/// named: it uses its least rate, since the planner gives the rest to others.
const PACE_END_MS: u64 = 9_500;

/// Milliseconds after a gateway's last report from which the planner gives its rate to others. Longer
/// than [`PACE_END_MS`], which counts from the sending of a report.
const RESERVE_END_MS: u64 = 10_000;

/// Time constant in milliseconds of the average rate of allowance granted.
const GRANT_WINDOW_MS: f64 = 4_000.0;

/// A gateway's least rate without a planner: its equal share of a limit, divided by this.
const LEAST_SHARE_DIVISOR: f64 = 4.0;

/// Part of a bucket's depth that the gateways together use at once when they have no planner.
const PACE_SAVED_PART: f64 = 0.25;

/// Units that one gateway uses at once when it has no planner. The planner charges them when the gateway
/// reports again.
fn paced_units(depth: f64, gateway_count: u32) -> f64 {
    depth * PACE_SAVED_PART / f64::from(gateway_count.max(1))
}

/// Least rate of one gateway without a planner, in units per second.
fn least_rate_per_s(per_s: f64, gateway_count: u32) -> f64 {
    per_s / f64::from(gateway_count.max(1)) / LEAST_SHARE_DIVISOR
}

/// Part of a rate that is left of it after a time without news of it.
fn decay(age_ms: u64) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let age_ms = age_ms as f64;
    (-age_ms / GRANT_WINDOW_MS).exp()
}

/// The units of a number that is not negative, rounded down.
// A number above the largest count is cut to it.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
const fn whole_units(number: f64) -> u32 {
    number as u32
}

/// A time in milliseconds, rounded up; at most a day.
// Times are not negative and small.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole_ms(seconds: f64) -> u64 {
    (seconds * 1_000.0).clamp(0.0, 86_400_000.0).ceil() as u64
}

/// Seconds from one time to a later one.
fn seconds_between(earlier: MonoTime, later: MonoTime) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let millis = later.millis_since(earlier) as f64;
    millis / 1_000.0
}

use crate::prelude::*;
