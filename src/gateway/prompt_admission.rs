//! Delays prompts to an engine that is still reading (prefilling) others.
//!
//! An engine reads prompts between the tokens of its running streams. Many prompts at once delay
//! every stream there beyond the longest allowed gap; prompts sent one after the other delay none.

use crate::prelude::*;

/// Limit of this process's unread prompt tokens at an engine, including an urgent prompt to be
/// sent; a few processes together stay below what an engine reads within one gap.
const URGENT_WINDOW_TOKENS: u32 = 5_000;

/// The same limit for less urgent prompts, which leave the rest to urgent ones.
const NORMAL_WINDOW_TOKENS: u32 = 2_500;

/// Least urgent rank that uses the larger window.
const LAST_URGENT_RANK: u8 = 1;

/// Longest delay of a prompt as a fraction of its target, as a divisor.
const HOLD_DIVISOR: u64 = 2;

/// Inputs of the decision whether a prompt is delayed.
#[derive(Debug, Clone, Copy)]
pub struct PromptAdmission {
    /// Current time.
    pub now: MonoTime,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Target time to the first part of the answer in milliseconds.
    pub target_ms: u64,
    /// When the request was first delayed, if it was.
    pub held_since: Option<MonoTime>,
    /// Prompt tokens of this process that the engine has yet to read.
    pub unread_tokens: u32,
}

impl PromptAdmission {
    /// Longest further delay in milliseconds; `None` if the prompt is sent now.
    #[must_use]
    pub fn hold_ms(&self) -> Option<u64> {
        let window_tokens = if self.rank <= LAST_URGENT_RANK {
            URGENT_WINDOW_TOKENS
        } else {
            NORMAL_WINDOW_TOKENS
        };
        // A prompt larger than the window is sent when no other is unread.
        let is_alone = self.unread_tokens == 0;
        if is_alone || self.unread_tokens + self.prompt_tokens <= window_tokens {
            return None;
        }
        let held_since = self.held_since.unwrap_or(self.now);
        let held_until = held_since + self.target_ms / HOLD_DIVISOR;
        let left_ms = held_until.millis_since(self.now);
        (left_ms > 0).then_some(left_ms)
    }
}
