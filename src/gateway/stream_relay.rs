//! Relays an upstream's event stream to the client, and goes on at another upstream if it fails.

use std::future::poll_fn;
use std::task::Poll;

use bytes::Bytes;
use futures_util::stream;
use hyper::Response;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::http::response::Parts;

use super::answer_framing::remove_run_headers;
use super::call_flow::CallFlow;
use super::upstream_stream::{StreamFailure, UpstreamStream};
use crate::net::{BodyError, HttpBody, stream_body};

/// A stream whose first events have arrived, so that the response head may be sent.
pub struct StartedStream {
    /// Head of the response.
    pub parts: Parts,
    /// Events that have arrived.
    pub first: Option<Bytes>,
    /// The rest of the stream.
    pub rest: UpstreamStream,
}

impl StartedStream {
    /// Waits for the first events, which must come after the last one that the client has received.
    ///
    /// # Errors
    /// [`StreamFailure`] if the stream fails before them; nothing has been sent to the client then.
    pub async fn open(
        parts: Parts,
        mut rest: UpstreamStream,
        after: Option<u64>,
    ) -> Result<Self, StreamFailure> {
        let first = rest.next().await?;
        let is_sequel = |after| {
            rest.event_ids()
                .is_some_and(|(first_id, _)| first_id > after)
        };
        if !after.is_none_or(is_sequel) {
            return Err(rest.reject());
        }
        Ok(Self { parts, first, rest })
    }

    /// The response with the stream as its body. The request's flow finds another upstream if the
    /// stream fails and may be resumed. The head states a length only if it may not.
    pub fn into_response(self, flow: CallFlow) -> Response<HttpBody> {
        let Self {
            mut parts,
            first,
            rest,
        } = self;
        if flow.may_resume() {
            remove_run_headers(&mut parts.headers);
        } else if let Some(length) = rest.length() {
            let length = HeaderValue::from(length);
            parts.headers.insert(CONTENT_LENGTH, length);
        }
        let relay = StreamRelay {
            first,
            source: Some(rest),
            last_id: None,
            flow,
        };
        let events = stream::unfold(Some(relay), |relay| async move {
            let mut relay = relay?;
            if let Ok(events) = relay.next().await {
                return Some((Ok(events?), Some(relay)));
            }
            flush_pending_events().await;
            Some((Err(BodyError::Truncated), None))
        });
        Response::from_parts(parts, stream_body(events))
    }
}

struct StreamRelay {
    /// Events that arrived before the head was sent, or before a resumption was decided.
    first: Option<Bytes>,
    /// The upstream's stream; `None` once it has failed for good.
    source: Option<UpstreamStream>,
    /// Id of the last event of the upstreams before the present one.
    last_id: Option<u64>,
    flow: CallFlow,
}

impl StreamRelay {
    async fn next(&mut self) -> Result<Option<Bytes>, StreamFailure> {
        loop {
            if let Some(events) = self.first.take() {
                return Ok(Some(events));
            }
            let source = self.source.as_mut().ok_or(StreamFailure::Lost)?;
            match source.next().await {
                Ok(events) => return Ok(events),
                Err(failure) => self.resume(failure).await?,
            }
        }
    }

    /// Goes on at another upstream after the last event that was forwarded.
    async fn resume(&mut self, failure: StreamFailure) -> Result<(), StreamFailure> {
        // Dropping the stream tells its upstream to stop the work before another one begins.
        let failed = self.source.take().ok_or(failure)?;
        let (key, event_ids) = (failed.key(), failed.event_ids());
        drop(failed);
        let last_id = event_ids.map(|(_, last)| last).or(self.last_id);
        let after = last_id.ok_or(failure)?;
        if failure == StreamFailure::TimedOut || !self.flow.may_resume() {
            return Err(failure);
        }
        let resumed = self.flow.resume(key, after).await.ok_or(failure)?;
        self.last_id = Some(after);
        self.first = resumed.first;
        self.source = Some(resumed.rest);
        Ok(())
    }
}

/// Lets the server send what it has buffered: it flushes when the body has nothing ready, and
/// drops its buffer when the body fails.
async fn flush_pending_events() {
    let mut is_flushed = false;
    poll_fn(|context| {
        if std::mem::replace(&mut is_flushed, true) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
