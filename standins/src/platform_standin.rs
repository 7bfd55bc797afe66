//! Table, instance list and weight store behind one address.

use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use quetzalpin::net::{HttpBody, HttpHandler, HttpServer, ServerHandle, json_response, read_body};
use quetzalpin::table::TableTxn;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::errors::StandinError;
use crate::fault_switch::{FaultSwitch, abort_response};
use crate::member_list::MemberList;
use crate::table_standin::{RowQuery, TableStandin};
use crate::weight_store::{WeightLimits, WeightStore};

/// Maximum size of a request body.
const MAX_REQUEST_BYTES: usize = 16 * 1024 * 1024;

/// Time limit for reading a request body.
const REQUEST_TIMEOUT_MS: u64 = 5_000;

/// Handle to a running stand-in; dropping it stops the stand-in at once.
#[derive(Debug)]
pub struct StandinHandle<S> {
    /// State of the stand-in, shared with its request handlers.
    pub state: Rc<S>,
    serving: ServerHandle,
}

impl<S> StandinHandle<S> {
    /// Combines the state with the server that serves it.
    pub const fn open(state: Rc<S>, serving: ServerHandle) -> Self {
        Self { state, serving }
    }

    /// Address at which the stand-in listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.serving.address()
    }
}

/// Request of an engine for the weights of a model or adapter.
#[derive(Debug, Deserialize)]
struct FetchRequest {
    millis: u64,
    is_adapter: bool,
}

/// Stand-in for the platform.
#[derive(Debug)]
pub struct PlatformStandin {
    /// Transactional table.
    pub table: TableStandin,
    /// Instance list.
    pub members: MemberList,
    /// Rate-limited weight store.
    pub weights: WeightStore,
    /// Faults of the table; `POST /fault` sets them.
    pub table_faults: FaultSwitch,
    /// Faults of the instance list.
    pub member_faults: FaultSwitch,
}

impl PlatformStandin {
    /// Binds the address and starts serving.
    ///
    /// # Errors
    /// [`StandinError::Net`] if the address is taken.
    pub async fn spawn(
        address: SocketAddr,
        limits: WeightLimits,
    ) -> Result<StandinHandle<Self>, StandinError> {
        let state = Rc::new(Self {
            table: TableStandin::default(),
            members: MemberList::default(),
            weights: WeightStore::open(limits),
            table_faults: FaultSwitch::default(),
            member_faults: FaultSwitch::default(),
        });
        let server = HttpServer::bind(address).await?;
        let serving = server.spawn(Rc::clone(&state))?;
        Ok(StandinHandle::open(state, serving))
    }

    async fn route(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let request = match self.table_faults.accept_config(request).await {
            Ok(response) => return response,
            Err(request) => request,
        };
        let path = request.uri().path().to_owned();
        if let Some(operation) = path.strip_prefix("/table/") {
            return self.table_route(operation, request).await;
        }
        match path.as_str() {
            "/members" => self.list_members().await,
            "/members/update" => self.update_members(request).await,
            "/weights" => self.fetch(request).await,
            _ => not_found(),
        }
    }

    async fn table_route(&self, operation: &str, request: Request<Incoming>) -> Response<HttpBody> {
        if !self.table_faults.admit().await {
            return abort_response();
        }
        let response = match operation {
            "commit" => respond_to_json(request, |txn: TableTxn| self.table.commit(&txn)).await,
            "read" => respond_to_json(request, |query: RowQuery| self.table.read(&query.key)).await,
            "scan" => respond_to_json(request, |query: RowQuery| self.table.scan(&query)).await,
            _ => not_found(),
        };
        self.table_faults.apply_answer_loss(response)
    }

    async fn list_members(&self) -> Response<HttpBody> {
        if self.member_faults.admit().await {
            json_response(StatusCode::OK, &self.members.visible())
        } else {
            abort_response()
        }
    }

    async fn update_members(&self, request: Request<Incoming>) -> Response<HttpBody> {
        respond_to_json(request, |members| {
            self.members.update(|list| *list = members);
        })
        .await
    }

    async fn fetch(&self, request: Request<Incoming>) -> Response<HttpBody> {
        let Some(request) = read_json::<FetchRequest>(request).await else {
            return not_found();
        };
        if request.is_adapter {
            self.weights.fetch_adapter(request.millis).await;
        } else {
            self.weights.fetch_model(request.millis).await;
        }
        json_response(StatusCode::OK, &())
    }
}

impl HttpHandler for PlatformStandin {
    fn handle(
        self: Rc<Self>,
        _peer: SocketAddr,
        request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<HttpBody>> {
        Box::pin(async move { self.route(request).await })
    }
}

async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let body = read_body(request.into_body(), MAX_REQUEST_BYTES, REQUEST_TIMEOUT_MS).await;
    serde_json::from_slice(&body.ok()?).ok()
}

async fn respond_to_json<T: DeserializeOwned, R: serde::Serialize>(
    request: Request<Incoming>,
    work: impl FnOnce(T) -> R,
) -> Response<HttpBody> {
    match read_json(request).await {
        Some(value) => json_response(StatusCode::OK, &work(value)),
        None => json_response(StatusCode::BAD_REQUEST, &"not understood"),
    }
}

fn not_found() -> Response<HttpBody> {
    json_response(StatusCode::NOT_FOUND, &"no such path")
}
