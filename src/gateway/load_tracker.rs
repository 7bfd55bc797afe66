//! What this process knows of each upstream's load and health.

use slotmap::SecondaryMap;

use crate::fleet::UpstreamKey;
use crate::prelude::*;

/// Milliseconds for which a load told in an answer is taken as it is.
const REPORTED_FRESH_MS: u64 = 800;

/// Milliseconds that an upstream is passed over after its first failure to answer.
const FIRST_EJECTION_MS: u64 = 500;

/// Longest such time.
const MAX_EJECTION_MS: u64 = 4_000;

/// Weight of the newest attempt in the failure estimate.
const FAILURE_WEIGHT: f64 = 0.25;

/// Share of failed attempts above which an upstream is passed over while others exist.
const FAILING_SHARE: f64 = 0.3;

/// Milliseconds over which a failure estimate loses half of its weight.
const FAILURE_HALF_LIFE_MS: f64 = 3_000.0;

/// How an attempt at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// It answered.
    Answered,
    /// It could not be reached.
    Unreachable,
    /// It answered wrongly, cut its answer or did not answer in time.
    Failed,
}

#[derive(Debug, Clone, Copy, Default)]
struct UpstreamLoad {
    in_flight: u32,
    /// Prompt tokens of own requests that have no first event yet.
    unread_tokens: u32,
    /// Load told in an answer, when, and own requests in flight then.
    reported: Option<(MonoTime, u32, u32)>,
    failures: f64,
    failures_at: MonoTime,
    ejections: u32,
    ejected_until: Option<MonoTime>,
}

/// Counts own requests and remembers what answers told.
#[derive(Debug, Default)]
pub struct LoadTracker {
    loads: SecondaryMap<UpstreamKey, UpstreamLoad>,
}

impl LoadTracker {
    /// Opens an empty book.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Counts a request sent.
    pub fn begin_request(&mut self, key: UpstreamKey) {
        if let Some(load) = self.load(key) {
            load.in_flight += 1;
        }
    }

    /// Counts a request ended.
    pub fn end_request(&mut self, key: UpstreamKey) {
        if let Some(load) = self.loads.get_mut(key) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Counts a prompt that the upstream must read.
    pub fn begin_prompt(&mut self, key: UpstreamKey, tokens: u32) {
        if let Some(load) = self.load(key) {
            load.unread_tokens += tokens;
        }
    }

    /// Counts a prompt that was read, or whose request has ended.
    pub fn end_prompt(&mut self, key: UpstreamKey, tokens: u32) {
        if let Some(load) = self.loads.get_mut(key) {
            load.unread_tokens = load.unread_tokens.saturating_sub(tokens);
        }
    }

    /// Prompt tokens that wait to be read there, as far as is known.
    #[must_use]
    pub fn unread_tokens(&self, key: UpstreamKey) -> u32 {
        self.loads.get(key).map_or(0, |load| load.unread_tokens)
    }

    /// Takes the load that an answer told.
    pub fn record_load(&mut self, now: MonoTime, key: UpstreamKey, count: u32) {
        if let Some(load) = self.load(key) {
            load.reported = Some((now, count, load.in_flight));
        }
    }

    /// Takes the end of an attempt.
    pub fn record_result(&mut self, now: MonoTime, key: UpstreamKey, result: AttemptResult) {
        let Some(load) = self.load(key) else {
            return;
        };
        let failed = if result == AttemptResult::Answered {
            0.0
        } else {
            1.0
        };
        let known = decayed(load, now);
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

    /// Requests that run or wait at the upstream, as far as is known.
    #[must_use]
    pub fn estimate(&self, now: MonoTime, key: UpstreamKey) -> u32 {
        let Some(load) = self.loads.get(key) else {
            return 0;
        };
        match load.reported {
            Some((at, count, own)) if now.millis_since(at) < REPORTED_FRESH_MS => (count
                + load.in_flight)
                .saturating_sub(own)
                .max(load.in_flight),
            _ => load.in_flight,
        }
    }

    /// Milliseconds since the upstream last told its load, if it did.
    #[must_use]
    pub fn report_age_ms(&self, now: MonoTime, key: UpstreamKey) -> Option<u64> {
        let (at, _, _) = self.loads.get(key)?.reported?;
        Some(now.millis_since(at))
    }

    /// Whether the upstream could not be reached a moment ago.
    #[must_use]
    pub fn is_unreachable(&self, now: MonoTime, key: UpstreamKey) -> bool {
        let until = self.loads.get(key).and_then(|load| load.ejected_until);
        until.is_some_and(|until| now < until)
    }

    /// Upstreams that could not be reached when last tried.
    pub fn unreachable(&self) -> impl Iterator<Item = UpstreamKey> {
        self.loads
            .iter()
            .filter(|(_, load)| load.ejected_until.is_some())
            .map(|(key, _)| key)
    }

    /// Whether the upstream is better passed over.
    #[must_use]
    pub fn is_suspect(&self, now: MonoTime, key: UpstreamKey) -> bool {
        self.loads
            .get(key)
            .is_some_and(|load| decayed(load, now) > FAILING_SHARE)
    }

    /// Forgets upstreams that are gone.
    pub fn retain(&mut self, exists: impl Fn(UpstreamKey) -> bool) {
        self.loads.retain(|key, _| exists(key));
    }

    /// The load of an upstream; `None` for one that is gone and whose place another one has taken.
    fn load(&mut self, key: UpstreamKey) -> Option<&mut UpstreamLoad> {
        if !self.loads.contains_key(key) {
            self.loads.insert(key, UpstreamLoad::default());
        }
        self.loads.get_mut(key)
    }
}

fn decayed(load: &UpstreamLoad, now: MonoTime) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let age_ms = now.millis_since(load.failures_at) as f64;
    load.failures * (-age_ms / FAILURE_HALF_LIFE_MS * std::f64::consts::LN_2).exp()
}
