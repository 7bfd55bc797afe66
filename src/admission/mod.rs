//! Admission control: request queue with rank floors, deadlines and fair shares, concurrency
//! limits, and forecasts.

mod concurrency_limiter;
mod rank_share;
mod service_estimate;
mod wait_forecast;
mod work_item;
mod work_queue;

pub use concurrency_limiter::ConcurrencyLimiter;
pub use rank_share::{RankKey, RankShare};
pub use service_estimate::{ServiceEstimate, ServiceSample};
pub use wait_forecast::{ForecastInput, WaitForecast};
pub use work_item::{WorkItem, WorkKey};
pub use work_queue::{PushOutcome, QueueFull, QueuePolicy, WorkQueue};
