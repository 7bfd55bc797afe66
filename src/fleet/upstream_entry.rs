//! One upstream as the platform lists it.

use std::net::SocketAddr;

use crate::prelude::*;

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamPhase {
    /// It takes new work.
    Ready,
    /// It is leaving and gets no new work.
    Draining,
}

/// A model that an engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldModel {
    /// The model.
    pub model: ModelName,
    /// Version of its weights.
    pub version: u64,
    /// Adapters loaded on top of it.
    pub adapters: Vec<AdapterName>,
}

/// One upstream of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Its identity; a later start may have the same one.
    pub id: UpstreamId,
    /// Unix milliseconds of its start; tells two starts of one identity apart.
    pub started_at_ms: u64,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: UpstreamPhase,
    /// Models that it holds, for engines.
    pub models: Vec<HeldModel>,
    /// Models whose weights lie in its host memory or on its disk.
    pub local_copies: Vec<ModelName>,
}
