//! Relays streamed responses, resuming them at another upstream when theirs is lost.

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::{BodyDataStream, BodyExt};
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;

use super::caller_response::{relay_head, relayed_response};
use super::dispatcher::{ChosenRoute, Dispatcher};
use crate::net::{BodyError, EventBuffer, HttpBody, stream_body};
use crate::routing::Locality;

/// Content type of server-sent events.
const EVENT_TYPE: &str = "text/event-stream";

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
    events: EventBuffer,
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
        events: EventBuffer::open(),
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
        while !self.is_done {
            let events = match self.body.next().await {
                Some(Ok(chunk)) => {
                    self.count_remote_bytes(&chunk);
                    let Ok(events) = self.events.push(chunk) else {
                        return Some(Err(BodyError::Truncated));
                    };
                    events
                }
                Some(Err(_)) if self.resume().await => None,
                Some(Err(_)) => return Some(Err(BodyError::Truncated)),
                None if self.events.is_inside_event() => {
                    return Some(Err(BodyError::Truncated));
                }
                None => {
                    self.is_done = true;
                    None
                }
            };
            if let Some(events) = events {
                self.count_tokens(&events);
                return Some(Ok(events));
            }
        }
        None
    }

    fn count_remote_bytes(&self, chunk: &Bytes) {
        if self.route.locality == Locality::Remote {
            let bytes = chunk.len() as u64;
            self.dispatcher.metrics().remote_bytes.inc_by(bytes);
        }
    }

    /// Counts the tokens of events, and notices the last event of the stream.
    fn count_tokens(&mut self, events: &Bytes) {
        for line in events.split(|byte| *byte == b'\n') {
            if line.starts_with(TOKEN_EVENT_PREFIX) {
                self.tokens += 1;
            } else if line.starts_with(DONE_EVENT) {
                self.is_done = true;
            }
        }
    }

    /// Resumes the stream after the tokens relayed so far; returns whether that succeeded.
    async fn resume(&mut self) -> bool {
        // The start of an event that the lost upstream did not complete is sent anew.
        self.events = EventBuffer::open();
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
