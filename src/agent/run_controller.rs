//! Lifecycle of one request, from its arrival at the agent to its end.

use std::rc::Rc;

use bytes::Bytes;
use hyper::Response;

use super::admission_controller::{RunTicket, admit};
use super::agent_context::AgentContext;
use super::answer_relay::{AnswerRelay, RunReply, refusal_response, reply_response};
use super::attempt_registry::AttemptStatus;
use super::engine_run::run_on_engine;
use super::run_recorder::{RunRecorder, StartVerdict};
use super::service_run::run_on_service;
use crate::net::HttpBody;
use crate::prelude::*;
use crate::rpc::{UpstreamCall, WorkMetadata};
use crate::run_once::{RecordedAnswer, RunKey};

/// Largest answer that is not streamed, in bytes; it is buffered before it is relayed.
pub const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// A request that has been granted a ticket.
pub struct RunJob {
    /// The request.
    pub metadata: Rc<WorkMetadata>,
    /// Its body.
    pub body: Bytes,
    /// When the answer is due.
    pub deadline: MonoTime,
    /// Right to run at the upstream; released when the job is dropped.
    pub ticket: RunTicket,
}

/// How a run ended.
pub enum RunEnd {
    /// A complete answer, not yet relayed.
    Whole(RecordedAnswer),
    /// A streamed answer, already relayed.
    Streamed,
    /// No complete answer; with the number of the crash at which the request was in flight,
    /// if any.
    Refused(RequestRefusal, Option<u64>),
}

/// Serves one attempt; a repeated attempt id is not run again.
pub async fn serve_attempt(
    context: Rc<AgentContext>,
    metadata: WorkMetadata,
    body: Bytes,
) -> Response<HttpBody> {
    let now = context.now();
    let deadline = now + metadata.remaining_ms;
    let attempt = metadata.attempt;
    let begun = context.attempts.borrow_mut().begin(now, attempt);
    if let Err(status) = begun {
        return duplicate_response(&status);
    }
    let metadata = Rc::new(metadata);
    match wait_for_ticket(&context, &metadata, deadline).await {
        Ok(ticket) => {
            let job = RunJob {
                metadata,
                body,
                deadline,
                ticket,
            };
            run_job(context, job).await
        }
        Err(refusal) => {
            let status = AttemptStatus::Refused(refusal);
            let mut attempts = context.attempts.borrow_mut();
            attempts.set(context.now(), attempt, status);
            refusal_response(refusal, None)
        }
    }
}

fn duplicate_response(status: &AttemptStatus) -> Response<HttpBody> {
    match status {
        AttemptStatus::Refused(refusal) => refusal_response(*refusal, None),
        _ => refusal_response(RequestRefusal::unknown(RefusalReason::ResultUnknown), None),
    }
}

/// Marks the attempt as refused if its handler is dropped while the attempt waits in the
/// queue.
struct WaitingGuard {
    context: Rc<AgentContext>,
    attempt: AttemptId,
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        let mut attempts = self.context.attempts.borrow_mut();
        if attempts.status(self.attempt) == AttemptStatus::Waiting {
            let refusal = RequestRefusal::not_run(RefusalReason::UpstreamLost);
            let status = AttemptStatus::Refused(refusal);
            attempts.set(self.context.now(), self.attempt, status);
        }
    }
}

async fn wait_for_ticket(
    context: &Rc<AgentContext>,
    metadata: &Rc<WorkMetadata>,
    deadline: MonoTime,
) -> Result<RunTicket, RequestRefusal> {
    let guard = WaitingGuard {
        context: Rc::clone(context),
        attempt: metadata.attempt,
    };
    let mut queue_guard = admit(context, metadata, deadline)?;
    let granted = (&mut queue_guard.granted).await;
    let leaving = RequestRefusal::not_run(RefusalReason::UpstreamLeaving);
    let ticket = granted.map_err(|_| leaving)??;
    let mut attempts = context.attempts.borrow_mut();
    if let AttemptStatus::Refused(refusal) = attempts.status(metadata.attempt) {
        return Err(refusal);
    }
    attempts.set(context.now(), metadata.attempt, AttemptStatus::Running);
    drop(attempts);
    drop(guard);
    Ok(ticket)
}

/// Runs the job in a separate task, which continues if the entry disconnects.
async fn run_job(context: Rc<AgentContext>, job: RunJob) -> Response<HttpBody> {
    let (relay, receiver) = AnswerRelay::open();
    compio::runtime::spawn(execute_job(context, job, relay)).detach();
    let lost = RequestRefusal::unknown(RefusalReason::UpstreamLost);
    let reply = receiver.await.unwrap_or(RunReply::Refusal(lost, None));
    reply_response(reply)
}

async fn execute_job(context: Rc<AgentContext>, job: RunJob, mut relay: AnswerRelay) {
    let attempt = job.metadata.attempt;
    let end = match claim_run(&context, &job).await {
        Ok(RunClaim::Run(recorder)) => {
            let end = run_on_upstream(&context, &job, &mut relay).await;
            update_record(recorder, &end);
            end
        }
        Ok(RunClaim::Replay(answer)) => RunEnd::Whole(answer),
        Err(refusal) => RunEnd::Refused(refusal, None),
    };
    let status = match &end {
        RunEnd::Whole(answer) => AttemptStatus::Done(answer.clone()),
        RunEnd::Streamed => AttemptStatus::Ended,
        RunEnd::Refused(refusal, _) => AttemptStatus::Refused(*refusal),
    };
    let now = context.now();
    context.attempts.borrow_mut().set(now, attempt, status);
    drop(job.ticket);
    match end {
        RunEnd::Whole(answer) => relay.send_answer(&answer),
        RunEnd::Refused(refusal, crash) => relay.refuse(refusal, crash),
        RunEnd::Streamed => {}
    }
}

enum RunClaim {
    Run(Option<RunRecorder>),
    Replay(RecordedAnswer),
}

/// Claims the run record of a non-idempotent call.
async fn claim_run(context: &AgentContext, job: &RunJob) -> Result<RunClaim, RequestRefusal> {
    let Some(key) = &job.metadata.run_key else {
        return Ok(RunClaim::Run(None));
    };
    let run_key = RunKey {
        team: job.metadata.team.clone(),
        key: key.clone(),
    };
    let recorder = RunRecorder::open(
        Rc::clone(&context.node),
        &run_key,
        job.metadata.attempt,
        job.metadata.fingerprint,
    );
    match recorder.start(job.deadline).await? {
        StartVerdict::Replay(answer) => return Ok(RunClaim::Replay(answer)),
        StartVerdict::Run => {}
    }
    if context.now() > job.deadline {
        compio::runtime::spawn(recorder.revert_start()).detach();
        return Err(RequestRefusal::not_run(RefusalReason::DeadlinePassed));
    }
    Ok(RunClaim::Run(Some(recorder)))
}

async fn run_on_upstream(
    context: &Rc<AgentContext>,
    job: &RunJob,
    relay: &mut AnswerRelay,
) -> RunEnd {
    match &job.metadata.call {
        UpstreamCall::Engine { replica, adapter } => {
            run_on_engine(context, job, replica, adapter.as_ref(), relay).await
        }
        UpstreamCall::Service { method, path, .. } => {
            run_on_service(context, job, method, path, relay).await
        }
    }
}

/// Stores the answer in the run record, or reverts the start if the call did not run. If it
/// may have run, the record stays as it is.
fn update_record(recorder: Option<RunRecorder>, end: &RunEnd) {
    let Some(recorder) = recorder else {
        return;
    };
    match end {
        RunEnd::Whole(answer) => {
            compio::runtime::spawn(recorder.finish(answer.clone())).detach();
        }
        RunEnd::Refused(refusal, _) if refusal.outcome == RefusalOutcome::NotRun => {
            compio::runtime::spawn(recorder.revert_start()).detach();
        }
        RunEnd::Refused(..) | RunEnd::Streamed => {}
    }
}
