//! Forwards an upstream's response body as it arrives.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use send_wrapper::SendWrapper;

use super::AttemptResult;
use super::call_guard::CallGuard;
use super::upstream_call::UpstreamConnection;
use crate::net::BodyError;

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
