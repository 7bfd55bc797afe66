//! What a request needs and how urgent it is.

/// Weight that a rank loses against the next more urgent one.
const RANK_STEP: f64 = 0.25;

/// Lowest weight of a rank.
const MIN_WEIGHT: f64 = 0.25;

/// Milliseconds left to wait at which a request counts half as much as one that can't wait: what can
/// still wait waits.
const HALF_URGENT_MS: f64 = 10_000.0;

/// Rank, deadline and work of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestWork {
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Tokens of the prompt and of the answer.
    pub tokens: u32,
    /// Milliseconds for which the request can still wait.
    pub left_ms: u64,
}

impl RequestWork {
    /// Value for each unit of work, where a request of mean size counts as one unit.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn value(&self, mean_tokens: f64) -> f64 {
        let weight = (1.0 - RANK_STEP * f64::from(self.rank)).max(MIN_WEIGHT);
        let urgency = HALF_URGENT_MS / (HALF_URGENT_MS + self.left_ms as f64);
        let units = f64::from(self.tokens.max(1)) / mean_tokens.max(1.0);
        weight * urgency / units
    }
}
