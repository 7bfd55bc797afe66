//! Sends one attempt of a request to one agent.

use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response};

use super::agent_registry::AgentAddress;
use super::entry_context::EntryContext;
use super::request_draft::RequestDraft;
use crate::net::{PeerClient, full_body, read_body};
use crate::prelude::*;
use crate::refusal::ProblemDocument;
use crate::rpc::{ANSWER_HEADER, CRASH_HEADER, UpstreamCall, WORK_HEADER, WorkMetadata};

/// Milliseconds past the deadline for which an agent's reply is awaited.
const REPLY_GRACE_MS: u64 = 300;

/// Maximum size of a refusal in bytes.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;

/// Outcome of an attempt.
pub enum AttemptOutcome {
    /// The upstream's response, whose body is still to be read.
    Response(Response<Incoming>),
    /// The agent's refusal, with the ID of the engine crash at which the request was in
    /// flight, if any.
    Refused(RequestRefusal, Option<u64>),
    /// The attempt did not reach the agent.
    Unsent,
    /// The attempt may have reached the agent, but no valid reply arrived.
    Lost,
}

/// Sends an attempt and waits for the head of the response, or for the whole refusal.
pub async fn send_attempt(
    context: &EntryContext,
    draft: &RequestDraft,
    call: &UpstreamCall,
    attempt: AttemptId,
    agent: AgentAddress,
) -> AttemptOutcome {
    let now = context.now();
    let metadata = work_metadata(draft, call.clone(), attempt, now);
    let Some(request) = work_request(draft, &metadata, agent) else {
        return AttemptOutcome::Unsent;
    };
    let limit_ms = metadata.remaining_ms + REPLY_GRACE_MS;
    let sending = context.node.peers.send(agent.address, request);
    match compio::time::timeout(Duration::from_millis(limit_ms), sending).await {
        Ok(Err(error)) if PeerClient::was_unsent(&error) => AttemptOutcome::Unsent,
        Err(_) | Ok(Err(_)) => AttemptOutcome::Lost,
        Ok(Ok(response)) => read_reply(response).await,
    }
}

fn work_metadata(
    draft: &RequestDraft,
    call: UpstreamCall,
    attempt: AttemptId,
    now: MonoTime,
) -> WorkMetadata {
    let team = draft.fleet.teams.get(&draft.team);
    let content_type = draft.header("content-type");
    WorkMetadata {
        request: draft.id.clone(),
        attempt,
        team: draft.team.clone(),
        share: team.map_or(1, |team| team.share),
        rank: draft.rank.clone(),
        remaining_ms: draft.deadline.millis_since(now),
        call,
        run_key: draft.run_key.clone(),
        fingerprint: draft.fingerprint,
        suspect: draft.is_suspect,
        stream: draft.is_stream(),
        tokens: draft.tokens(),
        content_type: content_type.unwrap_or("application/json").to_owned(),
    }
}

fn work_request(
    draft: &RequestDraft,
    metadata: &WorkMetadata,
    agent: AgentAddress,
) -> Option<Request<crate::net::HttpBody>> {
    let json = serde_json::to_vec(metadata).ok()?;
    let value = HeaderValue::from_bytes(&json).ok()?;
    Request::post(format!("http://{}/work", agent.address))
        .header(WORK_HEADER, value)
        .body(full_body(draft.body.clone()))
        .ok()
}

async fn read_reply(response: Response<Incoming>) -> AttemptOutcome {
    let reply_kind = response.headers().get(ANSWER_HEADER).cloned();
    if reply_kind.as_ref().is_some_and(|value| value == "answer") {
        return AttemptOutcome::Response(response);
    }
    let crash = response.headers().get(CRASH_HEADER);
    let crash = crash.and_then(|value| value.to_str().ok()?.parse().ok());
    let body = read_body(response.into_body(), MAX_REFUSAL_BYTES, REPLY_GRACE_MS).await;
    let document: Option<ProblemDocument> = body
        .ok()
        .and_then(|body| serde_json::from_slice(&body).ok());
    match document {
        Some(document) => AttemptOutcome::Refused(document.refusal(), crash),
        None => AttemptOutcome::Lost,
    }
}
