//! HTTP server for readiness, metrics and RPC calls of other processes.

use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use super::GatewayContext;
use super::planner_server::PlannerServer;
use crate::daemon::text_response;
use crate::net::{HttpBody, HttpHandler};
use crate::planner_rpc::PlannerApiServer;
use crate::rpc::RpcEndpoint;

/// Serves the readiness, metrics and RPC endpoints.
pub struct ControlServer {
    context: Rc<GatewayContext>,
    rpc: RpcEndpoint,
}

impl ControlServer {
    /// Creates the handler.
    #[must_use]
    pub fn open(context: Rc<GatewayContext>) -> Rc<Self> {
        let rpc = RpcEndpoint::open(PlannerServer::open(Rc::clone(&context)).into_rpc())
            .within(Rc::clone(&context.buffers));
        Rc::new(Self { context, rpc })
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let path = request.uri().path();
        if path == self.context.config.ready_path {
            return if self.context.is_ready() {
                text_response(StatusCode::OK, "ready\n".to_owned(), "text/plain")
            } else {
                let text = "not ready\n".to_owned();
                text_response(StatusCode::SERVICE_UNAVAILABLE, text, "text/plain")
            };
        }
        match path {
            "/rpc" => self.rpc.handle(request).await,
            "/metrics" => {
                self.measure_buffers();
                let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
                text_response(StatusCode::OK, self.context.metrics.encode(), content_type)
            }
            _ => text_response(StatusCode::NOT_FOUND, String::new(), "text/plain"),
        }
    }
}

impl ControlServer {
    fn measure_buffers(&self) {
        let gauge_value = |bytes: usize| i64::try_from(bytes).unwrap_or(i64::MAX);
        let (buffers, metrics) = (&self.context.buffers, &self.context.metrics);
        metrics.message_bytes.set(gauge_value(buffers.used_bytes()));
        let limit = gauge_value(buffers.limit_bytes());
        metrics.message_bytes_limit.set(limit);
    }
}

impl HttpHandler for ControlServer {
    fn handle(
        self: Rc<Self>,
        _peer: SocketAddr,
        request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<HttpBody>> {
        Box::pin(async move { self.answer(request).await })
    }
}
