//! Resolves the outcome of an attempt whose agent stopped answering.

use std::rc::Rc;
use std::time::Duration;

use hyper::{Method, Request};

use super::agent_registry::AgentAddress;
use super::entry_context::EntryContext;
use super::request_draft::RequestDraft;
use crate::agent::{AttemptStatus, RunRecorder, VoidVerdict, void_attempt};
use crate::net::{empty_body, read_body};
use crate::prelude::*;
use crate::run_once::{RecordedAnswer, RunKey};

/// Timeout in milliseconds of one status request to an agent.
const STATUS_TIMEOUT_MS: u64 = 1_000;

/// Milliseconds between status requests while the attempt waits or runs.
const STATUS_POLL_MS: u64 = 50;

/// Milliseconds past the deadline for which the agent is asked, and then the limit for voiding
/// a non-idempotent call in the table.
const RESOLVE_GRACE_MS: u64 = 1_500;

/// Maximum size of a status in bytes.
const MAX_STATUS_BYTES: usize = 256 * 1024;

/// What is known about a lost attempt in the end.
pub enum LossResolution {
    /// The attempt has not run and never will.
    NeverRuns,
    /// The attempt ran, with this answer.
    Answered(RecordedAnswer),
    /// The agent refused the attempt, which may have run.
    Refused(RequestRefusal),
    /// Whether the attempt ran is not known.
    Unknown,
}

/// Resolves a lost attempt: cancels it at the agent if it has not started, else waits for its
/// answer. If the agent cannot tell and the call is non-idempotent, voids the attempt in the
/// table.
pub async fn resolve_lost_attempt(
    context: &EntryContext,
    draft: &RequestDraft,
    attempt: AttemptId,
    agent: AgentAddress,
) -> LossResolution {
    let give_up_at = draft.deadline + RESOLVE_GRACE_MS;
    while context.now() < give_up_at {
        let Some(status) = request_status(context, &Method::DELETE, attempt, agent).await else {
            break;
        };
        match status {
            AttemptStatus::Refused(refusal) if refusal.outcome == RefusalOutcome::NotRun => {
                return LossResolution::NeverRuns;
            }
            AttemptStatus::Refused(refusal) => return LossResolution::Refused(refusal),
            AttemptStatus::Done(answer) => return LossResolution::Answered(answer),
            AttemptStatus::Ended | AttemptStatus::Unseen => break,
            AttemptStatus::Waiting | AttemptStatus::Running => {
                compio::time::sleep(Duration::from_millis(STATUS_POLL_MS)).await;
            }
        }
    }
    match &draft.run_key {
        Some(key) => void_in_table(context, draft, key, attempt).await,
        None => LossResolution::Unknown,
    }
}

async fn request_status(
    context: &EntryContext,
    method: &Method,
    attempt: AttemptId,
    agent: AgentAddress,
) -> Option<AttemptStatus> {
    let path = format!("/attempts/{}/{attempt}", agent.start_id);
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", agent.address))
        .body(empty_body())
        .ok()?;
    let exchange = async {
        let response = context.node.peers.send(agent.address, request).await.ok()?;
        let body = read_body(response.into_body(), MAX_STATUS_BYTES, STATUS_TIMEOUT_MS).await;
        serde_json::from_slice(&body.ok()?).ok()
    };
    compio::time::timeout(Duration::from_millis(STATUS_TIMEOUT_MS), exchange)
        .await
        .ok()
        .flatten()
}

async fn void_in_table(
    context: &EntryContext,
    draft: &RequestDraft,
    key: &str,
    attempt: AttemptId,
) -> LossResolution {
    let run_key = RunKey {
        team: draft.team.clone(),
        key: key.to_owned(),
    };
    let recorder = RunRecorder::open(
        Rc::clone(&context.node),
        &run_key,
        attempt,
        draft.fingerprint,
    );
    match void_attempt(&recorder, RESOLVE_GRACE_MS).await {
        VoidVerdict::NeverRuns => LossResolution::NeverRuns,
        VoidVerdict::Ran(answer) => LossResolution::Answered(answer),
        VoidVerdict::Unknown => LossResolution::Unknown,
    }
}
