//! A request while it passes the filters and is dispatched.

use std::rc::Rc;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};

use crate::net::BufferLease;
use crate::prelude::*;
use crate::quarantine::RequestFingerprint;
use crate::rpc::{ChatParams, UpstreamCall};
use crate::settings::{FleetSettings, KindSettings};

/// Maximum length in bytes of a request identifier accepted from a caller.
const MAX_REQUEST_ID_BYTES: usize = 64;

/// Route that a caller's path selects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerRoute {
    /// Chat completions of a model engine.
    Chat,
    /// A plain service, with the rest of the path and the query.
    Service(ServiceName, String),
}

impl CallerRoute {
    /// Determines the route of a request.
    ///
    /// # Errors
    /// `UnknownRoute` if no route matches method and path.
    pub fn of(method: &Method, uri: &Uri) -> Result<Self, RequestRefusal> {
        let unknown = RequestRefusal::not_run(RefusalReason::UnknownRoute);
        let path = uri.path();
        if path == "/v1/chat/completions" {
            return if method == Method::POST {
                Ok(Self::Chat)
            } else {
                Err(unknown)
            };
        }
        let rest = path.strip_prefix("/svc/").ok_or(unknown)?;
        let (service, rest) = rest.split_once('/').unwrap_or((rest, ""));
        if service.is_empty() {
            return Err(unknown);
        }
        let query = uri.query().map(|query| format!("?{query}"));
        let path = format!("/{rest}{}", query.unwrap_or_default());
        Ok(Self::Service(ServiceName::from(service), path))
    }
}

/// A request with the fields that the filters fill in, one filter after another.
#[derive(Debug, Clone)]
pub struct RequestDraft {
    /// Request identifier: the caller's, else a random one.
    pub id: String,
    /// Settings in force when the request arrived.
    pub fleet: Rc<FleetSettings>,
    /// HTTP method.
    pub method: Method,
    /// Route of the request.
    pub route: CallerRoute,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body; empty until the head filters have passed.
    pub body: Bytes,
    /// Memory that the body takes; `None` until it is read.
    pub memory: Option<Rc<BufferLease>>,
    /// Arrival time of the request.
    pub arrived_at: MonoTime,
    /// Team of the caller; empty until the credential is checked.
    pub team: TeamName,
    /// Settings of the kind of work; `None` until known, and for requests that name no kind.
    pub kind: Option<KindSettings>,
    /// Rank of the request; empty until known.
    pub rank: RankName,
    /// Time by which the caller expects the response.
    pub deadline: MonoTime,
    /// Idempotency key of a non-idempotent call; `None` for other calls.
    pub run_key: Option<String>,
    /// Fields of a chat request; `None` until the body is parsed, and for plain services.
    pub chat: Option<ChatParams>,
    /// The call to send to an upstream; `None` until its target is known.
    pub call: Option<UpstreamCall>,
    /// Whether the caller named a version of the model.
    pub is_version_fixed: bool,
    /// Fingerprint of team and body, by which the quarantine identifies the request.
    pub fingerprint: RequestFingerprint,
    /// Whether the request was in flight at an engine crash.
    pub is_suspect: bool,
}

impl RequestDraft {
    /// Creates a draft from the head of a request; its deadline is the arrival time until a filter
    /// sets it.
    #[must_use]
    pub fn open(
        fleet: Rc<FleetSettings>,
        method: Method,
        route: CallerRoute,
        headers: HeaderMap,
        arrived_at: MonoTime,
    ) -> Self {
        Self {
            id: request_id(&headers),
            fleet,
            method,
            route,
            headers,
            body: Bytes::new(),
            memory: None,
            arrived_at,
            team: TeamName::default(),
            kind: None,
            rank: RankName::default(),
            deadline: arrived_at,
            run_key: None,
            chat: None,
            call: None,
            is_version_fixed: false,
            fingerprint: RequestFingerprint(0),
            is_suspect: false,
        }
    }

    /// Value of a header; `None` if it is absent or not visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Whether the caller asked for a streamed response.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        self.chat.as_ref().is_some_and(|chat| chat.stream)
    }

    /// Output tokens requested; zero for plain services.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.chat.as_ref().map_or(0, |chat| chat.tokens)
    }
}

fn request_id(headers: &HeaderMap) -> String {
    let given = headers.get("x-request-id");
    let given = given.and_then(|value| value.to_str().ok());
    match given {
        Some(id) if !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES => id.to_owned(),
        _ => AttemptId::random().to_string(),
    }
}
