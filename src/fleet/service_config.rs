//! Services and models of the fleet's configuration.

use std::collections::BTreeMap;

use crate::prelude::*;

/// One service behind the routes.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceConfig {
    /// Its name.
    pub name: ServiceName,
    /// Configuration of the engines; `None` where the upstreams are not model engines.
    pub engine: Option<EngineConfig>,
}

/// Configuration that all engines of a service share.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineConfig {
    /// Concurrent requests of one engine.
    pub slots: u32,
    /// Memory for models and adapters together, in megabytes.
    pub memory_mb: f64,
    /// Adapters that may be loaded at once.
    pub adapter_slots: usize,
    /// Loads per second that the weight store allows over all upstreams.
    pub loads_per_s: f64,
    /// The models, by name.
    pub models: BTreeMap<ModelName, ModelConfig>,
}

/// One model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelConfig {
    /// Megabytes of its weights.
    pub memory_mb: f64,
    /// Adapters that exist for it.
    pub adapter_count: u32,
    /// Megabytes of each of its adapters.
    pub adapter_mb: f64,
    /// Milliseconds of a load from the weight store at full speed.
    pub store_load_ms: u64,
    /// Milliseconds of a load from the upstream's disk.
    pub disk_load_ms: u64,
}
