//! Finds out what became of an attempt whose agent fell silent.

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

/// Milliseconds for one question to an agent.
const QUESTION_MS: u64 = 1_000;

/// Milliseconds between questions while the attempt runs.
const LOOK_MS: u64 = 50;

/// Milliseconds beyond the deadline for which a non-idempotent call is pursued.
const PURSUIT_MS: u64 = 1_500;

/// Largest status in bytes.
const MAX_STATUS_BYTES: usize = 256 * 1024;

/// What is known in the end.
pub enum LostVerdict {
    /// The attempt has not run and never will.
    NeverRuns,
    /// The attempt's answer.
    Answer(RecordedAnswer),
    /// The agent's refusal.
    Refused(RequestRefusal),
    /// Nothing is certain.
    Unknown,
}

/// Pursues a lost attempt: forbids it at the agent if it has not started, else waits for
/// its answer; for a non-idempotent call whose agent stays silent, voids it in the table.
pub async fn resolve_lost(
    context: &EntryContext,
    draft: &RequestDraft,
    attempt: AttemptId,
    agent: AgentAddress,
) -> LostVerdict {
    let until = draft.deadline + PURSUIT_MS;
    while context.now() < until {
        let Some(status) = ask_agent(context, &Method::DELETE, attempt, agent).await else {
            break;
        };
        match status {
            AttemptStatus::Refused(refusal) if refusal.outcome == RefusalOutcome::NotRun => {
                return LostVerdict::NeverRuns;
            }
            AttemptStatus::Refused(refusal) => return LostVerdict::Refused(refusal),
            AttemptStatus::Done(answer) => return LostVerdict::Answer(answer),
            AttemptStatus::Ended | AttemptStatus::Unseen => break,
            AttemptStatus::Waiting | AttemptStatus::Running => {
                compio::time::sleep(Duration::from_millis(LOOK_MS)).await;
            }
        }
    }
    match &draft.run_key {
        Some(key) => void_in_table(context, draft, key, attempt).await,
        None => LostVerdict::Unknown,
    }
}

async fn ask_agent(
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
    let asking = async {
        let response = context.node.peers.send(agent.address, request).await.ok()?;
        let body = read_body(response.into_body(), MAX_STATUS_BYTES, QUESTION_MS).await;
        serde_json::from_slice(&body.ok()?).ok()
    };
    compio::time::timeout(Duration::from_millis(QUESTION_MS), asking)
        .await
        .ok()
        .flatten()
}

async fn void_in_table(
    context: &EntryContext,
    draft: &RequestDraft,
    key: &str,
    attempt: AttemptId,
) -> LostVerdict {
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
    match void_attempt(&recorder, PURSUIT_MS).await {
        VoidVerdict::NeverRuns => LostVerdict::NeverRuns,
        VoidVerdict::Ran(answer) => LostVerdict::Answer(answer),
        VoidVerdict::Unknown => LostVerdict::Unknown,
    }
}
