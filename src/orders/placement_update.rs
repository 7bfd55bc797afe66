//! Placement updates that the planner publishes to entries.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Models and adapters that one engine can serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamHoldings {
    /// Identity of the engine.
    #[serde(rename = "i")]
    pub id: UpstreamId,
    /// When the engine started, as the upstream list states it; identifies one run of the engine.
    #[serde(rename = "b")]
    pub started_at_ms: u64,
    /// Usable models, each with its usable adapters.
    #[serde(rename = "m")]
    pub models: Vec<(ModelName, Vec<AdapterName>)>,
}

/// Holdings that changed since a version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PlacementUpdate {
    /// Epoch of the planner; versions of different epochs are not comparable.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Version of the newest change; the next update is requested from here.
    #[serde(rename = "v")]
    pub version: u64,
    /// Full holdings of each engine that changed.
    #[serde(rename = "h")]
    pub holdings: Vec<UpstreamHoldings>,
}
