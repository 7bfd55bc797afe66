//! Learns how many concurrent loads the weight store carries at full speed.

use std::collections::VecDeque;

use slotmap::SecondaryMap;

use crate::fleet::UpstreamKey;
use crate::prelude::*;

/// Share of its nominal time by which a load may take longer and still count as at full speed. One
/// load more than four at full speed takes 25 % longer.
const SLOW_SHARE: f64 = 0.15;

/// Milliseconds after the end of a load until the planner has seen it: the lag of the engine's
/// report, the pause between two reads, and the calls.
const SEEN_MS: f64 = 600.0;

/// Mean number of concurrent loads from which on a slow load says something about their number. A
/// load that was slow by itself has another cause.
const MIN_CONCURRENT: f64 = 1.5;

/// Slow loads from which on the number counts as learned; one may be slow for another cause.
const MIN_SLOW_LOADS: usize = 2;

/// Slow loads that the number is the median of.
const MAX_SLOW_LOADS: usize = 5;

/// Multiple of its nominal time after which a load in progress counts as overdue.
const OVERDUE_FACTOR: f64 = 1.5;

/// Milliseconds without a slow load after which one load more than learned may run, since a slow
/// phase of the store may have ended.
const RETRY_MS: u64 = 120_000;

/// Shortest forecast in milliseconds for a load that should have ended.
const MIN_LEFT_MS: f64 = 150.0;

/// A load from the weight store in progress.
#[derive(Debug, Clone, Copy)]
struct StoreLoad {
    started_at: MonoTime,
    /// Duration in milliseconds at full speed.
    nominal_ms: f64,
    /// Milliseconds that it has run, each divided by the number of loads that ran in it.
    share_ms: f64,
}

/// Learns from the durations of loads how many run at full speed. `n` loads are taken to share the
/// store equally: each runs at `k / n` of the full speed if only `k < n` run at full speed.
#[derive(Debug, Default)]
pub struct StoreCapacity {
    running: SecondaryMap<UpstreamKey, StoreLoad>,
    /// Time up to which `share_ms` of all running loads is counted.
    counted_until: MonoTime,
    /// Numbers that the latest slow loads show, newest last; at most [`MAX_SLOW_LOADS`].
    slow_loads: VecDeque<f64>,
    /// The learned number; at least 1. `None` while loads take their nominal time.
    learned: Option<u32>,
    /// When a slow load last confirmed the learned number.
    confirmed_at: MonoTime,
}

impl StoreCapacity {
    /// Records that an engine begins a load that takes `nominal_ms` at full speed.
    pub fn begin(&mut self, now: MonoTime, key: UpstreamKey, nominal_ms: u64) {
        self.count(now);
        #[allow(clippy::cast_precision_loss)]
        let load = StoreLoad {
            started_at: now,
            nominal_ms: nominal_ms as f64,
            share_ms: 0.0,
        };
        self.running.insert(key, load);
    }

    /// Records that an engine's load is complete, and learns from its duration. Returns whether the
    /// learned number changed.
    pub fn complete(&mut self, now: MonoTime, key: UpstreamKey) -> bool {
        self.count(now);
        let before = self.learned;
        if let Some(load) = self.running.remove(key) {
            self.learn(now, load);
        }
        self.learned != before
    }

    /// Forgets an engine's load that ended in another way.
    pub fn abandon(&mut self, now: MonoTime, key: UpstreamKey) {
        self.count(now);
        self.running.remove(key);
    }

    /// Whether a load is in progress at an engine.
    #[must_use]
    pub fn is_running(&self, key: UpstreamKey) -> bool {
        self.running.contains_key(key)
    }

    /// Number of loads that run at full speed; `None` until it is learned.
    #[must_use]
    pub const fn learned(&self) -> Option<u32> {
        self.learned
    }

    /// Maximum number of concurrent loads; `None` while nothing shows that loads slow each other
    /// down.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn load_limit(&self, now: MonoTime) -> Option<usize> {
        if let Some(learned) = self.learned {
            let is_retried = now.millis_since(self.confirmed_at) >= RETRY_MS;
            return Some(learned as usize + usize::from(is_retried));
        }
        let bound = self.overdue_bound(now)?;
        Some((bound as usize).max(1))
    }

    /// Milliseconds until the load in progress at an engine ends. `None` without such a load, or
    /// while nothing shows that loads slow each other down.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn left_ms(&self, now: MonoTime, key: UpstreamKey) -> Option<u64> {
        let load = self.running.get(key)?;
        let full_speed = self.full_speed(now)?;
        let progress_ms = load
            .elapsed_ms(now)
            .min(full_speed * self.share_ms(now, load));
        let slowdown = (self.concurrent() / full_speed).max(1.0);
        let left_ms = (load.nominal_ms - progress_ms) * slowdown;
        Some(left_ms.max(MIN_LEFT_MS) as u64)
    }

    /// The learned number, or the upper bound that loads in progress show.
    fn full_speed(&self, now: MonoTime) -> Option<f64> {
        let learned = self.learned.map(f64::from);
        learned.or_else(|| self.overdue_bound(now))
    }

    /// Upper bound of the number that overdue loads show; the highest one if they differ. `None` with
    /// fewer than [`MIN_SLOW_LOADS`] of them: one may hang for another cause.
    fn overdue_bound(&self, now: MonoTime) -> Option<f64> {
        let is_overdue =
            |load: &&StoreLoad| load.elapsed_ms(now) > load.nominal_ms * OVERDUE_FACTOR + SEEN_MS;
        let overdue = self.running.values().filter(is_overdue);
        let mut bounds: Vec<f64> = overdue
            .filter(|load| load.elapsed_ms(now) >= MIN_CONCURRENT * self.share_ms(now, load))
            .map(|load| load.nominal_ms / self.share_ms(now, load))
            .collect();
        bounds.sort_by(f64::total_cmp);
        let highest = bounds.last().copied()?;
        (bounds.len() >= MIN_SLOW_LOADS).then_some(highest.max(1.0))
    }

    fn learn(&mut self, now: MonoTime, load: StoreLoad) {
        if load.nominal_ms <= 0.0 || load.share_ms <= 0.0 {
            return;
        }
        let elapsed_ms = load.elapsed_ms(now);
        let mean_concurrent = elapsed_ms / load.share_ms;
        if elapsed_ms > load.nominal_ms * (1.0 + SLOW_SHARE) + SEEN_MS {
            if mean_concurrent >= MIN_CONCURRENT {
                self.learn_slow_load(now, load.nominal_ms / load.share_ms);
            }
            return;
        }
        // More loads than learned ran at full speed: the learned number is too low.
        let is_higher = |learned: &u32| mean_concurrent >= f64::from(*learned) + 0.75;
        if self.learned.as_ref().is_some_and(is_higher) {
            self.learned = Some(whole_number(mean_concurrent));
            self.slow_loads.clear();
            self.confirmed_at = now;
        }
    }

    fn learn_slow_load(&mut self, now: MonoTime, number: f64) {
        self.slow_loads.push_back(number);
        if self.slow_loads.len() > MAX_SLOW_LOADS {
            self.slow_loads.pop_front();
        }
        if self.learned.is_none() && self.slow_loads.len() < MIN_SLOW_LOADS {
            return;
        }
        let mut numbers: Vec<f64> = self.slow_loads.iter().copied().collect();
        numbers.sort_by(f64::total_cmp);
        self.learned = Some(whole_number(numbers[numbers.len() / 2]));
        self.confirmed_at = now;
    }

    /// Counts the time that has passed for all running loads.
    fn count(&mut self, now: MonoTime) {
        let share_ms = self.uncounted_ms(now);
        for load in self.running.values_mut() {
            load.share_ms += share_ms;
        }
        self.counted_until = now;
    }

    /// Milliseconds since the last count, divided by the number of running loads.
    #[allow(clippy::cast_precision_loss)]
    fn uncounted_ms(&self, now: MonoTime) -> f64 {
        now.millis_since(self.counted_until) as f64 / self.concurrent().max(1.0)
    }

    fn share_ms(&self, now: MonoTime, load: &StoreLoad) -> f64 {
        (load.share_ms + self.uncounted_ms(now)).max(1.0)
    }

    #[allow(clippy::cast_precision_loss)]
    fn concurrent(&self) -> f64 {
        self.running.len() as f64
    }
}

impl StoreLoad {
    #[allow(clippy::cast_precision_loss)]
    fn elapsed_ms(&self, now: MonoTime) -> f64 {
        now.millis_since(self.started_at) as f64
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole_number(number: f64) -> u32 {
    (number.round() as u32).max(1)
}
