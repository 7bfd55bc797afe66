//! Carries an upstream's answer from the running task to the waiting handler.

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

/// Chunks that wait for a slow receiver.
const RELAY_CHUNKS: usize = 64;

/// First part of an answer.
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// The rest.
    pub body: AnswerBody,
}

/// Rest of an answer.
pub enum AnswerBody {
    /// Chunks as they come.
    Stream(mpsc::Receiver<Result<Bytes, BodyError>>),
    /// All at once.
    Whole(Bytes),
}

/// What the running task tells the handler.
pub enum RunReply {
    /// The upstream answers.
    Answer(AnswerHead),
    /// The request is refused; with the crash at which it was in flight.
    Refusal(RequestRefusal, Option<u64>),
}

/// The running task's end.
pub struct AnswerRelay {
    head: Option<oneshot::Sender<RunReply>>,
    chunks: Option<mpsc::Sender<Result<Bytes, BodyError>>>,
}

impl AnswerRelay {
    /// Opens a relay; the receiver goes to the handler.
    pub fn open() -> (Self, oneshot::Receiver<RunReply>) {
        let (sender, receiver) = oneshot::channel();
        let relay = Self {
            head: Some(sender),
            chunks: None,
        };
        (relay, receiver)
    }

    /// Whether nobody waits for the answer any more.
    #[must_use]
    pub fn is_abandoned(&self) -> bool {
        let no_head = self.head.as_ref().is_none_or(oneshot::Sender::is_canceled);
        let no_body = self.chunks.as_ref().is_none_or(mpsc::Sender::is_closed);
        no_head && no_body
    }

    /// Refuses.
    pub fn refuse(&mut self, refusal: RequestRefusal, crash: Option<u64>) {
        if let Some(head) = self.head.take() {
            let _ = head.send(RunReply::Refusal(refusal, crash));
        }
    }

    /// Sends a whole answer.
    pub fn answer(&mut self, answer: &RecordedAnswer) {
        if let Some(head) = self.head.take() {
            let _ = head.send(RunReply::Answer(AnswerHead {
                status: answer.status,
                content_type: answer.content_type.clone(),
                body: AnswerBody::Whole(Bytes::from(answer.body.clone())),
            }));
        }
    }

    /// Begins a streamed answer.
    pub fn begin(&mut self, status: u16, content_type: String) {
        let (sender, receiver) = mpsc::channel(RELAY_CHUNKS);
        self.chunks = Some(sender);
        if let Some(head) = self.head.take() {
            let _ = head.send(RunReply::Answer(AnswerHead {
                status,
                content_type,
                body: AnswerBody::Stream(receiver),
            }));
        }
    }

    /// Passes a chunk on, waiting for a slow receiver. Returns whether one is there.
    pub async fn chunk(&mut self, chunk: Bytes) -> bool {
        match &mut self.chunks {
            Some(sender) => sender.send(Ok(chunk)).await.is_ok(),
            None => false,
        }
    }

    /// Cuts a streamed answer, so that the receiver sees that it is not whole.
    pub async fn cut(&mut self) {
        if let Some(sender) = &mut self.chunks {
            let _ = sender.send(Err(BodyError::Truncated)).await;
        }
    }
}

/// The response that tells an entry what the running task said.
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

/// The response that tells an entry of a refusal.
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
