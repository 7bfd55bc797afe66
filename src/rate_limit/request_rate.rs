//! A request rate.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Requests per second; finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Display, Serialize, Deserialize)]
#[display("{_0}/s")]
pub struct RequestRate(f64);

impl RequestRate {
    /// A rate in requests per second; `None` unless it is finite and not negative.
    #[must_use]
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        (per_s.is_finite() && per_s >= 0.0).then_some(Self(per_s))
    }

    /// Requests per second.
    #[must_use]
    pub const fn per_s(self) -> f64 {
        self.0
    }
}
