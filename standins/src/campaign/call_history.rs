//! Records of the calls that a campaign sent and of their results.

use std::time::Duration;

use quetzalpin::prelude::*;

use crate::caller_client::CallOutcome;

/// Content of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallSubject {
    /// Chat request.
    Chat {
        /// Prompt; unique in the campaign, except for those that crash engines, which are resent.
        prompt: String,
        /// Whether the answer is streamed.
        stream: bool,
        /// Number of tokens to generate.
        tokens: u32,
    },
    /// Non-idempotent call that stamps a batch.
    Stamp {
        /// Name of the batch, also the idempotency key.
        batch: String,
    },
}

/// Result of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// Complete answer with its body.
    Answer(String),
    /// Answer with status 200 whose body ended early with an error.
    Cut,
    /// Typed refusal.
    Refused(RequestRefusal),
    /// The connection broke or the client timed out; the caller does not know whether the
    /// request ran.
    Broken,
    /// Other status with a body that is not a typed refusal.
    Untyped(u16, String),
}

/// One call with its result.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Content of the call.
    pub subject: CallSubject,
    /// Request identifier, chosen by the caller.
    pub id: String,
    /// Index of the entry that received the call.
    pub entry: usize,
    /// Time from the start of the campaign until the call was sent.
    pub started_after: Duration,
    /// Duration of the call.
    pub duration: Duration,
    /// Deadline in milliseconds.
    pub deadline_ms: u64,
    /// Result of the call.
    pub result: CallResult,
    /// How often the batch had been stamped when the call ended; 0 for chats.
    pub run_count: u32,
}

/// Classifies the outcome of a call; `None` means that no response arrived in time.
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
