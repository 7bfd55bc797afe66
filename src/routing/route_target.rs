//! Candidate upstreams of a routing decision.

use serde::Serialize;

use crate::prelude::*;
use crate::rpc::ReplicaState;

/// Network distance of an upstream from the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Locality {
    /// The same availability zone.
    Zone,
    /// Another zone of the same region.
    Region,
    /// Another region, over a link billed by volume.
    Remote,
}

impl Locality {
    /// Assumed round-trip time in milliseconds.
    #[must_use]
    pub const fn round_trip_ms(self) -> u64 {
        match self {
            Self::Zone => 0,
            Self::Region => 2,
            Self::Remote => 80,
        }
    }
}

/// One upstream that may serve the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RouteTarget {
    /// The instance.
    pub instance: InstanceName,
    /// Network distance from the entry.
    pub locality: Locality,
    /// State of the replica there, `Loaded` for plain services.
    pub state: ReplicaState,
    /// Forecast milliseconds until the replica can run.
    pub ready_ms: u64,
    /// Forecast milliseconds in the queue, including requests sent by this entry since the
    /// upstream's report.
    pub wait_ms: u64,
    /// Forecast milliseconds from dispatch to what the deadline applies to.
    pub needed_ms: u64,
    /// Requests running or waiting there, including those sent by this entry since the
    /// upstream's report.
    pub load: u32,
    /// Requests that may run at once there.
    pub limit: u32,
}

impl RouteTarget {
    /// Forecast milliseconds until the request starts to run, including one round trip. Waiting
    /// and loading overlap.
    #[must_use]
    pub fn start_ms(&self) -> u64 {
        self.locality.round_trip_ms() + self.wait_ms.max(self.ready_ms)
    }

    /// Forecast milliseconds until what the deadline applies to.
    #[must_use]
    pub fn finish_ms(&self) -> u64 {
        self.start_ms() + self.needed_ms
    }
}
