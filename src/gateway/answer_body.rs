//! Forwards an upstream's response body as it arrives.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use send_wrapper::SendWrapper;

use super::call_flow::BufferedCall;
use super::upstream_call::UpstreamConnection;
use super::{AttemptResult, CallPlan, GatewayContext};
use crate::fleet::UpstreamKey;
use crate::net::BodyError;
use crate::prelude::*;
use crate::quarantine::RequestFingerprint;

/// Tracks a request in flight at an upstream; dropping it ends the tracking and logs the attempt.
pub struct CallGuard {
    context: Rc<GatewayContext>,
    plan: Rc<CallPlan>,
    fingerprint: RequestFingerprint,
    key: UpstreamKey,
    upstream: UpstreamId,
    outcome: &'static str,
    body_bytes: u64,
    /// Milliseconds from arrival to the first body frame; `None` before it.
    first_ms: Option<u64>,
    last_at: MonoTime,
    /// Longest gap between body frames in milliseconds.
    gap_ms: u64,
}

impl CallGuard {
    /// Starts tracking a request and its unread prompt.
    pub fn begin(
        context: &Rc<GatewayContext>,
        call: &BufferedCall,
        key: UpstreamKey,
        upstream: UpstreamId,
    ) -> Self {
        let plan = &call.plan;
        let mut loads = context.loads.borrow_mut();
        loads.begin_request(key);
        loads.begin_prompt(key, plan.prompt_tokens);
        drop(loads);
        context.change_in_flight(key, plan.need.as_ref(), 1);
        Self {
            context: Rc::clone(context),
            plan: Rc::clone(plan),
            fingerprint: call.fingerprint,
            key,
            upstream,
            outcome: "caller_left",
            body_bytes: 0,
            first_ms: None,
            last_at: plan.arrived_at,
            gap_ms: 0,
        }
    }

    /// Records a body frame; the first one shows that the engine has read the prompt.
    pub fn record_frame(&mut self, bytes: usize) {
        let now = self.context.now();
        self.body_bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
        let pause_ms = now.millis_since(self.last_at);
        if self.first_ms.is_some() {
            self.gap_ms = self.gap_ms.max(pause_ms);
        } else {
            self.first_ms = Some(now.millis_since(self.plan.arrived_at));
            self.end_prompt();
        }
        self.last_at = now;
    }

    /// Records that the engine is no longer reading the prompt.
    fn end_prompt(&self) {
        let mut loads = self.context.loads.borrow_mut();
        loads.end_prompt(self.key, self.plan.prompt_tokens);
        drop(loads);
        self.context.prompt_read.notify();
    }

    /// Sets the outcome that is logged.
    pub const fn set_outcome(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.context.loads.borrow_mut().end_request(self.key);
        if self.first_ms.is_none() {
            self.end_prompt();
        }
        self.context
            .change_in_flight(self.key, self.plan.need.as_ref(), -1);
        let took_ms = self.context.now().millis_since(self.plan.arrived_at);
        log::info!(
            request:% = self.plan.request,
            upstream:% = self.upstream,
            outcome = self.outcome,
            bytes = self.body_bytes,
            first_ms = self.first_ms,
            gap_ms = self.gap_ms,
            ms = took_ms;
            "attempt ended"
        );
    }
}

/// An upstream's body and what must live until it has been forwarded.
struct BodyState {
    incoming: Incoming,
    limit: LocalBoxFuture<'static, ()>,
    guard: CallGuard,
    /// Dropped with the body, so that the upstream notices a client disconnect.
    _connection: UpstreamConnection,
}

/// Response body that forwards an upstream's body. The server requires `Send` bodies; this one
/// stays on the thread of its runtime.
pub struct AnswerBody(SendWrapper<BodyState>);

impl AnswerBody {
    /// Forwards a body until its end or the request's deadline.
    pub fn open(incoming: Incoming, guard: CallGuard, connection: UpstreamConnection) -> Self {
        let now = guard.context.now();
        let left = Duration::from_millis(guard.plan.ends_at.millis_since(now));
        Self(SendWrapper::new(BodyState {
            incoming,
            limit: compio::time::sleep(left).boxed_local(),
            guard,
            _connection: connection,
        }))
    }
}

impl BodyState {
    fn fail(&mut self, outcome: &'static str) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.guard.set_outcome(outcome);
        let now = self.guard.context.now();
        let key = self.guard.key;
        let mut loads = self.guard.context.loads.borrow_mut();
        loads.record_result(now, key, AttemptResult::Failed);
        Poll::Ready(Some(Err(BodyError::Truncated)))
    }

    fn handle_truncation(
        &mut self,
        error: &hyper::Error,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        log::warn!(
            request:% = self.guard.plan.request,
            upstream:% = self.guard.upstream,
            error:% = error;
            "upstream response cut off"
        );
        self.guard
            .context
            .record_crash(self.guard.fingerprint, self.guard.key);
        self.fail("cut_by_upstream")
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let state = &mut *self.0;
        match Pin::new(&mut state.incoming).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                state
                    .guard
                    .record_frame(frame.data_ref().map_or(0, Bytes::len));
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => state.handle_truncation(&error),
            Poll::Ready(None) => {
                state.guard.set_outcome("complete");
                Poll::Ready(None)
            }
            Poll::Pending if state.limit.poll_unpin(context).is_ready() => state.fail("time_over"),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        false
    }

    fn size_hint(&self) -> SizeHint {
        self.0.incoming.size_hint()
    }
}
