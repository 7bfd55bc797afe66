//! Stand-in for the rate-limited weight store.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Rate and concurrency limits of the weight store.
#[derive(Debug, Clone, Copy)]
pub struct WeightLimits {
    /// Maximum number of model loads started per 1000 seconds.
    pub loads_per_ks: u64,
    /// Number of concurrent model loads at full speed; beyond it, all slow down in proportion.
    pub loads_at_once: u32,
    /// Number of concurrent adapter loads at full speed; they have no rate limit.
    pub adapter_loads_at_once: u32,
}

/// Simulates the transfer time of checkpoints and adapters under the limits.
#[derive(Debug)]
pub struct WeightStore {
    limits: WeightLimits,
    active: Cell<u32>,
    adapters_active: Cell<u32>,
    next_start: Cell<Option<Instant>>,
    /// Duration of each load in percent of the usual time; 100 by default.
    pub slowness_percent: Cell<u64>,
    max_active: Cell<u32>,
    fetches: Cell<u64>,
}

/// Interval at which a transfer recomputes its remaining time.
const STEP_MS: u64 = 5;

struct ActiveGuard<'a>(&'a Cell<u32>);

impl<'a> ActiveGuard<'a> {
    fn enter(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for ActiveGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl WeightStore {
    /// Opens a store without active loads.
    #[must_use]
    pub const fn open(limits: WeightLimits) -> Self {
        Self {
            limits,
            active: Cell::new(0),
            adapters_active: Cell::new(0),
            next_start: Cell::new(None),
            slowness_percent: Cell::new(100),
            max_active: Cell::new(0),
            fetches: Cell::new(0),
        }
    }

    /// Waits for the rate limit and for the transfer of a checkpoint that takes `millis` at full
    /// speed.
    pub async fn fetch_model(&self, millis: u64) {
        self.fetches.set(self.fetches.get() + 1);
        self.wait_for_rate_limit().await;
        let guard = ActiveGuard::enter(&self.active);
        self.max_active
            .set(self.max_active.get().max(self.active.get()));
        self.transfer(millis, &self.active, self.limits.loads_at_once)
            .await;
        drop(guard);
    }

    /// Waits for the transfer of an adapter that takes `millis` at full speed.
    pub async fn fetch_adapter(&self, millis: u64) {
        let guard = ActiveGuard::enter(&self.adapters_active);
        let limit = self.limits.adapter_loads_at_once;
        self.transfer(millis, &self.adapters_active, limit).await;
        drop(guard);
    }

    /// Highest number of concurrent model loads, and total number of model loads.
    #[must_use]
    pub const fn counts(&self) -> (u32, u64) {
        (self.max_active.get(), self.fetches.get())
    }

    async fn wait_for_rate_limit(&self) {
        let interval_us = 1_000_000_000 / self.limits.loads_per_ks.max(1);
        let now = Instant::now();
        let start = self.next_start.get().map_or(now, |next| next.max(now));
        self.next_start
            .set(Some(start + Duration::from_micros(interval_us)));
        compio::time::sleep_until(start).await;
    }

    async fn transfer(&self, millis: u64, active: &Cell<u32>, concurrency_limit: u32) {
        let mut remaining_us = millis * 1_000;
        let mut last = Instant::now();
        while remaining_us > 0 {
            compio::time::sleep(Duration::from_millis(STEP_MS)).await;
            let elapsed_us = u64::try_from(last.elapsed().as_micros()).unwrap_or(u64::MAX);
            last = Instant::now();
            let contention_percent =
                u64::from(active.get().max(concurrency_limit)) * 100 / u64::from(concurrency_limit);
            let slowness = contention_percent * self.slowness_percent.get() / 100;
            remaining_us = remaining_us.saturating_sub(elapsed_us * 100 / slowness.max(1));
        }
    }
}
