//! What the upstreams of a service have in common.

use crate::prelude::*;

/// Classes of load, by powers of two; the last one starts at 32 requests.
const LOAD_CLASSES: usize = 7;

/// Samples that an effect of load is assumed to rest on before the first one.
const PRIOR_COUNT: f64 = 16.0;

/// Least weight of the latest sample in an effect of load.
const MIN_GAIN: f64 = 1.0 / 128.0;

/// Weight of the latest request in the mean duration.
const DURATION_GAIN: f64 = 0.05;

#[derive(Debug, Clone, Copy, Default)]
struct LoadEffect {
    /// Natural logarithm of the duration at this load relative to that without other requests.
    log_factor: f64,
    count: f64,
}

/// Effect of the load on durations, the median speed and the mean duration of requests.
#[derive(Debug, Default)]
pub(super) struct ServicePace {
    effects: [LoadEffect; LOAD_CLASSES],
    /// Median of the upstreams' speeds as the natural logarithm of a duration factor.
    pub(super) median: f64,
    /// When the median was last determined; `None` before the first time.
    pub(super) settled_at: Option<MonoTime>,
    request_ms: Option<f64>,
}

impl ServicePace {
    /// Natural logarithm of the effect of a number of requests that run beside one.
    pub(super) fn load_effect(&self, load: u32) -> f64 {
        self.effects[load_class(load)].log_factor
    }

    /// Adjusts the effect of a load by the unexplained part of a sample. Without load there is no
    /// effect: it is what the norms of the work stand for.
    pub(super) fn adjust_load_effect(&mut self, load: u32, surprise: f64) {
        let class = load_class(load);
        if class == 0 {
            return;
        }
        let effect = &mut self.effects[class];
        effect.count += 1.0;
        effect.log_factor += surprise * (1.0 / (effect.count + PRIOR_COUNT)).max(MIN_GAIN);
    }

    /// Adds the duration of a whole request in milliseconds to the mean.
    pub(super) fn record_request(&mut self, request_ms: f64) {
        let mean_ms = self.request_ms.get_or_insert(request_ms);
        *mean_ms += (request_ms - *mean_ms) * DURATION_GAIN;
    }

    /// Mean duration of a request in milliseconds; `None` before the first one.
    pub(super) const fn request_ms(&self) -> Option<f64> {
        self.request_ms
    }
}

/// Class of a load: 0 and 1, 2 and 3, 4 to 7, and so on.
fn load_class(load: u32) -> usize {
    let class = usize::try_from(load.max(1).ilog2()).unwrap_or(usize::MAX);
    class.min(LOAD_CLASSES - 1)
}
