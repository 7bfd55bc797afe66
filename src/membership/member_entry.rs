//! Entries of the list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// What an instance runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// An entry process.
    Entry,
    /// An agent beside an upstream.
    Agent,
}

/// What the platform says of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// In use.
    Live,
    /// About to go away.
    Leaving,
}

/// One instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The instance; its name is never used again for another.
    pub instance: InstanceName,
    /// What it runs.
    pub role: MemberRole,
    /// Where its process listens.
    pub address: SocketAddr,
    /// What the platform says of it.
    pub state: MemberState,
}
