//! Records of all calls.

use std::time::Duration;

use quetzalpin::prelude::*;

use crate::caller_client::CallOutcome;

/// What was asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallSubject {
    /// A chat with this prompt; streamed or not; with this number of tokens.
    Chat {
        /// The prompt, unique in the campaign unless it crashes engines.
        prompt: String,
        /// Streamed.
        stream: bool,
        /// Tokens asked for.
        tokens: u32,
    },
    /// The stamp of a batch.
    Stamp {
        /// The batch.
        batch: String,
    },
}

/// How it ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// A whole answer.
    Answer(String),
    /// An answer that was visibly cut.
    Cut,
    /// A typed refusal.
    Refused(RequestRefusal),
    /// The connection broke; the caller knows nothing.
    Broken,
    /// A status without a typed refusal.
    Untyped(u16, String),
}

/// One call.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// What was asked.
    pub subject: CallSubject,
    /// Identifier of the request, as the caller chose it.
    pub id: String,
    /// The entry.
    pub entry: usize,
    /// From the campaign's start to the sending.
    pub began: Duration,
    /// Time that the call took.
    pub took: Duration,
    /// Milliseconds that the caller allowed.
    pub deadline_ms: u64,
    /// How it ended.
    pub end: CallResult,
    /// Runs of the stamp when the call ended.
    pub runs_then: u32,
}

/// Classifies what a caller saw.
pub fn classify_outcome(outcome: Option<CallOutcome>) -> CallResult {
    let Some(outcome) = outcome else {
        return CallResult::Broken;
    };
    match (outcome.status, outcome.is_whole, outcome.refusal()) {
        (200, true, _) => CallResult::Answer(outcome.text),
        (200, false, _) => CallResult::Cut,
        (_, _, Some(document)) => CallResult::Refused(document.refusal()),
        (_, false, None) => CallResult::Broken,
        (status, true, None) => CallResult::Untyped(status, outcome.text),
    }
}
