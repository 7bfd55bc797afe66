//! What the planner tells entries of the engines' holdings.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// What one engine can serve now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamHoldings {
    /// The engine.
    #[serde(rename = "i")]
    pub id: UpstreamId,
    /// Its start.
    #[serde(rename = "b")]
    pub started_at_ms: u64,
    /// Usable models with their usable adapters.
    #[serde(rename = "m")]
    pub models: Vec<(ModelName, Vec<AdapterName>)>,
}

/// Changes of holdings since a version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PlacementUpdate {
    /// Epoch of the planner; versions of different epochs are not compared.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Where to go on from.
    #[serde(rename = "v")]
    pub version: u64,
    /// Engines whose holdings changed.
    #[serde(rename = "h")]
    pub holdings: Vec<UpstreamHoldings>,
}
