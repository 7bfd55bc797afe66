//! Names and identifiers shared by all roles.

mod attempt_id;
mod names;
mod random_bits;

pub use attempt_id::{AttemptId, ParseAttemptError};
pub use names::{
    AccountName, AdapterName, InstanceName, KindName, ModelName, RankName, RegionName, ReplicaName,
    ServiceName, SoftwareVersion, TeamName, UpstreamId, ZoneName,
};
pub use random_bits::{new_start_id, random_bits};
