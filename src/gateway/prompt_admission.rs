//! Delays prompts to an engine that is still reading (prefilling) others.
//!
//! An engine reads prompts between the tokens of its running streams. Many prompts at once delay
//! every stream there beyond the longest allowed gap; prompts sent one after the other delay none.

use crate::prelude::*;
use crate::upstream_speed::{PROMPT_TOKEN_MS, UpstreamSpeed};

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
    /// Longest pause of a stream that is allowed, in milliseconds.
    pub gap_ms: u64,
    /// Requests that run beside it at the engine.
    pub load: u32,
    /// Speed of the engine.
    pub speed: UpstreamSpeed,
}

impl PromptAdmission {
    /// Longest further delay in milliseconds; `None` if the prompt is sent now.
    #[must_use]
    pub fn hold_ms(&self) -> Option<u64> {
        let tokens = f64::from(self.unread_tokens) + f64::from(self.prompt_tokens);
        // A prompt larger than the window is sent when no other is unread.
        let is_alone = self.unread_tokens == 0;
        let is_within_window = is_alone || tokens <= self.window_tokens();
        if is_within_window && !self.is_slow_moment() {
            return None;
        }
        let held_since = self.held_since.unwrap_or(self.now);
        let held_until = held_since + self.target_ms / HOLD_DIVISOR;
        let left_ms = held_until.millis_since(self.now);
        (left_ms > 0).then_some(left_ms)
    }

    /// Limit of unread tokens. An engine whose work takes longer reads fewer tokens within a gap.
    fn window_tokens(&self) -> f64 {
        let window_tokens = if self.rank <= LAST_URGENT_RANK {
            URGENT_WINDOW_TOKENS
        } else {
            NORMAL_WINDOW_TOKENS
        };
        let window_tokens = f64::from(window_tokens);
        let factor = self.speed.present.value();
        if factor <= 1.0 {
            return window_tokens;
        }
        (window_tokens / factor).min(self.gap_tokens(factor))
    }

    /// Whether the prompt would pause the streams beside it for too long only because the engine is
    /// slower now than it usually is; such a moment passes.
    fn is_slow_moment(&self) -> bool {
        let prompt_tokens = f64::from(self.prompt_tokens);
        let breaks_pace = |factor| prompt_tokens > self.gap_tokens(factor);
        let (lasting, present) = (self.speed.lasting.value(), self.speed.present.value());
        self.load > 0 && present > lasting && breaks_pace(present) && !breaks_pace(lasting)
    }

    /// Tokens that the engine reads within the longest pause allowed.
    #[allow(clippy::cast_precision_loss)]
    fn gap_tokens(&self, factor: f64) -> f64 {
        self.gap_ms as f64 / (PROMPT_TOKEN_MS * factor)
    }
}
