//! Moving estimate of request run times.

use crate::time::MonoTime;

/// A new sample has the weight of one over this in the moving average.
const SMOOTHING: u64 = 8;

/// Milliseconds without samples after which the excess over the best value is halved.
const DECAY_INTERVAL_MS: u64 = 5_000;

/// Excess over the best value, in microseconds, below which it is not halved further.
const NEGLIGIBLE_US: u64 = 500;

/// One smoothed duration.
#[derive(Debug, Clone, Copy)]
struct SmoothedTime {
    mean_us: u64,
    /// Lowest smoothed value since the start; never above `mean_us`.
    best_us: u64,
}

impl SmoothedTime {
    const fn open(initial_us: u64) -> Self {
        Self {
            mean_us: initial_us,
            best_us: initial_us,
        }
    }

    fn sample(&mut self, sample_us: u64) {
        self.mean_us = (self.mean_us * (SMOOTHING - 1) + sample_us) / SMOOTHING;
        self.best_us = self.best_us.min(self.mean_us);
    }

    const fn halve_excess(&mut self) {
        self.mean_us = self.best_us + (self.mean_us - self.best_us) / 2;
    }
}

/// Smoothed time to the first token, time per token, and share of the requested tokens that
/// are generated.
#[derive(Debug, Clone, Copy)]
pub struct ServiceEstimate {
    first: SmoothedTime,
    token: SmoothedTime,
    /// Tokens generated, in percent of those requested.
    fill_percent: u64,
    /// Smoothed total time of a request in microseconds.
    total_us: u64,
    updated_at: MonoTime,
}

/// Measured times and tokens of a finished request.
#[derive(Debug, Clone, Copy)]
pub struct ServiceSample {
    /// Microseconds to the first token, or of the whole call of a plain service.
    pub first_us: u64,
    /// Microseconds from the first to the last token.
    pub rest_us: u64,
    /// Tokens generated; zero for plain services.
    pub tokens: u64,
    /// Tokens requested; zero for plain services.
    pub requested_tokens: u64,
}

impl ServiceEstimate {
    /// Creates an estimate with initial values in microseconds.
    #[must_use]
    pub const fn open(first_us: u64, token_us: u64) -> Self {
        Self {
            first: SmoothedTime::open(first_us),
            token: SmoothedTime::open(token_us),
            fill_percent: 100,
            total_us: first_us,
            updated_at: MonoTime::from_millis(0),
        }
    }

    /// Adds a finished request.
    pub fn sample(&mut self, now: MonoTime, sample: ServiceSample) {
        self.first.sample(sample.first_us);
        if sample.tokens > 1 {
            self.token.sample(sample.rest_us / (sample.tokens - 1));
        }
        let total_us = sample.first_us + sample.rest_us;
        self.total_us = (self.total_us * (SMOOTHING - 1) + total_us) / SMOOTHING;
        if let Some(percent) = (sample.tokens * 100).checked_div(sample.requested_tokens) {
            self.fill_percent = (self.fill_percent * (SMOOTHING - 1) + percent) / SMOOTHING;
        }
        self.updated_at = now;
    }

    /// Decays a high estimate while there is no traffic, so that a recovered upstream is tried
    /// again.
    pub fn decay(&mut self, now: MonoTime) {
        if now.millis_since(self.updated_at) < DECAY_INTERVAL_MS {
            return;
        }
        self.updated_at = now;
        for time in [&mut self.first, &mut self.token] {
            if time.mean_us - time.best_us > NEGLIGIBLE_US {
                time.halve_excess();
            }
        }
    }

    /// Milliseconds to the first token.
    #[must_use]
    pub const fn first_ms(&self) -> u64 {
        self.first.mean_us / 1_000
    }

    /// Microseconds per token.
    #[must_use]
    pub const fn token_us(&self) -> u64 {
        self.token.mean_us
    }

    /// Microseconds of upstream time per requested token.
    #[must_use]
    pub const fn requested_token_us(&self) -> u64 {
        self.token.mean_us * self.fill_percent / 100
    }

    /// Mean milliseconds that a request runs.
    #[must_use]
    pub const fn mean_ms(&self) -> u64 {
        self.total_us / 1_000
    }

    /// Forecast run time of a request for `requested_tokens` tokens in milliseconds, at least one.
    #[must_use]
    pub fn service_ms(&self, requested_tokens: u32) -> u64 {
        let rest_us = self.requested_token_us() * u64::from(requested_tokens);
        ((self.first.mean_us + rest_us) / 1_000).max(1)
    }
}
