//! Starting and stopping a gateway.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::runtime::JoinHandle;

use super::control_server::ControlServer;
use super::crash_store::run_crash_store;
use super::fleet_follower::{follow_catalog, follow_upstreams, watch_feeds};
use super::front_server::FrontServer;
use super::gateway_context::BALANCER_REMOVAL_MS;
use super::origin_check::run_origin_check;
use super::origin_store::{run_origin_store, run_origin_sweep};
use super::planner_lease::{release_lease, run_lease};
use super::planner_link::{run_follow, run_report};
use super::planner_orders::run_orders;
use super::{GatewayContext, GatewayPorts};
use crate::config::{GatewayConfig, NodeConfig};
use crate::daemon::DaemonError;
use crate::net::{BufferBudget, ClientClosures, HttpServer, ServerHandle, ServerLimits};

/// Milliseconds reserved at the end of the drain time for the exit.
const EXIT_RESERVE_MS: u64 = 400;

/// A running gateway; dropping it ends its loops at once.
pub struct GatewayHandle {
    context: Rc<GatewayContext>,
    front: ServerHandle,
    controls: Vec<ServerHandle>,
    loops: Vec<JoinHandle<()>>,
}

impl GatewayHandle {
    /// Binds all addresses and starts serving.
    ///
    /// # Errors
    /// [`DaemonError`] if an address is taken.
    pub async fn spawn(
        node: NodeConfig,
        config: GatewayConfig,
        ports: GatewayPorts,
        buffers: Rc<BufferBudget>,
    ) -> Result<Self, DaemonError> {
        let front_limits = ServerLimits {
            header_ms: config.idle_ms,
            connections: node.clients.connection_limits(config.memory_bytes()),
        };
        let control_limits = ServerLimits {
            header_ms: config.idle_ms,
            ..ServerLimits::default()
        };
        let front = HttpServer::bind(node.listen)
            .await?
            .with_limits(front_limits);
        let mut control_servers = Vec::new();
        for address in [config.ready, config.peers, config.metrics] {
            control_servers.push(HttpServer::bind(address).await?.with_limits(control_limits));
        }
        let context = GatewayContext::open(node, config, ports, buffers);
        let loops = vec![
            compio::runtime::spawn(follow_catalog(Rc::clone(&context))),
            compio::runtime::spawn(follow_upstreams(Rc::clone(&context))),
            compio::runtime::spawn(watch_feeds(Rc::clone(&context))),
            compio::runtime::spawn(run_lease(Rc::clone(&context))),
            compio::runtime::spawn(run_follow(Rc::clone(&context))),
            compio::runtime::spawn(run_report(Rc::clone(&context))),
            compio::runtime::spawn(run_crash_store(Rc::clone(&context))),
            compio::runtime::spawn(run_origin_check(Rc::clone(&context))),
            compio::runtime::spawn(run_origin_store(Rc::clone(&context))),
            compio::runtime::spawn(run_origin_sweep(Rc::clone(&context))),
            compio::runtime::spawn(run_orders(Rc::clone(&context))),
        ];
        let handler = ControlServer::open(Rc::clone(&context));
        let mut controls = Vec::new();
        for server in control_servers {
            controls.push(server.spawn(Rc::clone(&handler))?);
        }
        let closures = ClientClosures::open(context.metrics.cut_clients.clone());
        context.buffers.count_closures(closures.clone());
        let front = front.with_closures(closures);
        let front = front.spawn(FrontServer::open(Rc::clone(&context)))?;
        Ok(Self {
            context,
            front,
            controls,
            loops,
        })
    }

    /// Address for client connections.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.front.address()
    }

    /// Reports not ready, drains open requests and stops. Returns the number of connections closed at
    /// the end of the drain time.
    pub async fn shutdown(self) -> usize {
        self.context.begin_stop();
        release_lease(&self.context).await;
        compio::time::sleep(Duration::from_millis(BALANCER_REMOVAL_MS)).await;
        let limit_ms = self.context.node.drain_ms;
        let left_ms = limit_ms.saturating_sub(BALANCER_REMOVAL_MS + EXIT_RESERVE_MS);
        let closed = self.front.drain(left_ms).await;
        drop(self.controls);
        drop(self.loops);
        closed
    }
}
