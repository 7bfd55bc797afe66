//! When a request would begin at an upstream.

use super::DurationFactor;

/// Milliseconds for which an engine of usual speed reads one token of a prompt; 2,400 tokens take 80.
pub const PROMPT_TOKEN_MS: f64 = 80.0 / 2_400.0;

/// Inputs of the forecast.
#[derive(Debug, Clone, Copy)]
pub struct BeginForecast {
    /// Requests that run or wait at the upstream.
    pub load: u32,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Prompt tokens that it has yet to read.
    pub unread_tokens: u32,
    /// Mean duration of a request of its service in milliseconds; 0 if it is not known.
    pub request_ms: f64,
    /// Present duration factor of the upstream.
    pub duration: DurationFactor,
}

impl BeginForecast {
    /// Whether the speed of the upstream differs from the usual one, so that it counts in the choice.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.duration != DurationFactor::USUAL
    }

    /// The duration factor with two decimals, for log lines.
    #[must_use]
    pub fn rounded_factor(&self) -> f64 {
        (self.duration.value() * 100.0).round() / 100.0
    }

    /// Milliseconds until the upstream begins with the request: until a slot is free and the prompts
    /// before it are read.
    #[must_use]
    pub fn begin_ms(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let queued = (f64::from(self.load) + 1.0 - slots).max(0.0);
        let slot_ms = queued / slots * self.request_ms;
        let read_ms = f64::from(self.unread_tokens) * PROMPT_TOKEN_MS;
        (slot_ms + read_ms) * self.duration.value()
    }
}
