//! Entries of the list of instances.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// An entry process.
    Entry,
    /// An agent beside an upstream.
    Agent,
}

/// State of an instance as the platform reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// In use.
    Live,
    /// About to be removed.
    Leaving,
}

/// An instance of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Name of the instance; never reused for another one.
    pub instance: InstanceName,
    /// Role of its process.
    pub role: MemberRole,
    /// Address on which its process listens.
    pub address: SocketAddr,
    /// State as the platform reports it.
    pub state: MemberState,
}
