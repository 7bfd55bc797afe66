//! Request rate limits that upstreams name for all instances together.

mod rate_limiter;
mod request_rate;

pub use rate_limiter::RateLimiter;
pub use request_rate::RequestRate;
