//! Starts an agent and shuts it down.

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
use crate::net::{HttpServer, ServerHandle, ServerLimits};

/// Interval of checks for open requests during a shutdown, in milliseconds.
const DRAIN_POLL_MS: u64 = 20;

/// Time in milliseconds that connections have to close after the drain.
const CLOSE_TIMEOUT_MS: u64 = 2_000;

/// Reads of the membership list per read of the settings. Settings are read less often
/// because entries tell agents about newer revisions.
const MEMBER_POLLS_PER_SETTINGS_POLL: u64 = 4;

/// A running agent; dropping it stops its loops at once, without a drain.
pub struct AgentHandle {
    context: Rc<AgentContext>,
    serving: ServerHandle,
    loops: Vec<JoinHandle<()>>,
}

impl AgentHandle {
    /// Binds the configured port and starts all controllers. The port is fixed and
    /// exclusive, so that no second agent can run on it.
    ///
    /// # Errors
    /// [`DaemonError`] if the address is taken or a client cannot be set up.
    pub async fn spawn(node: NodeConfig, config: AgentConfig) -> Result<Self, DaemonError> {
        let clients = &node.clients;
        let limits = ServerLimits {
            connections: clients.connection_limits(clients.memory_bytes()),
            ..ServerLimits::default()
        };
        let server = HttpServer::bind(node.listen).await?.with_limits(limits);
        let node = NodeContext::open(node, server.local_addr()?)?;
        let context = AgentContext::open(node, config);
        let serving = server
            .with_closures(context.node.closures.clone())
            .spawn(AgentServer::open(Rc::clone(&context)))?;
        let mut loops = spawn_node_loops(&context.node, MEMBER_POLLS_PER_SETTINGS_POLL);
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

    /// Address that the agent listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.serving.address()
    }

    /// Refuses new requests, drains open ones for up to the configured drain time, releases
    /// the leases and stops. Returns the number of connections that were closed by force.
    pub async fn shutdown(self) -> usize {
        let context = &self.context;
        context.is_leaving.set(true);
        context.node.is_stopping.set(true);
        send_report(context).await;
        let began_at = context.now();
        let limit_ms = context.node.config.drain_ms;
        while has_open_work(context) && context.now().millis_since(began_at) < limit_ms {
            compio::time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
        }
        release_leases(context).await;
        let closed = self.serving.drain(CLOSE_TIMEOUT_MS).await;
        drop(self.loops);
        closed
    }
}

fn has_open_work(context: &AgentContext) -> bool {
    context.running.get() > 0 || !context.queue.borrow().is_empty()
}

async fn follow_settings(context: Rc<AgentContext>) {
    const POLL_MS: u64 = 1_000;
    loop {
        context.apply_settings();
        context.dispatch_wake.notify();
        context.node.settings_changed.wait(POLL_MS).await;
    }
}
