//! Relays streamed responses, resuming them at another upstream when theirs is lost.

use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
use http_body_util::{BodyDataStream, BodyExt};
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;

use super::caller_response::{relay_head, relayed_response};
use super::dispatcher::{ChosenRoute, Dispatcher};
use crate::net::{BodyError, HttpBody, stream_body};
use crate::routing::Locality;

/// Content type of server-sent events.
const EVENT_TYPE: &str = "text/event-stream";

/// Separator that ends a server-sent event.
const EVENT_END: &[u8] = b"\n\n";

/// Prefix of an event that carries one token.
const TOKEN_EVENT_PREFIX: &[u8] = b"data: {";

/// The event that ends a stream.
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// A stream in flight. Only complete events are relayed, so that a stream resumed at another
/// upstream neither repeats nor misses a token.
struct StreamRelay {
    dispatcher: Dispatcher,
    route: ChosenRoute,
    body: BodyDataStream<Incoming>,
    /// Bytes received after the last complete event.
    partial: BytesMut,
    /// Number of tokens relayed to the caller.
    tokens: u32,
    is_done: bool,
}

/// Relays an upstream's response; an event stream is resumed at another upstream if it is
/// interrupted and the request allows it.
pub fn streamed_response(
    dispatcher: Dispatcher,
    route: ChosenRoute,
    response: Response<Incoming>,
) -> Response<HttpBody> {
    let content_type = response.headers().get(CONTENT_TYPE);
    let is_event_stream =
        content_type.is_some_and(|value| value.as_bytes().starts_with(EVENT_TYPE.as_bytes()));
    if !dispatcher.may_resume() || !is_event_stream {
        return relayed_response(
            dispatcher.metrics(),
            dispatcher.request_id(),
            &route,
            response,
        );
    }
    let head = relay_head(dispatcher.request_id(), &route, &response);
    let relay = StreamRelay {
        dispatcher,
        route,
        body: response.into_body().into_data_stream(),
        partial: BytesMut::new(),
        tokens: 0,
        is_done: false,
    };
    let events = stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        let next = relay.next_events().await?;
        let rest = next.is_ok().then_some(relay);
        Some((next, rest))
    });
    head.map(|()| stream_body(events))
}

impl StreamRelay {
    /// The next complete events; `None` at the end of the stream.
    async fn next_events(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            if let Some(events) = self.take_events() {
                return Some(Ok(events));
            }
            if self.is_done {
                return None;
            }
            match self.body.next().await {
                Some(Ok(chunk)) => self.buffer_chunk(&chunk),
                Some(Err(_)) => {
                    if !self.resume().await {
                        return Some(Err(BodyError::Truncated));
                    }
                }
                None => self.is_done = true,
            }
        }
    }

    fn buffer_chunk(&mut self, chunk: &Bytes) {
        if self.route.locality == Locality::Remote {
            let bytes = chunk.len() as u64;
            self.dispatcher.metrics().remote_bytes.inc_by(bytes);
        }
        self.partial.extend_from_slice(chunk);
    }

    /// Removes all complete events from the buffer, or the rest of it at the end of the stream.
    fn take_events(&mut self) -> Option<Bytes> {
        let last_end = self
            .partial
            .windows(EVENT_END.len())
            .rposition(|window| window == EVENT_END);
        let length = match last_end {
            Some(start) => start + EVENT_END.len(),
            None if self.is_done && !self.partial.is_empty() => self.partial.len(),
            None => return None,
        };
        let events = self.partial.split_to(length).freeze();
        for line in events.split(|byte| *byte == b'\n') {
            if line.starts_with(TOKEN_EVENT_PREFIX) {
                self.tokens += 1;
            } else if line.starts_with(DONE_EVENT) {
                self.is_done = true;
            }
        }
        Some(events)
    }

    /// Resumes the stream after the tokens relayed so far; returns whether that succeeded.
    async fn resume(&mut self) -> bool {
        self.partial.clear();
        match self.dispatcher.resume(&self.route, self.tokens).await {
            Ok((route, response)) => {
                self.route = route;
                self.body = response.into_body().into_data_stream();
                true
            }
            Err(refusal) => {
                log::warn!(refusal:% = refusal; "interrupted stream not resumed");
                false
            }
        }
    }
}
