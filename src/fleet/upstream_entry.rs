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
    /// Identity of the upstream; a later start may reuse it.
    pub id: UpstreamId,
    /// Start time in Unix milliseconds; distinguishes the starts of one identity.
    pub started_at_ms: u64,
    /// The service that it runs.
    pub service: ServiceName,
    /// Version of its software; `None` if its entry names none. Belongs to this start: a later one
    /// may run another version.
    pub software: Option<SoftwareVersion>,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: UpstreamPhase,
    /// Models that it has loaded, for engines.
    pub models: Vec<HeldModel>,
    /// Models whose weights are in its host memory or on its disk.
    pub local_copies: Vec<ModelName>,
}
