//! Holds prompts back from an engine that still reads others.
//!
//! An engine reads prompts between the tokens of its running streams. Many prompts at once delay
//! every stream there beyond the longest allowed pause, while prompts that arrive in turn delay
//! none.

use crate::prelude::*;

/// Prompt tokens of this process that an engine may have before it unread when another urgent
/// prompt is sent; a few processes together stay below what one pause has time for.
const URGENT_WINDOW_TOKENS: u32 = 5_000;

/// The same for less urgent prompts, which leave the rest to urgent ones.
const PATIENT_WINDOW_TOKENS: u32 = 2_500;

/// Least urgent rank that uses the larger window.
const LAST_URGENT_RANK: u8 = 1;

/// Part of the target for which a prompt is held back at most, as a divisor.
const HOLD_DIVISOR: u64 = 2;

/// What decides whether a prompt is held back.
#[derive(Debug, Clone, Copy)]
pub struct PromptAdmission {
    /// The time.
    pub now: MonoTime,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Milliseconds within which the first part of the answer is in time.
    pub target_ms: u64,
    /// When the request was first held back, if it was.
    pub held_since: Option<MonoTime>,
    /// Tokens that the engine still reads for this process.
    pub unread_tokens: u32,
}

impl PromptAdmission {
    /// Milliseconds for which the prompt is held back at most; `None` if it goes out now.
    #[must_use]
    pub fn hold_ms(&self) -> Option<u64> {
        let window = if self.rank <= LAST_URGENT_RANK {
            URGENT_WINDOW_TOKENS
        } else {
            PATIENT_WINDOW_TOKENS
        };
        // A prompt larger than the window goes out alone.
        let is_alone = self.unread_tokens == 0;
        if is_alone || self.unread_tokens + self.prompt_tokens <= window {
            return None;
        }
        let held_since = self.held_since.unwrap_or(self.now);
        let held_until = held_since + self.target_ms / HOLD_DIVISOR;
        let left_ms = held_until.millis_since(self.now);
        (left_ms > 0).then_some(left_ms)
    }
}
