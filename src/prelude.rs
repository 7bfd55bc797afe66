//! The types that most modules use.

pub use crate::ids::{
    AccountName, AdapterName, AttemptId, InstanceName, KindName, ModelName, RankName, RegionName,
    ReplicaName, ServiceName, SoftwareVersion, TeamName, UpstreamId, ZoneName,
};
pub use crate::refusal::{RefusalOutcome, RefusalReason, RequestRefusal};
pub use crate::time::MonoTime;
