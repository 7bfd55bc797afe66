//! Upstreams as the chooser sees them.

use serde::Serialize;

use crate::prelude::*;
use crate::rpc::ReplicaState;

/// How far an upstream is from the entry.
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
    /// Milliseconds that a round trip is assumed to take.
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
    /// How far it is.
    pub locality: Locality,
    /// How far the replica is, `Loaded` for plain services.
    pub state: ReplicaState,
    /// Forecast milliseconds until the replica can run.
    pub ready_ms: u64,
    /// Forecast milliseconds in the queue, own requests since the report included.
    pub wait_ms: u64,
    /// Forecast milliseconds from the hand-over to what the deadline asks for.
    pub needed_ms: u64,
    /// Requests running or waiting there, own requests since the report included.
    pub load: u32,
    /// Requests that may run at once there.
    pub limit: u32,
}

impl RouteTarget {
    /// Forecast milliseconds until the answer begins. Waiting and loading overlap.
    #[must_use]
    pub fn start_ms(&self) -> u64 {
        self.locality.round_trip_ms() + self.wait_ms.max(self.ready_ms)
    }

    /// Forecast milliseconds until the deadline's demand is met.
    #[must_use]
    pub fn finish_ms(&self) -> u64 {
        self.start_ms() + self.needed_ms
    }
}
