//! Starts and stops an entry.

use std::net::SocketAddr;
use std::rc::Rc;

use compio::runtime::JoinHandle;

use super::entry_context::EntryContext;
use super::entry_server::EntryServer;
use super::quarantine_controller::sync_quarantine;
use crate::config::{EntryConfig, NodeConfig};
use crate::daemon::{DaemonError, NodeContext, spawn_node_loops};
use crate::net::{HttpServer, ServerHandle, ServerLimits};
use crate::rpc::AgentReport;

/// Member list reads per settings poll: one, so that entries are the first to see a change.
const LIST_READS_PER_SETTINGS_POLL: u64 = 1;

/// A running entry; dropping it stops its loops at once.
pub struct EntryHandle {
    context: Rc<EntryContext>,
    server_handle: ServerHandle,
    loops: Vec<JoinHandle<()>>,
}

impl EntryHandle {
    /// Binds the address and starts serving.
    ///
    /// # Errors
    /// [`DaemonError`] if the address is taken or a client cannot be set up.
    pub async fn spawn(node: NodeConfig, config: EntryConfig) -> Result<Self, DaemonError> {
        let clients = &node.clients;
        let limits = ServerLimits {
            connections: clients.connection_limits(clients.memory_bytes()),
            ..ServerLimits::default()
        };
        let server = HttpServer::bind(node.listen).await?.with_limits(limits);
        let node = NodeContext::open(node, server.local_addr()?)?;
        let context = EntryContext::open(node, config);
        let server_handle = server
            .with_closures(context.node.closures.clone())
            .spawn(EntryServer::open(Rc::clone(&context)))?;
        let mut loops = spawn_node_loops(&context.node, LIST_READS_PER_SETTINGS_POLL);
        loops.push(compio::runtime::spawn(sync_quarantine(Rc::clone(&context))));
        Ok(Self {
            context,
            server_handle,
            loops,
        })
    }

    /// Address that the entry listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server_handle.address()
    }

    /// Agent reports that are not stale.
    #[must_use]
    pub fn fresh_reports(&self) -> Vec<AgentReport> {
        let now = self.context.now();
        self.context.agents.borrow().fresh_reports(now)
    }

    /// Stops accepting connections, drains requests in flight and stops.
    /// Returns the number of connections closed at the end of the drain time.
    pub async fn shutdown(self) -> usize {
        self.context.node.is_stopping.set(true);
        let limit_ms = self.context.node.config.drain_ms;
        let open_connections = self.server_handle.drain(limit_ms).await;
        drop(self.loops);
        open_connections
    }
}
