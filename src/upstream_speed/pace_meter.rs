//! Measures the time per event of one stream.

use crate::prelude::*;

/// Milliseconds that one sample covers at least.
const SAMPLE_MS: u64 = 500;

/// Events that one sample covers at least.
const SAMPLE_EVENTS: u64 = 4;

/// Measures the time per event of one stream.
///
/// A stream whose caller reads slowly arrives slowly, too. So only samples count in which this
/// process waited for the upstream for most of the time.
#[derive(Debug, Default)]
pub struct PaceMeter {
    /// Begin of the present sample; `None` before the first event.
    begun_at: Option<MonoTime>,
    /// Events of the present sample.
    events: u64,
    /// Milliseconds of the present sample in which this process waited for the upstream.
    waited_ms: u64,
}

impl PaceMeter {
    /// Records events that arrived at `now`, for which this process waited since `asked_at`. Returns
    /// the milliseconds per event when a sample is complete. The first events begin a sample: the time
    /// before them belongs to the prompt.
    pub fn record_events(&mut self, asked_at: MonoTime, now: MonoTime, events: u64) -> Option<f64> {
        let Some(begun_at) = self.begun_at else {
            self.begun_at = Some(now);
            return None;
        };
        self.events = self.events.saturating_add(events);
        self.waited_ms += now.millis_since(asked_at.max(begun_at));
        let took_ms = now.millis_since(begun_at);
        if took_ms < SAMPLE_MS || self.events < SAMPLE_EVENTS {
            return None;
        }
        let is_upstreams_pace = self.waited_ms * 2 > took_ms;
        #[allow(clippy::cast_precision_loss)]
        let event_ms = took_ms as f64 / self.events as f64;
        *self = Self {
            begun_at: Some(now),
            ..Self::default()
        };
        is_upstreams_pace.then_some(event_ms)
    }
}
