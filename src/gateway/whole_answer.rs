//! The body of an answer that is no stream: held whole if memory allows, and passed on otherwise.

use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use hyper::body::{Body, Incoming};

use super::AttemptResult;
use super::answer_framing::BodyFraming;
use super::call_guard::CallGuard;
use super::upstream_call::UpstreamConnection;
use crate::net::{
    BodyError, BufferBudget, BufferLease, BufferPurpose, HttpBody, SMALL_MESSAGE_BYTES, full_body,
    stream_body,
};
use crate::quarantine::AnswerProgress;

/// Part of the budget for messages that one answer may take, as a divisor.
const ANSWER_DIVISOR: usize = 4;

/// What has arrived of an answer.
pub struct WholeAnswer {
    content: Bytes,
    /// Memory that the content takes.
    lease: BufferLease,
    /// The rest of the body; `None` if the content is whole.
    rest: Option<Incoming>,
    /// Length in bytes of the whole body; `None` if the upstream does not state it and it is not whole.
    length: Option<u64>,
}

impl WholeAnswer {
    /// Reads an answer to its end, or as much of it as memory allows.
    ///
    /// # Errors
    /// [`BodyError`] if the upstream breaks it off, or has not sent it within `limit_ms`.
    pub async fn read(
        mut incoming: Incoming,
        buffers: &Rc<BufferBudget>,
        limit_ms: u64,
    ) -> Result<Self, BodyError> {
        let mut lease = buffers.lease(BufferPurpose::Answer);
        let max_bytes = buffers.limit_bytes() / ANSWER_DIVISOR;
        let stated = incoming.size_hint().exact();
        let reading = fill(&mut incoming, &mut lease, max_bytes);
        let limit = Duration::from_millis(limit_ms);
        let read = compio::time::timeout(limit, reading).await;
        let (content, is_whole) = read.map_err(|_| BodyError::TooSlow(limit_ms))??;
        let length = u64::try_from(content.len()).ok();
        Ok(Self {
            content,
            lease,
            rest: (!is_whole).then_some(incoming),
            length: if is_whole { length } else { stated },
        })
    }

    /// The length that the head must state, since the body does not tell it: `None` if the body does, or if
    /// the length is not known.
    pub fn stated_length(&self) -> Option<u64> {
        self.length.filter(|_| !self.is_plain())
    }

    /// Whether all of the answer has arrived.
    pub const fn is_whole(&self) -> bool {
        self.rest.is_none()
    }

    /// The body for the caller. What has not arrived is read as fast as the caller reads.
    pub fn into_body(
        self,
        framing: BodyFraming,
        mut guard: CallGuard,
        connection: UpstreamConnection,
    ) -> HttpBody {
        if self.is_whole() {
            guard.set_outcome("complete");
        }
        if self.is_plain() {
            return full_body(self.content);
        }
        let upstream = self.rest.map(|rest| AnswerRest {
            incoming: rest,
            framing,
            guard,
            _connection: connection,
        });
        let passing = PassedAnswer {
            content: Some(self.content),
            _lease: self.lease,
            upstream,
        };
        stream_body(stream::unfold(Some(passing), |passing| async move {
            let mut passing = passing?;
            match passing.next().await {
                Ok(Some(data)) => Some((Ok(data), Some(passing))),
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
            }
        }))
    }

    /// Whether the answer is whole and has taken nothing of the budget.
    fn is_plain(&self) -> bool {
        self.is_whole() && self.lease.held_bytes() == 0
    }
}

/// The part of an answer that has not arrived.
struct AnswerRest {
    incoming: Incoming,
    framing: BodyFraming,
    guard: CallGuard,
    /// Dropped with the rest, so that the upstream notices that nobody reads on.
    _connection: UpstreamConnection,
}

impl AnswerRest {
    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        let context = &self.guard.context;
        let left_ms = self.guard.plan.ends_at.millis_since(context.now());
        let reading = next_data(&mut self.incoming);
        let read = compio::time::timeout(Duration::from_millis(left_ms), reading).await;
        let read = read.unwrap_or(Err(BodyError::TooSlow(left_ms)));
        match &read {
            Ok(Some(_)) => {}
            Ok(None) => {
                self.guard.set_outcome("complete");
                self.guard.record_end(self.framing, AnswerProgress::BEGUN);
            }
            Err(error) => {
                let now = context.now();
                let result = AttemptResult::Failed;
                context
                    .loads
                    .borrow_mut()
                    .record_result(now, self.guard.key, result);
                self.guard.set_outcome("cut_by_upstream");
                if matches!(error, BodyError::Truncated) {
                    self.guard.record_loss(AnswerProgress::BEGUN).await;
                }
            }
        }
        read
    }
}

/// An answer on its way to the caller.
struct PassedAnswer {
    content: Option<Bytes>,
    /// Returned when the caller has taken the content.
    _lease: BufferLease,
    /// `None` if the content is whole.
    upstream: Option<AnswerRest>,
}

impl PassedAnswer {
    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        if let Some(content) = self.content.take() {
            return Ok(Some(content));
        }
        match &mut self.upstream {
            Some(rest) => rest.next().await,
            None => Ok(None),
        }
    }
}

/// Reads until the end of a body or of the memory for it. Returns whether the body is whole.
async fn fill(
    incoming: &mut Incoming,
    lease: &mut BufferLease,
    max_bytes: usize,
) -> Result<(Bytes, bool), BodyError> {
    let stated = incoming.size_hint().exact();
    let stated = stated.and_then(|stated| usize::try_from(stated).ok());
    let mut room = SMALL_MESSAGE_BYTES;
    let mut content = BytesMut::with_capacity(stated.unwrap_or_default().min(room));
    let whole = stated.filter(|stated| (room..=max_bytes).contains(stated));
    if let Some(whole) = whole.filter(|whole| lease.grow_to(*whole).is_ok()) {
        room = whole;
        content.reserve(room);
    }
    while let Some(data) = next_data(incoming).await? {
        content.extend_from_slice(&data);
        if content.len() < room || incoming.is_end_stream() {
            continue;
        }
        let larger = content.len().max(2 * room);
        if larger > max_bytes || lease.grow_to(larger).is_err() {
            return Ok((content.freeze(), false));
        }
        room = larger;
        content.reserve(room - content.len());
    }
    Ok((content.freeze(), true))
}

/// The next bytes of a body; `None` at its end.
async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, BodyError> {
    loop {
        let frame = poll_fn(|context| Pin::new(&mut *body).poll_frame(context)).await;
        let Some(frame) = frame.transpose().map_err(|_| BodyError::Truncated)? else {
            return Ok(None);
        };
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}
