//! A request on its way through the filters.

use std::rc::Rc;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};

use crate::prelude::*;
use crate::quarantine::RequestFingerprint;
use crate::rpc::{ChatParams, UpstreamCall};
use crate::settings::{FleetSettings, KindSettings};

/// Longest request identifier taken from a caller, in bytes.
const MAX_REQUEST_ID: usize = 64;

/// Where a caller's path leads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerRoute {
    /// The chat interface of model engines.
    Chat,
    /// A plain service with the rest of the path.
    Service(ServiceName, String),
}

impl CallerRoute {
    /// Finds the route of a request.
    ///
    /// # Errors
    /// `UnknownRoute` if there is none.
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

/// What filters fill in, one after another.
#[derive(Debug, Clone)]
pub struct RequestDraft {
    /// Identifier, the caller's or a new one.
    pub id: String,
    /// Settings in force when the request arrived.
    pub fleet: Rc<FleetSettings>,
    /// HTTP method.
    pub method: Method,
    /// Where it leads.
    pub route: CallerRoute,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body; empty while the head is filtered.
    pub body: Bytes,
    /// When it arrived.
    pub arrived_at: MonoTime,
    /// The team, once its credential is checked.
    pub team: TeamName,
    /// The kind of work, once known.
    pub kind: Option<KindSettings>,
    /// The rank, once known.
    pub rank: RankName,
    /// Point by which the answer is due.
    pub deadline: MonoTime,
    /// The idempotency key of a non-idempotent call.
    pub run_key: Option<String>,
    /// Fields of a chat request, once read.
    pub chat: Option<ChatParams>,
    /// Where it goes, once known.
    pub call: Option<UpstreamCall>,
    /// Whether the caller named a version.
    pub is_version_fixed: bool,
    /// Fingerprint of the body.
    pub fingerprint: RequestFingerprint,
    /// Seen in flight at a crash.
    pub suspect: bool,
}

impl RequestDraft {
    /// Opens a draft from a request's head.
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
            suspect: false,
        }
    }

    /// A header's text, if it is there and readable.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Whether the answer is a stream.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        self.chat.as_ref().is_some_and(|chat| chat.stream)
    }

    /// Tokens asked for; zero for plain services.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.chat.as_ref().map_or(0, |chat| chat.tokens)
    }
}

fn request_id(headers: &HeaderMap) -> String {
    let given = headers.get("x-request-id");
    let given = given.and_then(|value| value.to_str().ok());
    match given {
        Some(id) if !id.is_empty() && id.len() <= MAX_REQUEST_ID => id.to_owned(),
        _ => AttemptId::random().to_string(),
    }
}
