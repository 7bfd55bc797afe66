//! Load and health of each upstream, as seen by this process.

use slotmap::SecondaryMap;

use crate::fleet::UpstreamKey;
use crate::prelude::*;

/// Milliseconds for which a load reported in an answer is used.
const REPORTED_LOAD_TTL_MS: u64 = 800;

/// Milliseconds for which a reported load is taken as the batch beside a piece of work; streams run
/// for several seconds, so the batch changes slowly.
const BATCH_LOAD_TTL_MS: u64 = 4_000;

/// Milliseconds for which an upstream is ejected after the first failed connection; doubles with
/// each further one.
const FIRST_EJECTION_MS: u64 = 500;

/// Longest ejection in milliseconds.
const MAX_EJECTION_MS: u64 = 4_000;

/// Weight of the latest attempt in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.25;

/// Average failure above which an upstream is avoided while others exist.
const SUSPECT_FAILURE_SHARE: f64 = 0.3;

/// Half-life of the failure average in milliseconds.
const FAILURE_HALF_LIFE_MS: f64 = 3_000.0;

/// How an attempt at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The upstream answered.
    Answered,
    /// The upstream could not be reached.
    Unreachable,
    /// The upstream answered wrongly, cut its answer off or did not answer in time.
    Failed,
}

#[derive(Debug, Clone, Copy, Default)]
struct UpstreamLoad {
    in_flight: u32,
    /// Prompt tokens of this process's requests that have no first event yet.
    unread_tokens: u32,
    /// Time and value of the last reported load, and this process's requests in flight at that time.
    reported: Option<(MonoTime, u32, u32)>,
    failures: f64,
    failures_at: MonoTime,
    ejections: u32,
    ejected_until: Option<MonoTime>,
}

/// Tracks this process's requests at each upstream and the load that upstreams report.
#[derive(Debug, Default)]
pub struct LoadTracker {
    loads: SecondaryMap<UpstreamKey, UpstreamLoad>,
}

impl LoadTracker {
    /// Creates an empty tracker.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Counts a request as in flight.
    pub fn begin_request(&mut self, key: UpstreamKey) {
        if let Some(load) = self.load(key) {
            load.in_flight += 1;
        }
    }

    /// Removes a request from those in flight.
    pub fn end_request(&mut self, key: UpstreamKey) {
        if let Some(load) = self.loads.get_mut(key) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Adds the tokens of a prompt that the upstream has yet to read.
    pub fn begin_prompt(&mut self, key: UpstreamKey, tokens: u32) {
        if let Some(load) = self.load(key) {
            load.unread_tokens = load.unread_tokens.saturating_add(tokens);
        }
    }

    /// Removes the tokens of a prompt that was read, or whose request has ended.
    pub fn end_prompt(&mut self, key: UpstreamKey, tokens: u32) {
        if let Some(load) = self.loads.get_mut(key) {
            load.unread_tokens = load.unread_tokens.saturating_sub(tokens);
        }
    }

    /// Prompt tokens of this process's requests that the upstream has yet to read.
    #[must_use]
    pub fn unread_tokens(&self, key: UpstreamKey) -> u32 {
        self.loads.get(key).map_or(0, |load| load.unread_tokens)
    }

    /// Records the load reported in an answer.
    pub fn record_load(&mut self, now: MonoTime, key: UpstreamKey, count: u32) {
        if let Some(load) = self.load(key) {
            load.reported = Some((now, count, load.in_flight));
        }
    }

    /// Records the result of an attempt in the failure average and the ejection state.
    pub fn record_result(&mut self, now: MonoTime, key: UpstreamKey, result: AttemptResult) {
        let Some(load) = self.load(key) else {
            return;
        };
        let failed = if result == AttemptResult::Answered {
            0.0
        } else {
            1.0
        };
        let known = decayed_failures(load, now);
        load.failures = known + (failed - known) * FAILURE_WEIGHT;
        load.failures_at = now;
        match result {
            AttemptResult::Answered => {
                load.ejections = 0;
                load.ejected_until = None;
            }
            AttemptResult::Unreachable => {
                let ejection_ms = FIRST_EJECTION_MS << load.ejections.min(3);
                load.ejections += 1;
                load.ejected_until = Some(now + ejection_ms.min(MAX_EJECTION_MS));
            }
            AttemptResult::Failed => {}
        }
    }

    /// Estimated number of requests that run or wait at the upstream.
    #[must_use]
    pub fn estimate(&self, now: MonoTime, key: UpstreamKey) -> u32 {
        let Some(load) = self.loads.get(key) else {
            return 0;
        };
        match load.reported {
            Some((at, count, own)) if now.millis_since(at) < REPORTED_LOAD_TTL_MS => count
                .saturating_add(load.in_flight)
                .saturating_sub(own)
                .max(load.in_flight),
            _ => load.in_flight,
        }
    }

    /// Number of requests beside which a piece of work at the upstream runs; `None` if its last report
    /// is too old to tell.
    #[must_use]
    pub fn recent_load(&self, now: MonoTime, key: UpstreamKey) -> Option<u32> {
        let load = self.loads.get(key)?;
        let Some((at, count, own)) = load.reported else {
            return Some(load.in_flight);
        };
        let is_recent = now.millis_since(at) < BATCH_LOAD_TTL_MS;
        is_recent.then(|| count.saturating_add(load.in_flight).saturating_sub(own))
    }

    /// Milliseconds since the upstream last reported its load; `None` if it never did.
    #[must_use]
    pub fn report_age_ms(&self, now: MonoTime, key: UpstreamKey) -> Option<u64> {
        let (at, _, _) = self.loads.get(key)?.reported?;
        Some(now.millis_since(at))
    }

    /// Whether the upstream is ejected because it could not be reached.
    #[must_use]
    pub fn is_unreachable(&self, now: MonoTime, key: UpstreamKey) -> bool {
        let until = self.loads.get(key).and_then(|load| load.ejected_until);
        until.is_some_and(|until| now < until)
    }

    /// Upstreams without an answer since a failed connection.
    pub fn unreachable(&self) -> impl Iterator<Item = UpstreamKey> {
        self.loads
            .iter()
            .filter(|(_, load)| load.ejected_until.is_some())
            .map(|(key, _)| key)
    }

    /// Whether the upstream failed so often recently that others are preferred.
    #[must_use]
    pub fn is_suspect(&self, now: MonoTime, key: UpstreamKey) -> bool {
        // The average only decays, so that most upstreams need no exponential.
        let may_be = |load: &&UpstreamLoad| load.failures > SUSPECT_FAILURE_SHARE;
        let load = self.loads.get(key).filter(may_be);
        load.is_some_and(|load| decayed_failures(load, now) > SUSPECT_FAILURE_SHARE)
    }

    /// Drops the state of upstreams that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(UpstreamKey) -> bool) {
        self.loads.retain(|key, _| exists(key));
    }

    /// Load of an upstream; `None` for a removed one whose slot another upstream has taken.
    fn load(&mut self, key: UpstreamKey) -> Option<&mut UpstreamLoad> {
        if !self.loads.contains_key(key) {
            self.loads.insert(key, UpstreamLoad::default());
        }
        self.loads.get_mut(key)
    }
}

fn decayed_failures(load: &UpstreamLoad, now: MonoTime) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let age_ms = now.millis_since(load.failures_at) as f64;
    load.failures * (-age_ms / FAILURE_HALF_LIFE_MS * std::f64::consts::LN_2).exp()
}
