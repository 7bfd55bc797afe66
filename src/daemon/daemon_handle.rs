//! A running daemon.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::agent::AgentHandle;
use crate::config::{DaemonConfig, NodeConfig, RoleConfig};
use crate::entry::EntryHandle;
use crate::gateway::{GatewayHandle, GatewayPorts};
use crate::net::BufferBudget;

use super::DaemonError;

/// A daemon of any role, running on the current runtime.
pub enum DaemonHandle {
    /// An entry.
    Entry(EntryHandle),
    /// An agent.
    Agent(AgentHandle),
    /// A gateway.
    Gateway(GatewayHandle),
}

impl DaemonHandle {
    /// Starts an entry or an agent.
    ///
    /// # Errors
    /// [`DaemonError`] if the address is taken or a client cannot be set up;
    /// [`DaemonError::NoAdapter`] for a gateway.
    pub async fn spawn(config: DaemonConfig) -> Result<Self, DaemonError> {
        match config.role {
            RoleConfig::Entry(entry) => EntryHandle::spawn(config.node, entry)
                .await
                .map(Self::Entry),
            RoleConfig::Agent(agent) => AgentHandle::spawn(config.node, agent)
                .await
                .map(Self::Agent),
            RoleConfig::Gateway(_) => Err(DaemonError::NoAdapter),
        }
    }

    /// Starts a daemon of any role. A gateway reaches its platform through the ports that
    /// `open_ports` returns.
    ///
    /// # Errors
    /// [`DaemonError`] if an address is taken or a client cannot be set up.
    pub async fn spawn_with_ports(
        config: DaemonConfig,
        open_ports: impl FnOnce(&NodeConfig, &Rc<BufferBudget>) -> GatewayPorts,
    ) -> Result<Self, DaemonError> {
        let DaemonConfig { node, role } = config;
        match role {
            RoleConfig::Gateway(gateway) => {
                let buffers =
                    BufferBudget::open_with_pace(gateway.buffer_bytes(), node.clients.body_pace());
                let ports = open_ports(&node, &buffers);
                let handle = GatewayHandle::spawn(node, gateway, ports, buffers).await?;
                Ok(Self::Gateway(handle))
            }
            role => Self::spawn(DaemonConfig { node, role }).await,
        }
    }

    /// Address on which the daemon listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        match self {
            Self::Entry(entry) => entry.address(),
            Self::Agent(agent) => agent.address(),
            Self::Gateway(gateway) => gateway.address(),
        }
    }

    /// Refuses new work, finishes open work and stops.
    /// Returns the number of connections that were still open at the end of the drain time.
    pub async fn shutdown(self) -> usize {
        match self {
            Self::Entry(entry) => entry.shutdown().await,
            Self::Agent(agent) => agent.shutdown().await,
            Self::Gateway(gateway) => gateway.shutdown().await,
        }
    }
}
