//! Messages between entries and the process that holds the planner's lease.

mod messages;
mod planner_api;

pub use messages::{CrashLine, DemandAnswer, DemandReport, FollowMark, ForecastLine};
pub use planner_api::{PlannerApiClient, PlannerApiServer};
