//! Starting and stopping an entry.

use std::net::SocketAddr;
use std::rc::Rc;

use compio::runtime::JoinHandle;

use super::entry_context::EntryContext;
use super::entry_server::EntryServer;
use super::quarantine_controller::run_quarantine;
use crate::config::{EntryConfig, NodeConfig};
use crate::daemon::{DaemonError, NodeContext, spawn_node_loops};
use crate::net::{HttpServer, ServerHandle};
use crate::rpc::AgentReport;

/// List reads per look at the settings: entries are the first to hear of a change.
const SETTINGS_POLLS: u64 = 1;

/// A running entry; dropping it ends its loops at once.
pub struct EntryHandle {
    context: Rc<EntryContext>,
    serving: ServerHandle,
    loops: Vec<JoinHandle<()>>,
}

impl EntryHandle {
    /// Binds the address and starts serving.
    ///
    /// # Errors
    /// [`DaemonError`] if the address is taken or a client cannot be set up.
    pub async fn spawn(node: NodeConfig, config: EntryConfig) -> Result<Self, DaemonError> {
        let server = HttpServer::bind(node.listen).await?;
        let node = NodeContext::open(node, server.local_addr()?)?;
        let context = EntryContext::open(node, config);
        let serving = server.spawn(EntryServer::open(Rc::clone(&context)))?;
        let mut loops = spawn_node_loops(&context.node, SETTINGS_POLLS);
        loops.push(compio::runtime::spawn(run_quarantine(Rc::clone(&context))));
        Ok(Self {
            context,
            serving,
            loops,
        })
    }

    /// Where the entry listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.serving.address()
    }

    /// Reports of agents heard recently.
    #[must_use]
    pub fn fresh_reports(&self) -> Vec<AgentReport> {
        let now = self.context.now();
        self.context.agents.borrow().fresh_reports(now)
    }

    /// Stops accepting connections, finishes open requests and stops.
    /// Returns the number of connections cut at the end of the drain time.
    pub async fn shutdown(self) -> usize {
        self.context.node.is_stopping.set(true);
        let limit_ms = self.context.node.config.drain_ms;
        let cut = self.serving.drain(limit_ms).await;
        drop(self.loops);
        cut
    }
}
