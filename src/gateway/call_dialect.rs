//! What requests and answers say in their headers, whatever the headers' names.

use compact_str::CompactString;
use hyper::{HeaderMap, StatusCode};

use crate::fleet::ModelNeed;
use crate::prelude::*;

/// One part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part's text.
    pub id: CompactString,
    /// Its tokens.
    pub tokens: u32,
}

/// What a caller's request says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallHead {
    /// Identity of the attempt; empty if the caller gave none.
    pub request: CompactString,
    /// Milliseconds that the caller waits.
    pub deadline_ms: Option<u64>,
    /// Model and adapter, for engines.
    pub need: Option<ModelNeed>,
    /// Parts of the prompt in order; the last one is the request's own.
    pub prompt: Vec<PromptPart>,
    /// Tokens of the answer, as far as the caller can say.
    pub output_tokens: Option<u32>,
}

/// What is added to a request on its way to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptHead {
    /// Milliseconds left.
    pub deadline_ms: u64,
    /// The upstream that may run it.
    pub upstream: UpstreamId,
    /// Priority at an engine, 0 first.
    pub priority: Option<u8>,
}

/// What an upstream's answer says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The request provably did not run.
    pub is_not_run: bool,
    /// Another upstream listens at the address.
    pub is_other_upstream: bool,
    /// Identity of the request that was answered.
    pub request: Option<CompactString>,
    /// Whether the upstream vouches for the body.
    pub is_sealed: bool,
    /// Requests that run or wait at the upstream.
    pub load: Option<u32>,
}

/// Translates headers; implemented by the adapter of a platform.
pub trait CallDialect {
    /// Reads a caller's request.
    fn read_call(&self, headers: &HeaderMap) -> CallHead;

    /// Removes what only the system may set and what concerns one connection.
    fn strip_call(&self, headers: &mut HeaderMap);

    /// Adds what concerns one attempt.
    fn write_attempt(&self, headers: &mut HeaderMap, head: &AttemptHead);

    /// Reads an upstream's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Removes what concerns one connection from an answer.
    fn strip_answer(&self, headers: &mut HeaderMap);
}
