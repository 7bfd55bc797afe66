//! Mean size of requests, and the size that a tenth of them exceeds.

/// Weight of one request in the mean.
const MEAN_STEP: f64 = 0.02;

/// Part of the mean by which the quantile moves with one request, at most.
const QUANTILE_STEP: f64 = 0.1;

/// Share of requests that count as large.
const LARGE_SHARE: f64 = 0.1;

/// Sizes of the requests that arrived, in tokens.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SizeQuantile {
    mean: f64,
    large_from: f64,
}

impl SizeQuantile {
    /// Adds the size of a request that arrived.
    pub fn record(&mut self, tokens: u32) {
        let tokens = f64::from(tokens.max(1));
        if self.mean <= 0.0 {
            self.mean = tokens;
            self.large_from = tokens;
        }
        self.mean += (tokens - self.mean) * MEAN_STEP;
        let step = self.mean * QUANTILE_STEP;
        // In balance, nine small requests lower the limit by as much as a large one raises it.
        self.large_from += if tokens > self.large_from {
            step * (1.0 - LARGE_SHARE)
        } else {
            -step * LARGE_SHARE
        };
    }

    /// Mean size in tokens; 0 before the first request.
    pub const fn mean(&self) -> f64 {
        self.mean
    }

    /// Whether a size is among the largest tenth.
    pub fn is_large(&self, tokens: u32) -> bool {
        f64::from(tokens) > self.large_from
    }
}
