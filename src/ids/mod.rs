//! Names and identifiers shared by all roles.

mod attempt_id;
mod names;

pub use attempt_id::{AttemptId, ParseAttemptError};
pub use names::{
    AdapterName, InstanceName, KindName, ModelName, RankName, RegionName, ReplicaName, ServiceName,
    SoftwareVersion, TeamName, UpstreamId, ZoneName,
};
