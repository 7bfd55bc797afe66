//! Starting and stopping an agent.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::runtime::JoinHandle;

use super::agent_context::AgentContext;
use super::agent_server::AgentServer;
use super::dispatch_controller::run_dispatch;
use super::engine_monitor::run_monitor;
use super::lease_controller::{release_leases, run_leases};
use super::permit_controller::run_issuer;
use super::planner_controller::run_planner;
use super::record_sweeper::run_sweeper;
use super::report_controller::{run_reports, send_report};
use super::slot_controller::run_slots;
use crate::config::{AgentConfig, NodeConfig};
use crate::daemon::{DaemonError, NodeContext, spawn_node_loops};
use crate::net::{HttpServer, ServerHandle};

/// Milliseconds between looks at open work during a shutdown.
const DRAIN_LOOK_MS: u64 = 20;

/// Milliseconds that connections have to close once no work is open.
const CLOSE_MS: u64 = 2_000;

/// List reads per look at the settings: agents hear of changes from entries.
const SETTINGS_POLLS: u64 = 4;

/// A running agent; dropping it ends its loops at once.
pub struct AgentHandle {
    context: Rc<AgentContext>,
    serving: ServerHandle,
    loops: Vec<JoinHandle<()>>,
}

impl AgentHandle {
    /// Binds the fixed port, which no second agent can share, and starts all controllers.
    ///
    /// # Errors
    /// [`DaemonError`] if the address is taken or a client cannot be set up.
    pub async fn spawn(node: NodeConfig, config: AgentConfig) -> Result<Self, DaemonError> {
        let server = HttpServer::bind(node.listen).await?;
        let node = NodeContext::open(node, server.local_addr()?)?;
        let context = AgentContext::open(node, config)?;
        let serving = server.spawn(AgentServer::open(Rc::clone(&context)))?;
        let mut loops = spawn_node_loops(&context.node, SETTINGS_POLLS);
        loops.extend([
            compio::runtime::spawn(follow_settings(Rc::clone(&context))),
            compio::runtime::spawn(run_monitor(Rc::clone(&context))),
            compio::runtime::spawn(run_dispatch(Rc::clone(&context))),
            compio::runtime::spawn(run_slots(Rc::clone(&context))),
            compio::runtime::spawn(run_reports(Rc::clone(&context))),
            compio::runtime::spawn(run_leases(Rc::clone(&context))),
            compio::runtime::spawn(run_issuer(Rc::clone(&context))),
            compio::runtime::spawn(run_planner(Rc::clone(&context))),
            compio::runtime::spawn(run_sweeper(Rc::clone(&context))),
        ]);
        Ok(Self {
            context,
            serving,
            loops,
        })
    }

    /// Where the agent listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.serving.address()
    }

    /// Refuses new work, finishes open work and stops.
    /// Returns the number of connections cut at the end of the drain time.
    pub async fn shutdown(self) -> usize {
        let context = &self.context;
        context.leaving.set(true);
        context.node.is_stopping.set(true);
        send_report(context).await;
        let began_at = context.now();
        let limit_ms = context.node.config.drain_ms;
        while has_open_work(context) && context.now().millis_since(began_at) < limit_ms {
            compio::time::sleep(Duration::from_millis(DRAIN_LOOK_MS)).await;
        }
        release_leases(context).await;
        let cut = self.serving.drain(CLOSE_MS).await;
        drop(self.loops);
        cut
    }
}

fn has_open_work(context: &AgentContext) -> bool {
    context.running.get() > 0 || !context.queue.borrow().is_empty()
}

async fn follow_settings(context: Rc<AgentContext>) {
    const LOOK_MS: u64 = 1_000;
    loop {
        context.apply_settings();
        context.dispatch.notify();
        context.node.settings_changed.wait(LOOK_MS).await;
    }
}
