//! Latency distribution of a group of calls.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Significant decimal digits of the recorded values.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Histogram of latencies in microseconds.
#[derive(Clone)]
pub struct LatencyHistogram {
    histogram: Histogram<u64>,
}

impl LatencyHistogram {
    /// Creates an empty histogram.
    ///
    /// # Panics
    /// Never: the number of digits is valid.
    pub fn new() -> Self {
        let mut histogram =
            Histogram::new(SIGNIFICANT_DIGITS).expect("the number of digits is valid");
        histogram.auto(true);
        Self { histogram }
    }

    /// Records a latency.
    pub fn add(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        // The histogram resizes automatically, so recording cannot fail.
        let _ = self.histogram.record(micros);
    }

    /// Number of recorded latencies.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Latency at a percentile (0 to 100), in microseconds; 0 if nothing was recorded.
    pub fn micros_at(&self, percentile: f64) -> u64 {
        self.histogram.value_at_percentile(percentile)
    }

    /// Formats p50, p95 and p99 in milliseconds and the number of latencies on one line.
    pub fn line(&self) -> String {
        let millis = |percentile| millis_text(self.micros_at(percentile));
        format!(
            "p50 {:>9} ms  p95 {:>9} ms  p99 {:>9} ms  n {}",
            millis(50.0),
            millis(95.0),
            millis(99.0),
            self.count()
        )
    }
}

/// Formats microseconds as milliseconds with three decimals.
pub fn millis_text(micros: u64) -> String {
    format!("{}.{:03}", micros / 1_000, micros % 1_000)
}
