//! An upstream's event stream while it arrives.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use derive_more::Error;
use displaydoc::Display;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use hyper::body::{Body, Incoming};

use super::AttemptResult;
use super::answer_framing::BodyFraming;
use super::call_guard::CallGuard;
use super::upstream_call::UpstreamConnection;
use super::upstream_loss::UpstreamStart;
use crate::fleet::UpstreamKey;
use crate::net::EventBuffer;
use crate::prelude::*;
use crate::quarantine::AnswerProgress;

/// Milliseconds past the deadline for which events that have already arrived are still delivered.
const LATE_DELIVERY_MS: u64 = 300;

/// Why a stream ended before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum StreamFailure {
    /// the upstream broke the stream off
    Lost,
    /// the upstream crashed
    Crashed,
    /// the upstream sends bytes that are no events, or not the events that were asked for
    NoEvents,
    /// the deadline passed
    TimedOut,
}

impl StreamFailure {
    /// The refusal of a request whose stream failed before its first event.
    #[must_use]
    pub const fn reason(self) -> RefusalReason {
        match self {
            Self::Lost | Self::Crashed => RefusalReason::UpstreamLost,
            Self::NoEvents => RefusalReason::UpstreamFailed,
            Self::TimedOut => RefusalReason::DeadlinePassed,
        }
    }

    const fn outcome(self) -> &'static str {
        match self {
            Self::Lost | Self::Crashed => "cut_by_upstream",
            Self::NoEvents => "wrong_answer",
            Self::TimedOut => "time_over",
        }
    }
}

/// Events of one attempt. Dropping it closes the connection to the upstream.
pub struct UpstreamStream {
    incoming: Incoming,
    /// Length in bytes of the whole body; `None` if the upstream does not state it.
    length: Option<u64>,
    framing: BodyFraming,
    events: EventBuffer,
    deadline: LocalBoxFuture<'static, ()>,
    guard: CallGuard,
    is_ended: bool,
    /// Number of times that whole events arrived.
    batch_count: u64,
    /// Dropped with the stream, so that the upstream notices that nobody reads on.
    _connection: UpstreamConnection,
}

impl UpstreamStream {
    /// Reads a response body until its end or the request's deadline.
    pub fn open(
        incoming: Incoming,
        framing: BodyFraming,
        guard: CallGuard,
        connection: UpstreamConnection,
    ) -> Self {
        let left_ms = guard.plan.ends_at.millis_since(guard.context.now());
        Self {
            length: incoming.size_hint().exact(),
            framing,
            incoming,
            events: EventBuffer::open(),
            deadline: compio::time::sleep(Duration::from_millis(left_ms)).boxed_local(),
            guard,
            is_ended: false,
            batch_count: 0,
            _connection: connection,
        }
    }

    /// Length in bytes of the whole body; `None` if the upstream does not state it.
    pub const fn length(&self) -> Option<u64> {
        self.length
    }

    /// Ids of the first and the last event returned; `None` if no event had one.
    pub fn event_ids(&self) -> Option<(u64, u64)> {
        self.events.first_id().zip(self.events.last_id())
    }

    /// The upstream that sends the stream.
    pub const fn key(&self) -> UpstreamKey {
        self.guard.key
    }

    /// The start of the upstream that the list named when the request was sent.
    pub const fn start(&self) -> &UpstreamStart {
        &self.guard.upstream
    }

    /// Software version of the upstream; `None` if it names none.
    pub const fn software(&self) -> Option<&SoftwareVersion> {
        self.guard.software.as_ref()
    }

    /// The next whole events; `None` at the end of the stream.
    ///
    /// # Errors
    /// [`StreamFailure`]; the events before it have been returned.
    pub async fn next(&mut self) -> Result<Option<Bytes>, StreamFailure> {
        match self.next_events().await {
            Ok(events) => Ok(events),
            Err(failure) => {
                self.record_failure(failure);
                Err(self.explain_failure(failure).await)
            }
        }
    }

    /// Records that the upstream sent other events than those that were asked for.
    pub fn reject(&mut self) -> StreamFailure {
        let failure = StreamFailure::NoEvents;
        self.record_failure(failure);
        failure
    }

    async fn next_events(&mut self) -> Result<Option<Bytes>, StreamFailure> {
        let asked_at = self.guard.context.now();
        while !self.is_ended {
            let Some(chunk) = poll_fn(|context| self.poll_chunk(context)).await? else {
                return self.end().map(|()| None);
            };
            self.guard.record_frame(chunk.len());
            let last_id = self.events.last_id();
            let events = self.events.push(chunk);
            if let Some(events) = events.map_err(|_| StreamFailure::NoEvents)? {
                self.guard.record_pace(asked_at, self.events_since(last_id));
                self.record_events();
                return Ok(Some(events));
            }
        }
        Ok(None)
    }

    /// Number of events that arrived after the one with `last_id`; a chunk without ids counts as one.
    fn events_since(&self, last_id: Option<u64>) -> u64 {
        let ids = self.events.last_id().zip(last_id);
        ids.map_or(1, |(newest, known)| newest.saturating_sub(known).max(1))
    }

    fn poll_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, StreamFailure>> {
        match Pin::new(&mut self.incoming).poll_frame(context) {
            Poll::Ready(Some(Ok(_))) if self.is_overdue() => {
                Poll::Ready(Err(StreamFailure::TimedOut))
            }
            Poll::Ready(Some(Ok(frame))) => {
                Poll::Ready(Ok(Some(frame.into_data().unwrap_or_default())))
            }
            Poll::Ready(Some(Err(error))) => {
                log::warn!(
                    request:% = self.guard.plan.request,
                    upstream:% = self.guard.upstream.id,
                    error:% = error;
                    "upstream response cut off"
                );
                Poll::Ready(Err(StreamFailure::Lost))
            }
            Poll::Ready(None) => Poll::Ready(Ok(None)),
            Poll::Pending => self
                .deadline
                .poll_unpin(context)
                .map(|()| Err(StreamFailure::TimedOut)),
        }
    }

    /// Ends the stream. An answer without a length also ends when its connection breaks, so only a
    /// stream that ends after an event is complete.
    fn end(&mut self) -> Result<(), StreamFailure> {
        self.is_ended = true;
        if self.batch_count == 0 || self.events.is_inside_event() {
            return Err(StreamFailure::Lost);
        }
        self.guard.set_outcome("complete");
        self.guard.record_end(self.framing, self.progress());
        Ok(())
    }

    /// Records the ids of events that arrived, and how far the answer has come. That matters at its
    /// begin, and while the cause of several crashes is not known.
    fn record_events(&mut self) {
        self.guard.record_event_ids(self.event_ids());
        self.batch_count += 1;
        if self.batch_count == 1 || self.guard.context.crashes.has_recurring() {
            self.guard.record_progress(self.progress());
        }
    }

    /// How far the answer has come. Events without ids that arrive together count as one.
    fn progress(&self) -> AnswerProgress {
        let ids = self.event_ids();
        let count = ids.map_or(0, |(first, last)| {
            last.saturating_sub(first).saturating_add(1)
        });
        AnswerProgress::events(count.max(self.batch_count))
    }

    /// Whether the deadline passed so long ago that an upstream that sends without a pause is no
    /// longer read.
    fn is_overdue(&self) -> bool {
        let ends_at = self.guard.plan.ends_at + LATE_DELIVERY_MS;
        self.guard.context.now() >= ends_at
    }

    fn record_failure(&mut self, failure: StreamFailure) {
        self.guard.set_outcome(failure.outcome());
        let context = &self.guard.context;
        let now = context.now();
        let mut loads = context.loads.borrow_mut();
        loads.record_result(now, self.guard.key, AttemptResult::Failed);
    }

    /// Finds out whether the upstream of a stream that broke off has crashed.
    async fn explain_failure(&self, failure: StreamFailure) -> StreamFailure {
        if failure != StreamFailure::Lost {
            return failure;
        }
        if self.guard.record_loss(self.progress()).await {
            StreamFailure::Crashed
        } else {
            StreamFailure::Lost
        }
    }
}
