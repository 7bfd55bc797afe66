//! Streamed answers that go on at another upstream when theirs is lost.

use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
use http_body_util::{BodyDataStream, BodyExt};
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;

use super::caller_answer::{relay_head, relayed_answer};
use super::dispatcher::{ChosenRoute, Dispatcher};
use crate::net::{BodyError, HttpBody, stream_body};
use crate::routing::Locality;

/// Content type of server-sent events.
const EVENT_TYPE: &str = "text/event-stream";

/// End of one event.
const EVENT_END: &[u8] = b"\n\n";

/// First bytes of an event with a token.
const TOKEN_EVENT: &[u8] = b"data: {";

/// The event that ends a stream.
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// A stream under way. Only whole events are passed on, so that a stream that goes on
/// elsewhere neither doubles nor misses a token.
struct StreamRelay {
    dispatcher: Dispatcher,
    route: ChosenRoute,
    body: BodyDataStream<Incoming>,
    /// Bytes after the last whole event.
    partial: BytesMut,
    /// Tokens passed on.
    tokens: u32,
    is_done: bool,
}

/// An upstream's answer as the caller gets it; event streams go on elsewhere if need be.
pub fn streamed_answer(
    dispatcher: Dispatcher,
    route: ChosenRoute,
    answer: Response<Incoming>,
) -> Response<HttpBody> {
    let content_type = answer.headers().get(CONTENT_TYPE);
    let is_events =
        content_type.is_some_and(|value| value.as_bytes().starts_with(EVENT_TYPE.as_bytes()));
    if !dispatcher.may_resume() || !is_events {
        return relayed_answer(
            dispatcher.metrics(),
            dispatcher.request_id(),
            &route,
            answer,
        );
    }
    let head = relay_head(dispatcher.request_id(), &route, &answer);
    let relay = StreamRelay {
        dispatcher,
        route,
        body: answer.into_body().into_data_stream(),
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
    /// The next whole events; `None` at the end of the stream.
    async fn next_events(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            if let Some(events) = self.take_events() {
                return Some(Ok(events));
            }
            if self.is_done {
                return None;
            }
            match self.body.next().await {
                Some(Ok(chunk)) => self.take_chunk(&chunk),
                Some(Err(_)) => {
                    if !self.resume().await {
                        return Some(Err(BodyError::Truncated));
                    }
                }
                None => self.is_done = true,
            }
        }
    }

    fn take_chunk(&mut self, chunk: &Bytes) {
        if self.route.locality == Locality::Remote {
            let bytes = chunk.len() as u64;
            self.dispatcher.metrics().remote_bytes.inc_by(bytes);
        }
        self.partial.extend_from_slice(chunk);
    }

    /// Takes all whole events, or what is left at the end.
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
            if line.starts_with(TOKEN_EVENT) {
                self.tokens += 1;
            } else if line.starts_with(DONE_EVENT) {
                self.is_done = true;
            }
        }
        Some(events)
    }

    /// Lets the stream go on at another upstream after the tokens passed on so far.
    async fn resume(&mut self) -> bool {
        self.partial.clear();
        match self.dispatcher.resume(&self.route, self.tokens).await {
            Ok((route, answer)) => {
                self.route = route;
                self.body = answer.into_body().into_data_stream();
                true
            }
            Err(refusal) => {
                log::warn!(refusal:% = refusal; "stream cut");
                false
            }
        }
    }
}
