//! A running daemon.

use std::net::SocketAddr;

use crate::agent::AgentHandle;
use crate::config::{DaemonConfig, RoleConfig};
use crate::entry::EntryHandle;

use super::DaemonError;

/// A daemon of either role, running on the current runtime.
pub enum DaemonHandle {
    /// An entry.
    Entry(EntryHandle),
    /// An agent.
    Agent(AgentHandle),
}

impl DaemonHandle {
    /// Starts the daemon that the settings describe.
    ///
    /// # Errors
    /// [`DaemonError`] if the address is taken or a client cannot be set up.
    pub async fn spawn(config: DaemonConfig) -> Result<Self, DaemonError> {
        match config.role {
            RoleConfig::Entry(entry) => EntryHandle::spawn(config.node, entry)
                .await
                .map(Self::Entry),
            RoleConfig::Agent(agent) => AgentHandle::spawn(config.node, agent)
                .await
                .map(Self::Agent),
        }
    }

    /// Where the daemon listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        match self {
            Self::Entry(entry) => entry.address(),
            Self::Agent(agent) => agent.address(),
        }
    }

    /// Refuses new work, finishes open work and stops.
    /// Returns the number of connections cut at the end of the drain time.
    pub async fn shutdown(self) -> usize {
        match self {
            Self::Entry(entry) => entry.shutdown().await,
            Self::Agent(agent) => agent.shutdown().await,
        }
    }
}
