//! RPC between entries and the holder of the planner's lease.

mod messages;
mod planner_api;

pub use messages::{
    CrashMark, CrashReport, CrashUpdate, DemandReport, DemandResponse, FeedAges, FeedVersions,
    FollowMark, LeaseSnapshot, LoadForecast,
};
pub use planner_api::{PlannerApiClient, PlannerApiServer};
