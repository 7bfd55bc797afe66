//! Stand-in for a plain service: a non-idempotent call that counts its runs, and lookups.

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

/// Maximum size of a request body.
const MAX_REQUEST_BYTES: usize = 1024 * 1024;

/// Time limit for reading a request body.
const REQUEST_TIMEOUT_MS: u64 = 5_000;

/// Options of a plain service.
#[derive(Debug, Clone, Copy)]
pub struct ServiceOptions {
    /// Duration of a call in milliseconds.
    pub call_ms: u64,
}

/// Audit of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ServiceAudit {
    /// How often each batch was stamped; absent if never.
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

/// Stand-in for a plain service.
#[derive(Debug)]
pub struct ServiceStandin {
    options: ServiceOptions,
    audit: RefCell<ServiceAudit>,
    certificates: Cell<u64>,
    /// Faults of all calls; `POST /fault` sets them.
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

    /// Copy of the audit.
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

    /// Stamps the batch before the delay: a caller that gives up does not undo the effect.
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
