//! Passes an upstream's answer from the task that runs the request to the HTTP handler that
//! waits for it.

use bytes::Bytes;
use futures_channel::{mpsc, oneshot};
use futures_util::SinkExt;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};

use crate::net::{BodyError, HttpBody, full_body, stream_body};
use crate::prelude::*;
use crate::refusal::ProblemDocument;
use crate::rpc::{ANSWER_HEADER, CRASH_HEADER};
use crate::run_once::RecordedAnswer;

/// Chunks buffered for a slow receiver before backpressure sets in.
const RELAY_CAPACITY_CHUNKS: usize = 64;

/// Head of an answer, with access to its body.
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// The body, whole or as a stream.
    pub body: AnswerBody,
}

/// Body of an answer.
pub enum AnswerBody {
    /// Chunks as they arrive from the upstream.
    Stream(mpsc::Receiver<Result<Bytes, BodyError>>),
    /// The complete body.
    Whole(Bytes),
}

/// Message from the running task to the handler.
pub enum RunReply {
    /// The upstream's answer.
    Answer(AnswerHead),
    /// A refusal, with the number of the crash at which the request was in flight, if any.
    Refusal(RequestRefusal, Option<u64>),
}

/// Sending half of the relay, held by the running task.
pub struct AnswerRelay {
    head: Option<oneshot::Sender<RunReply>>,
    chunks: Option<mpsc::Sender<Result<Bytes, BodyError>>>,
}

impl AnswerRelay {
    /// Creates a relay and the receiver for the handler.
    pub fn open() -> (Self, oneshot::Receiver<RunReply>) {
        let (sender, receiver) = oneshot::channel();
        let relay = Self {
            head: Some(sender),
            chunks: None,
        };
        (relay, receiver)
    }

    /// Whether the handler has gone away, so that nobody waits for the answer.
    #[must_use]
    pub fn is_abandoned(&self) -> bool {
        let no_head = self.head.as_ref().is_none_or(oneshot::Sender::is_canceled);
        let no_body = self.chunks.as_ref().is_none_or(mpsc::Sender::is_closed);
        no_head && no_body
    }

    /// Sends a refusal; ignored if an answer or a refusal was already sent.
    pub fn refuse(&mut self, refusal: RequestRefusal, crash: Option<u64>) {
        if let Some(head) = self.head.take() {
            let _ = head.send(RunReply::Refusal(refusal, crash));
        }
    }

    /// Sends a complete answer; ignored if an answer or a refusal was already sent.
    pub fn send_answer(&mut self, answer: &RecordedAnswer) {
        if let Some(head) = self.head.take() {
            let _ = head.send(RunReply::Answer(AnswerHead {
                status: answer.status,
                content_type: answer.content_type.clone(),
                body: AnswerBody::Whole(Bytes::from(answer.body.clone())),
            }));
        }
    }

    /// Starts a streamed answer.
    pub fn begin_stream(&mut self, status: u16, content_type: String) {
        let (sender, receiver) = mpsc::channel(RELAY_CAPACITY_CHUNKS);
        self.chunks = Some(sender);
        if let Some(head) = self.head.take() {
            let _ = head.send(RunReply::Answer(AnswerHead {
                status,
                content_type,
                body: AnswerBody::Stream(receiver),
            }));
        }
    }

    /// Sends a chunk, waiting while the buffer is full. Returns false if the receiver is
    /// gone or no stream was started.
    pub async fn send_chunk(&mut self, chunk: Bytes) -> bool {
        match &mut self.chunks {
            Some(sender) => sender.send(Ok(chunk)).await.is_ok(),
            None => false,
        }
    }

    /// Ends a streamed answer with an error, so that the receiver can tell that it is
    /// incomplete.
    pub async fn abort(&mut self) {
        if let Some(sender) = &mut self.chunks {
            let _ = sender.send(Err(BodyError::Truncated)).await;
        }
    }
}

/// Builds the HTTP response to the entry from the running task's reply.
#[must_use]
pub fn reply_response(reply: RunReply) -> Response<HttpBody> {
    match reply {
        RunReply::Refusal(refusal, crash) => refusal_response(refusal, crash),
        RunReply::Answer(head) => {
            let body = match head.body {
                AnswerBody::Whole(content) => full_body(content),
                AnswerBody::Stream(chunks) => stream_body(chunks),
            };
            let mut response = Response::new(body);
            let status = StatusCode::from_u16(head.status);
            *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
            let headers = response.headers_mut();
            headers.insert(ANSWER_HEADER, HeaderValue::from_static("answer"));
            if let Ok(value) = HeaderValue::from_str(&head.content_type) {
                headers.insert(CONTENT_TYPE, value);
            }
            response
        }
    }
}

/// Builds the HTTP response that reports a refusal to the entry.
#[must_use]
pub fn refusal_response(refusal: RequestRefusal, crash: Option<u64>) -> Response<HttpBody> {
    let document = ProblemDocument::of(refusal, None);
    let text = serde_json::to_vec(&document).unwrap_or_default();
    let mut response = Response::new(full_body(text));
    let status = StatusCode::from_u16(document.status);
    *response.status_mut() = status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert(ANSWER_HEADER, HeaderValue::from_static("refusal"));
    if let Some(crash) = crash {
        headers.insert(CRASH_HEADER, HeaderValue::from(crash));
    }
    response
}
