//! Relays an upstream's event stream to the client.

use std::future::poll_fn;
use std::task::Poll;

use bytes::Bytes;
use futures_util::stream;
use hyper::Response;
use hyper::http::response::Parts;

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
    /// Waits for the first events.
    ///
    /// # Errors
    /// [`StreamFailure`] if the stream fails before them; nothing has been sent to the client then.
    pub async fn open(parts: Parts, mut rest: UpstreamStream) -> Result<Self, StreamFailure> {
        let first = rest.next().await?;
        Ok(Self { parts, first, rest })
    }

    /// The response with the stream as its body.
    #[must_use]
    pub fn into_response(self) -> Response<HttpBody> {
        let Self { parts, first, rest } = self;
        let relay = StreamRelay { first, rest };
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
    /// Events that arrived before the head was sent; taken with the first poll.
    first: Option<Bytes>,
    rest: UpstreamStream,
}

impl StreamRelay {
    async fn next(&mut self) -> Result<Option<Bytes>, StreamFailure> {
        match self.first.take() {
            Some(events) => Ok(Some(events)),
            None => self.rest.next().await,
        }
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
