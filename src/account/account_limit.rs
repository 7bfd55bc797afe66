//! How much an account may use.

/// What the figures of a limit count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its tokens, those of the prompt and the most of the answer.
    Tokens {
        /// Tokens that a request counts as if it states none.
        plain_tokens: u32,
    },
}

/// Rate limit of one account over all gateways together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountLimit {
    /// Units a second; above zero.
    pub per_s: f64,
    /// Units that may be used at once after a pause; not negative.
    pub burst: f64,
    /// What a unit is.
    pub unit: LimitUnit,
}

impl AccountLimit {
    /// Units that a request uses; `tokens` is what it states, `None` if it states nothing.
    #[must_use]
    pub fn cost(&self, tokens: Option<u32>) -> u32 {
        match self.unit {
            LimitUnit::Requests => 1,
            LimitUnit::Tokens { plain_tokens } => tokens.unwrap_or(plain_tokens),
        }
    }

    /// Milliseconds in which the limit allows a number of units; at most a day.
    // The time is not negative and small.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    #[must_use]
    pub fn refill_ms(&self, units: u32) -> u64 {
        (f64::from(units) * 1_000.0 / self.per_s)
            .clamp(1.0, 86_400_000.0)
            .ceil() as u64
    }
}
