//! Forecast of the queueing time of a new request.

use super::RankKey;

/// The newest window has the weight of one over this in the smoothed shares.
const SMOOTHING: f64 = 4.0;

/// Least share of service that a forecast divides by.
const MIN_SHARE: f64 = 0.01;

/// Tracks each rank's share of the upstream's service and forecasts waiting times from it.
#[derive(Debug, Clone, Default)]
pub struct WaitForecast {
    /// Smoothed share of service of each rank, most urgent first.
    shares: Vec<f64>,
    window_ms: Vec<u64>,
}

/// Queue state that a forecast is computed from.
#[derive(Debug, Clone, Copy)]
pub struct ForecastInput {
    /// The new request's rank.
    pub rank: RankKey,
    /// The rank's floor in percent.
    pub floor_percent: u32,
    /// Service milliseconds waiting in more urgent ranks.
    pub urgent_ms: u64,
    /// Service milliseconds of its own rank that are ahead of it.
    pub own_ms: u64,
    /// Requests running now.
    pub running: u32,
    /// Requests that may run at once.
    pub limit: u32,
    /// Mean milliseconds that a request runs.
    pub service_ms: u64,
}

impl WaitForecast {
    /// Creates a forecast without history.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Records that a request of a rank was dispatched.
    pub fn record(&mut self, rank: RankKey, service_ms: u64) {
        if self.window_ms.len() <= rank.0 {
            self.window_ms.resize(rank.0 + 1, 0);
        }
        self.window_ms[rank.0] += service_ms;
    }

    /// Closes the current window; must be called at a fixed interval, in which the upstream
    /// provides `capacity_ms` of service.
    #[allow(clippy::cast_precision_loss)]
    pub fn close_window(&mut self, capacity_ms: u64) {
        if self.shares.len() < self.window_ms.len() {
            self.shares.resize(self.window_ms.len(), 0.0);
        }
        let capacity = capacity_ms.max(1) as f64;
        for (share, used_ms) in self.shares.iter_mut().zip(&mut self.window_ms) {
            let latest = (*used_ms as f64 / capacity).min(1.0);
            *share += (latest - *share) / SMOOTHING;
            *used_ms = 0;
        }
    }

    /// Forecast milliseconds until the request is dispatched: the lesser of the time until all
    /// work ahead of it is done and the time that its rank's floor guarantees.
    #[must_use]
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    pub fn wait_ms(&self, input: ForecastInput) -> u64 {
        let ahead_ms = input.urgent_ms + input.own_ms;
        if input.running < input.limit && ahead_ms == 0 {
            return 0;
        }
        let limit = f64::from(input.limit.max(1));
        let urgent_share: f64 = self.shares.iter().take(input.rank.0).sum();
        let floor = f64::from(input.floor_percent) / 100.0;
        let after_urgent_ms = ahead_ms as f64 / limit / (1.0 - urgent_share).max(MIN_SHARE);
        let by_floor_ms = input.own_ms as f64 / limit / floor.max(MIN_SHARE);
        let next_free_ms = input.service_ms as f64 / limit;
        (next_free_ms + after_urgent_ms.min(by_floor_ms)) as u64
    }
}
