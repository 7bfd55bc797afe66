//! HTTP routes by which operators and teams read and change settings.

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};

use super::caller_response::refusal_response;
use super::entry_context::EntryContext;
use super::settings_editor::{ApplyOutcome, SettingsChange, apply_change, history_prefix};
use crate::daemon::bearer_token;
use crate::net::{HttpBody, json_response, read_body};
use crate::prelude::*;
use crate::settings::{SettingsRow, SubtreeName, credential_digest};
use crate::table::RowRevision;

/// Header with the revision that a change is based on.
const BASED_ON_HEADER: &str = "if-match";

/// Header with the author of a change.
const AUTHOR_HEADER: &str = "x-author";

/// Maximum size of a subtree's text in bytes.
const MAX_TEXT_BYTES: usize = 8 * 1024 * 1024;

/// Timeout in milliseconds for reading a subtree's text.
const TEXT_TIMEOUT_MS: u64 = 10_000;

/// Subtrees that a credential gives access to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorScope {
    /// All subtrees.
    All,
    /// One team's subtree.
    Team(TeamName),
}

impl OperatorScope {
    /// Determines the scope of a request's credential; `None` if the credential is missing or
    /// unknown. Until settings have been read, only the first operator's credential is known.
    #[must_use]
    pub fn of(context: &EntryContext, request: &Request<Incoming>) -> Option<Self> {
        let token = bearer_token(request)?;
        let digest = credential_digest(token);
        let Ok(fleet) = context.node.fleet() else {
            let first_digest = context.config.first_operator_sha256.as_deref();
            return (first_digest == Some(digest.as_str())).then_some(Self::All);
        };
        if fleet.operator_sha256 == digest {
            return Some(Self::All);
        }
        fleet.team_of(token).cloned().map(Self::Team)
    }

    /// Whether the scope includes a subtree.
    #[must_use]
    pub fn covers(&self, subtree: &SubtreeName) -> bool {
        match self {
            Self::All => true,
            Self::Team(team) => *subtree == SubtreeName::Team(team.clone()),
        }
    }

    /// The team that the scope is limited to; `None` for operators.
    #[must_use]
    pub const fn team(&self) -> Option<&TeamName> {
        match self {
            Self::All => None,
            Self::Team(team) => Some(team),
        }
    }
}

/// Serves `/ops/settings` and the paths below it.
pub async fn settings_route(
    context: &EntryContext,
    scope: &OperatorScope,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path
        .trim_start_matches("/ops/settings")
        .split('/')
        .collect();
    let method = request.method().clone();
    match (method, parts.as_slice()) {
        (Method::GET, [""] | ["", ""]) => show_all(context, scope),
        (Method::GET, ["", name]) => match permitted_subtree(scope, name) {
            Ok(subtree) => show_one(context, &subtree),
            Err(refusal) => refuse(context, refusal),
        },
        (Method::GET, ["", name, "history"]) => match permitted_subtree(scope, name) {
            Ok(subtree) => show_history(context, &subtree).await,
            Err(refusal) => refuse(context, refusal),
        },
        (Method::PUT, ["", name]) => match permitted_subtree(scope, name) {
            Ok(subtree) => apply(context, subtree, request).await,
            Err(refusal) => refuse(context, refusal),
        },
        _ => refuse(
            context,
            RequestRefusal::not_run(RefusalReason::UnknownRoute),
        ),
    }
}

fn permitted_subtree(scope: &OperatorScope, name: &str) -> Result<SubtreeName, RequestRefusal> {
    let unknown = RequestRefusal::not_run(RefusalReason::UnknownRoute);
    let subtree = SubtreeName::parse(name).ok_or(unknown)?;
    if scope.covers(&subtree) {
        Ok(subtree)
    } else {
        Err(RequestRefusal::not_run(RefusalReason::WrongCredential))
    }
}

fn refuse(context: &EntryContext, refusal: RequestRefusal) -> Response<HttpBody> {
    refusal_response(&context.node.metrics, "", refusal, None)
}

fn show_all(context: &EntryContext, scope: &OperatorScope) -> Response<HttpBody> {
    let rows = context.node.settings.borrow().rows();
    let visible: Vec<SettingsRow> = rows
        .into_iter()
        .filter(|row| scope.covers(&row.subtree))
        .collect();
    json_response(StatusCode::OK, &visible)
}

fn show_one(context: &EntryContext, subtree: &SubtreeName) -> Response<HttpBody> {
    let rows = context.node.settings.borrow().rows();
    match rows.into_iter().find(|row| row.subtree == *subtree) {
        Some(row) => json_response(StatusCode::OK, &row),
        None => refuse(
            context,
            RequestRefusal::not_run(RefusalReason::UnknownRoute),
        ),
    }
}

async fn show_history(context: &EntryContext, subtree: &SubtreeName) -> Response<HttpBody> {
    let prefix = history_prefix(subtree);
    match context.node.table.scan(prefix, RowRevision::ABSENT).await {
        Ok(rows) => {
            let decoded = rows.iter().filter_map(|row| row.decode().ok().flatten());
            let history: Vec<SettingsRow> = decoded.collect();
            json_response(StatusCode::OK, &history)
        }
        Err(error) => table_failure(context, RefusalOutcome::NotRun, error.to_string()),
    }
}

fn table_failure(
    context: &EntryContext,
    outcome: RefusalOutcome,
    detail: String,
) -> Response<HttpBody> {
    let refusal = RequestRefusal {
        reason: RefusalReason::RecordUnavailable,
        outcome,
    };
    refusal_response(&context.node.metrics, "", refusal, Some(detail))
}

async fn apply(
    context: &EntryContext,
    subtree: SubtreeName,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    let header = |name: &str| {
        let value = request.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let based_on = header(BASED_ON_HEADER).and_then(|text| text.trim_matches('"').parse().ok());
    let author = header(AUTHOR_HEADER).unwrap_or_else(|| "unnamed".to_owned());
    let is_dry_run = request.uri().query() == Some("dry_run=true");
    let Some(based_on) = based_on else {
        let refusal = RequestRefusal::not_run(RefusalReason::MalformedHeader);
        let detail = "If-Match must carry the revision that the change is based on";
        return refusal_response(&context.node.metrics, "", refusal, Some(detail.to_owned()));
    };
    let body = read_body(request.into_body(), MAX_TEXT_BYTES, TEXT_TIMEOUT_MS).await;
    let text = body
        .ok()
        .and_then(|body| String::from_utf8(body.into()).ok());
    let Some(text) = text else {
        return refuse(
            context,
            RequestRefusal::not_run(RefusalReason::MalformedBody),
        );
    };
    let change = SettingsChange {
        subtree,
        based_on,
        text,
        author,
        is_dry_run,
    };
    match apply_change(&context.node, &change).await {
        Ok(outcome) => json_response(outcome_status(&outcome), &outcome),
        Err(error) => table_failure(context, RefusalOutcome::Unknown, error.to_string()),
    }
}

const fn outcome_status(outcome: &ApplyOutcome) -> StatusCode {
    match outcome {
        ApplyOutcome::Applied(_) => StatusCode::OK,
        ApplyOutcome::Conflict(_) => StatusCode::CONFLICT,
        ApplyOutcome::Invalid(_) => StatusCode::UNPROCESSABLE_ENTITY,
    }
}
