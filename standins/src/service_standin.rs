//! A plain service: a non-idempotent call that counts its runs, and lookups.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use quetzalpin::net::{HttpBody, HttpHandler, HttpServer, json_response, read_body};
use serde::{Deserialize, Serialize};

use crate::errors::StandinError;
use crate::fault_switch::{FaultSwitch, abort_response};
use crate::platform_standin::StandinHandle;

/// Largest request in bytes.
const MAX_REQUEST_BYTES: usize = 1024 * 1024;

/// Milliseconds that a request may take to arrive.
const REQUEST_TIMEOUT_MS: u64 = 5_000;

/// How the service behaves.
#[derive(Debug, Clone, Copy)]
pub struct ServiceOptions {
    /// Milliseconds that a call takes.
    pub call_ms: u64,
}

/// Runs of each stamped batch.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ServiceAudit {
    /// How often each batch was stamped.
    pub stamps: BTreeMap<String, u32>,
}

#[derive(Debug, Deserialize)]
struct StampRequest {
    batch: String,
}

#[derive(Debug, Serialize)]
struct StampResponse {
    batch: String,
    certificate: u64,
}

/// The service.
#[derive(Debug)]
pub struct ServiceStandin {
    options: ServiceOptions,
    audit: RefCell<ServiceAudit>,
    certificates: Cell<u64>,
    /// Faults on command.
    pub faults: FaultSwitch,
}

impl ServiceStandin {
    /// Binds the address and starts serving.
    ///
    /// # Errors
    /// [`StandinError::Net`] if the address is taken.
    pub async fn spawn(
        address: SocketAddr,
        options: ServiceOptions,
    ) -> Result<StandinHandle<Self>, StandinError> {
        let state = Rc::new(Self {
            options,
            audit: RefCell::default(),
            certificates: Cell::new(0),
            faults: FaultSwitch::default(),
        });
        let server = HttpServer::bind(address).await?;
        let serving = server.spawn(Rc::clone(&state))?;
        Ok(StandinHandle::open(state, serving))
    }

    /// What the service did.
    pub fn audit(&self) -> ServiceAudit {
        self.audit.borrow().clone()
    }

    async fn route(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let request = match self.faults.accept_config(request).await {
            Ok(response) => return response,
            Err(request) => request,
        };
        if request.uri().path() == "/audit" {
            return json_response(StatusCode::OK, &self.audit());
        }
        if !self.faults.admit().await {
            return abort_response();
        }
        let response = match (request.method(), request.uri().path()) {
            (&Method::POST, "/stamp") => self.stamp(request).await,
            (&Method::GET, "/lookup") => self.lookup(&request).await,
            _ => json_response(StatusCode::NOT_FOUND, &"no such call"),
        };
        self.faults.apply_answer_loss(response)
    }

    /// The effect comes first: a caller that gives up does not undo it.
    async fn stamp(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let body = read_body(request.into_body(), MAX_REQUEST_BYTES, REQUEST_TIMEOUT_MS).await;
        let stamp_request = body
            .ok()
            .and_then(|body| serde_json::from_slice(&body).ok());
        let Some(StampRequest { batch }) = stamp_request else {
            return json_response(StatusCode::BAD_REQUEST, &"a stamp names a batch");
        };
        self.count_stamp(&batch);
        self.certificates.set(self.certificates.get() + 1);
        let certificate = self.certificates.get();
        compio::time::sleep(Duration::from_millis(self.options.call_ms)).await;
        json_response(StatusCode::OK, &StampResponse { batch, certificate })
    }

    fn count_stamp(&self, batch: &str) {
        let mut audit = self.audit.borrow_mut();
        *audit.stamps.entry(batch.to_owned()).or_insert(0) += 1;
    }

    async fn lookup(&self, request: &Request<Incoming>) -> Response<HttpBody> {
        compio::time::sleep(Duration::from_millis(self.options.call_ms)).await;
        let query = request.uri().query().unwrap_or_default().to_owned();
        json_response(StatusCode::OK, &query)
    }
}

impl HttpHandler for ServiceStandin {
    fn handle(
        self: Rc<Self>,
        _peer: SocketAddr,
        request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<HttpBody>> {
        Box::pin(async move { self.route(request).await })
    }
}
