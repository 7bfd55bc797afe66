//! Request rate limits that upstreams name for all instances together.
//!
//! The planner issues tokens for each limited upstream at the rate that the upstream named, and an
//! entry spends one for each request that it sends there. An entry that no planner answers goes on
//! at the rate at which it got tokens before.

mod limited_upstream;
mod messages;
mod rate_limiter;
mod request_rate;
mod token_issuer;
mod token_row;

pub use limited_upstream::WaitTurn;
pub use messages::{LimitHearing, TokenGrant, TokenQueue, TokenRequest};
pub use rate_limiter::{RateLimiter, TokenNeed};
pub use request_rate::RequestRate;
pub use token_issuer::TokenIssuer;

/// Slowest rate in requests per second at which an upstream is used: its next answer may end the
/// limit, so that even a limit of zero lets a request through now and then.
const MIN_RATE_PER_S: f64 = 0.2;

/// The rate at which requests may be sent under a limit.
pub(crate) fn send_rate_per_s(limit: RequestRate) -> f64 {
    limit.per_s().max(MIN_RATE_PER_S)
}
