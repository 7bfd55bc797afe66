//! A running daemon.

use std::net::SocketAddr;

use crate::agent::AgentHandle;
use crate::config::{DaemonConfig, NodeConfig, RoleConfig};
use crate::entry::EntryHandle;
use crate::gateway::{GatewayHandle, GatewayPorts};

use super::DaemonError;

/// A daemon of either role, running on the current runtime.
pub enum DaemonHandle {
    /// An entry.
    Entry(EntryHandle),
    /// An agent.
    Agent(AgentHandle),
    /// A gateway.
    Gateway(GatewayHandle),
}

impl DaemonHandle {
    /// Starts the daemon that the settings describe. A gateway reaches its platform through
    /// the ports that `open_ports` makes.
    ///
    /// # Errors
    /// [`DaemonError`] if the address is taken or a client cannot be set up.
    pub async fn spawn(
        config: DaemonConfig,
        open_ports: impl FnOnce(&NodeConfig) -> GatewayPorts,
    ) -> Result<Self, DaemonError> {
        match config.role {
            RoleConfig::Entry(entry) => EntryHandle::spawn(config.node, entry)
                .await
                .map(Self::Entry),
            RoleConfig::Agent(agent) => AgentHandle::spawn(config.node, agent)
                .await
                .map(Self::Agent),
            RoleConfig::Gateway(gateway) => {
                let ports = open_ports(&config.node);
                GatewayHandle::spawn(config.node, gateway, ports).await.map(Self::Gateway)
            }
        }
    }

    /// Where the daemon listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        match self {
            Self::Entry(entry) => entry.address(),
            Self::Agent(agent) => agent.address(),
            Self::Gateway(gateway) => gateway.address(),
        }
    }

    /// Refuses new work, finishes open work and stops.
    /// Returns the number of connections cut at the end of the drain time.
    pub async fn shutdown(self) -> usize {
        match self {
            Self::Entry(entry) => entry.shutdown().await,
            Self::Agent(agent) => agent.shutdown().await,
            Self::Gateway(gateway) => gateway.shutdown().await,
        }
    }
}
