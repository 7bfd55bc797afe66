//! Contents of request and response headers, independent of the header names of a platform.

use compact_str::CompactString;
use hyper::{HeaderMap, StatusCode};

use super::UpstreamNotice;
use crate::account::CallerCredential;
use crate::fleet::ModelNeed;
use crate::prelude::*;

/// One part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part's text.
    pub id: CompactString,
    /// Length in tokens.
    pub tokens: u32,
}

/// Where a client takes up a stream that was broken off.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumePoint {
    /// Id of the last event that the client has received; `None` if it is not a number.
    pub after: Option<u64>,
    /// Id of the client's attempt that brought the first event; `None` if the client names none.
    pub first_attempt: Option<CompactString>,
}

/// Header contents of a client request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallHead {
    /// Id of the attempt; empty if the client gave none.
    pub request: CompactString,
    /// Milliseconds that the client waits; `None` if it set no deadline.
    pub deadline_ms: Option<u64>,
    /// Model and adapter; `None` for requests that need no engine.
    pub need: Option<ModelNeed>,
    /// Parts of the prompt in order; the last one is unique to the request.
    pub prompt: Vec<PromptPart>,
    /// Expected answer length in tokens; `None` if the client gave none.
    pub output_tokens: Option<u32>,
    /// Where a stream goes on; `None` for a request from the start.
    pub resume: Option<ResumePoint>,
    /// What the request shows for its caller's account.
    pub credential: CallerCredential,
    /// Tokens of the prompt and the most of the answer together; `None` if the client stated none.
    pub token_count: Option<u32>,
}

/// Header contents that are added to a request for one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptHead {
    /// Milliseconds left until the deadline.
    pub deadline_ms: u64,
    /// The only upstream that may run the request.
    pub upstream: UpstreamId,
    /// Priority at an engine, 0 first; `None` for other services.
    pub priority: Option<u8>,
    /// Id of the last event that the client has received; the stream goes on after it. `None` if
    /// this gateway has forwarded no event yet.
    pub resume_after: Option<u64>,
    /// Account that the request belongs to; `None` without one.
    pub account: Option<AccountName>,
}

/// Header contents of an upstream's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerHead {
    /// Whether the upstream states that the request did not run.
    pub is_not_run: bool,
    /// Whether another upstream now listens at the address.
    pub is_other_upstream: bool,
    /// Id of the request that was answered.
    pub request: Option<CompactString>,
    /// Whether the response carries the upstream's seal for the body.
    pub is_sealed: bool,
    /// What the upstream says of its own state.
    pub notice: UpstreamNotice,
}

/// Reads and writes a platform's headers; implemented by the platform adapter.
pub trait HeaderCodec {
    /// Reads the headers of a client request.
    fn read_call(&self, headers: &HeaderMap) -> CallHead;

    /// Removes headers that only the system may set, and hop-by-hop headers.
    fn strip_call(&self, headers: &mut HeaderMap);

    /// Removes the caller's credential, and the name of an account that the caller set itself.
    fn strip_credential(&self, headers: &mut HeaderMap);

    /// Adds the headers for one attempt.
    fn write_attempt(&self, headers: &mut HeaderMap, head: &AttemptHead);

    /// Reads the headers of an upstream's response.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Names the credential that a request needs, in the response that refuses it.
    fn write_challenge(&self, headers: &mut HeaderMap);

    /// Removes hop-by-hop headers and the length of the body from a response.
    fn strip_answer(&self, headers: &mut HeaderMap);
}
