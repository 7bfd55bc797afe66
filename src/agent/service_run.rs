//! Runs a request on a plain service.

use std::time::Duration;

use hyper::Request;
use hyper::header::{CONTENT_TYPE, HOST};

use super::agent_context::AgentContext;
use super::answer_relay::AnswerRelay;
use super::run_controller::{MAX_ANSWER_BYTES, RunEnd, RunJob};
use crate::admission::ServiceSample;
use crate::net::{BodyError, NetError, PeerClient, full_body, read_body, send_unpooled};
use crate::prelude::*;
use crate::run_once::RecordedAnswer;

/// Time limit for the answer to a non-idempotent call, in milliseconds; independent of the
/// caller's deadline.
const KEYED_TIMEOUT_MS: u64 = 60_000;

/// Time in milliseconds beyond the deadline that other calls wait for an answer.
const DEADLINE_GRACE_MS: u64 = 200;

/// Why a call got no answer.
enum CallFailure {
    /// The call was never sent.
    NotSent,
    /// The service may have run the call.
    Sent,
    /// The answer is too large to keep.
    TooLarge,
}

impl From<NetError> for CallFailure {
    fn from(error: NetError) -> Self {
        if PeerClient::was_unsent(&error) {
            Self::NotSent
        } else {
            Self::Sent
        }
    }
}

impl From<BodyError> for CallFailure {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLarge(_) => Self::TooLarge,
            BodyError::TooSlow(_)
            | BodyError::Truncated
            | BodyError::NoMemory(_)
            | BodyError::GaveWay => Self::Sent,
        }
    }
}

/// Runs the request and reads the complete answer.
pub async fn run_on_service(
    context: &AgentContext,
    job: &RunJob,
    method: &str,
    path: &str,
    relay: &mut AnswerRelay,
) -> RunEnd {
    let began_at = context.now();
    let is_keyed = job.metadata.run_key.is_some();
    let limit_ms = if is_keyed {
        KEYED_TIMEOUT_MS
    } else {
        job.deadline.millis_since(began_at) + DEADLINE_GRACE_MS
    };
    let calling = call_service(context, job, method, path);
    let watching = wait_until_abandoned(relay, is_keyed);
    futures_util::pin_mut!(calling, watching);
    let limited = compio::time::timeout(
        Duration::from_millis(limit_ms),
        futures_util::future::select(calling, watching),
    );
    match limited.await {
        Err(_) => RunEnd::Refused(RequestRefusal::unknown(RefusalReason::DeadlinePassed), None),
        Ok(futures_util::future::Either::Right(_)) => {
            RunEnd::Refused(RequestRefusal::unknown(RefusalReason::UpstreamLost), None)
        }
        Ok(futures_util::future::Either::Left((Ok(answer), _))) => {
            record_sample(context, began_at);
            RunEnd::Whole(answer)
        }
        Ok(futures_util::future::Either::Left((Err(failure), _))) => failed_end(&failure),
    }
}

fn failed_end(failure: &CallFailure) -> RunEnd {
    let refusal = match failure {
        CallFailure::NotSent => RequestRefusal::not_run(RefusalReason::UpstreamLost),
        CallFailure::Sent => RequestRefusal::unknown(RefusalReason::UpstreamLost),
        CallFailure::TooLarge => RequestRefusal::unknown(RefusalReason::UpstreamFailed),
    };
    RunEnd::Refused(refusal, None)
}

/// Returns when nobody waits for the answer of an idempotent call; never returns for a
/// keyed one, which must run to its end.
async fn wait_until_abandoned(relay: &AnswerRelay, is_keyed: bool) {
    const POLL_MS: u64 = 100;
    while is_keyed || !relay.is_abandoned() {
        compio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
}

/// Sends the call on a new connection: a pooled connection may be dead without notice, and
/// a call that must not be repeated could be lost on it.
async fn call_service(
    context: &AgentContext,
    job: &RunJob,
    method: &str,
    path: &str,
) -> Result<RecordedAnswer, CallFailure> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, context.config.upstream_address.to_string())
        .header("x-request-id", job.metadata.request.as_str())
        .header(CONTENT_TYPE, job.metadata.content_type.as_str())
        .body(full_body(job.body.clone()))
        .map_err(NetError::Request)?;
    let response = send_unpooled(context.config.upstream_address, request).await?;
    let status = response.status().as_u16();
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type = content_type
        .unwrap_or("application/octet-stream")
        .to_owned();
    let body = read_body(response.into_body(), MAX_ANSWER_BYTES, KEYED_TIMEOUT_MS).await?;
    Ok(RecordedAnswer {
        status,
        content_type,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

fn record_sample(context: &AgentContext, began_at: MonoTime) {
    let now = context.now();
    let first_us = now.millis_since(began_at) * 1_000;
    context.estimate.borrow_mut().sample(
        now,
        ServiceSample {
            first_us,
            rest_us: 0,
            tokens: 0,
            requested_tokens: 0,
        },
    );
    let running = context.running.get();
    context.limiter.borrow_mut().sample(now, first_us, running);
}
