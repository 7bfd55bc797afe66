//! RPC between entries and the holder of the planner's lease.

mod messages;
mod planner_api;

pub use messages::{
    CrashRecord, DemandReport, DemandResponse, FeedVersions, FollowMark, LeaseSnapshot,
    LoadForecast, PartKnowledge,
};
pub use planner_api::{PlannerApiClient, PlannerApiServer};
