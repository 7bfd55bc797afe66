//! Sums the demand that all entries report.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::fleet::ModelNeed;
use crate::prelude::*;
use crate::time::RateMeter;

/// Milliseconds after which an entry's report expires; entries report twice a second.
const REPORT_TTL_MS: u64 = 2_500;

/// Time constant in milliseconds of the exponential average of request rates.
const RATE_WINDOW_MS: f64 = 5_000.0;

/// Requests that wait at one entry for the same model or adapter to be loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingRequests {
    /// The missing model or adapter.
    #[serde(flatten)]
    pub need: ModelNeed,
    /// Service whose engines may load it.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Number of waiting requests.
    #[serde(rename = "n")]
    pub count: u32,
    /// Most urgent rank among them; the lowest number is the most urgent.
    #[serde(rename = "r")]
    pub rank: u8,
    /// Milliseconds that the oldest request has waited.
    #[serde(rename = "w")]
    pub waited_ms: u64,
}

/// Number of one entry's requests in flight for a model at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRequests(pub UpstreamId, pub ModelName, pub u32);

/// Number of requests for a model that arrived at one entry since its last report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArrivedRequests(pub ModelName, pub u32);

/// Demand report of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EntryDemand {
    /// Waiting requests by model or adapter.
    #[serde(rename = "w", default)]
    pub wants: Vec<WaitingRequests>,
    /// For each of `wants`, in the same order, the milliseconds after which the last of its requests
    /// gains nothing from the model any more. Empty in reports of older versions, which don't say.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub left_ms: Vec<u32>,
    /// Requests in flight by engine and model.
    #[serde(rename = "u", default)]
    pub runs: Vec<RunningRequests>,
    /// Requests that arrived since the last report, by model.
    #[serde(rename = "q", default)]
    pub asked: Vec<ArrivedRequests>,
    /// Upstreams that, since the last report, answered that they lack a model that
    /// they should have.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub lacking: Vec<UpstreamId>,
    /// Upstreams that the entry failed to reach.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub unreachable: Vec<UpstreamId>,
}

/// Requests of all entries that wait for the same model or adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingTotal {
    /// Service whose engines may load it.
    pub service: ServiceName,
    /// Number of waiting requests.
    pub count: u32,
    /// Most urgent rank among them.
    pub rank: u8,
    /// When the oldest request began to wait.
    pub since: MonoTime,
    /// When the last request gains nothing from the model any more; `None` if an entry doesn't say.
    pub usable_until: Option<MonoTime>,
}

/// Keeps the latest report of each entry, their sums, and request rates by model.
#[derive(Debug, Default)]
pub struct DemandAggregator {
    reports: HashMap<InstanceName, (MonoTime, EntryDemand)>,
    rates: HashMap<ModelName, RateMeter>,
    /// Sums over `reports`; changed by what a report adds to and takes from them.
    sums: DemandSums,
}

/// Waiting requests of each entry for one model or adapter; never empty.
type WaitingByEntry = HashMap<InstanceName, WaitingTotal>;

#[derive(Debug, Default)]
struct DemandSums {
    waiting: HashMap<ModelNeed, WaitingByEntry>,
    /// Totals of `waiting`.
    wants: BTreeMap<ModelNeed, WaitingTotal>,
    /// Requests in flight by engine and model; every count is above zero.
    runs: HashMap<UpstreamId, HashMap<ModelName, u32>>,
    /// Upstreams that at least half of the entries that use them could not reach.
    unreachable: HashSet<UpstreamId>,
}

impl DemandSums {
    /// Adds an entry's report.
    fn add(&mut self, at: MonoTime, entry: &InstanceName, demand: &EntryDemand) {
        for (index, requests) in demand.wants.iter().enumerate() {
            let since = at - requests.waited_ms;
            let left_ms = demand.left_ms.get(index);
            let total = WaitingTotal {
                service: requests.service.clone(),
                count: requests.count,
                rank: requests.rank,
                since,
                usable_until: left_ms.map(|left_ms| at + u64::from(*left_ms)),
            };
            let waiting = self.waiting.entry(requests.need.clone()).or_default();
            match waiting.get_mut(entry) {
                Some(known) => known.merge(&total),
                None => {
                    waiting.insert(entry.clone(), total);
                }
            }
            self.sum_waiting(&requests.need);
        }
        for RunningRequests(id, model, count) in &demand.runs {
            let models = self.runs.entry(id.clone()).or_default();
            *models.entry(model.clone()).or_default() += count;
        }
    }

    /// Removes an entry's report.
    fn remove(&mut self, entry: &InstanceName, demand: &EntryDemand) {
        for requests in &demand.wants {
            if let Some(waiting) = self.waiting.get_mut(&requests.need) {
                waiting.remove(entry);
                if waiting.is_empty() {
                    self.waiting.remove(&requests.need);
                }
            }
            self.sum_waiting(&requests.need);
        }
        for RunningRequests(id, model, count) in &demand.runs {
            self.remove_running(id, model, *count);
        }
    }

    fn remove_running(&mut self, id: &UpstreamId, model: &ModelName, count: u32) {
        let Some(models) = self.runs.get_mut(id) else {
            return;
        };
        if let Some(running) = models.get_mut(model) {
            *running = running.saturating_sub(count);
            if *running == 0 {
                models.remove(model);
            }
        }
        if models.is_empty() {
            self.runs.remove(id);
        }
    }

    /// Sums the waiting requests of all entries for one model or adapter.
    fn sum_waiting(&mut self, need: &ModelNeed) {
        let mut entries = self.waiting.get(need).into_iter().flat_map(HashMap::values);
        let Some(first) = entries.next() else {
            self.wants.remove(need);
            return;
        };
        let mut total = first.clone();
        entries.for_each(|waiting| total.merge(waiting));
        self.wants.insert(need.clone(), total);
    }
}

impl WaitingTotal {
    fn merge(&mut self, other: &Self) {
        self.count += other.count;
        self.rank = self.rank.min(other.rank);
        self.since = self.since.min(other.since);
        let both = self.usable_until.zip(other.usable_until);
        self.usable_until = both.map(|(left, right)| left.max(right));
    }

    /// Whether a request is still waiting that gains from the model if it becomes usable then.
    #[must_use]
    pub fn gains_at(&self, usable_at: MonoTime) -> bool {
        self.usable_until.is_none_or(|until| usable_at <= until)
    }
}

/// Upstreams that at least half of the entries that run requests there, or tried to, could not
/// reach.
fn unreachable(reports: &HashMap<InstanceName, (MonoTime, EntryDemand)>) -> HashSet<UpstreamId> {
    let mut failed_entries: HashMap<&UpstreamId, usize> = HashMap::new();
    for (_, demand) in reports.values() {
        for id in &demand.unreachable {
            *failed_entries.entry(id).or_default() += 1;
        }
    }
    let trying_entries = |id: &UpstreamId| {
        let demands = reports.values().map(|(_, demand)| demand);
        let trying = demands.filter(|demand| {
            demand.unreachable.contains(id) || demand.runs.iter().any(|requests| requests.0 == *id)
        });
        trying.count()
    };
    let mostly_unreachable = failed_entries
        .into_iter()
        .filter(|(id, count)| count * 2 >= trying_entries(id));
    mostly_unreachable.map(|(id, _)| id.clone()).collect()
}

impl DemandAggregator {
    /// Records an entry's report in place of its previous one.
    pub fn record(&mut self, now: MonoTime, entry: InstanceName, demand: EntryDemand) {
        for ArrivedRequests(model, count) in &demand.asked {
            let rate = self.rates.entry(model.clone());
            rate.or_insert(RateMeter::open(RATE_WINDOW_MS))
                .record(now, *count);
        }
        if let Some((_, known)) = self.reports.remove(&entry) {
            self.sums.remove(&entry, &known);
        }
        self.sums.add(now, &entry, &demand);
        self.reports.insert(entry, (now, demand));
        self.drop_expired(now);
        self.sums.unreachable = unreachable(&self.reports);
    }

    /// Waiting requests of all entries by model or adapter.
    #[must_use]
    pub const fn wants(&self) -> &BTreeMap<ModelNeed, WaitingTotal> {
        &self.sums.wants
    }

    /// Requests in flight for a model at an engine, according to the entries' reports.
    #[must_use]
    pub fn running(&self, id: &UpstreamId, model: &ModelName) -> u32 {
        let models = self.sums.runs.get(id);
        models
            .and_then(|models| models.get(model))
            .copied()
            .unwrap_or(0)
    }

    /// Whether at least half of the entries that use an upstream could not reach it.
    #[must_use]
    pub fn is_unreachable(&self, id: &UpstreamId) -> bool {
        self.sums.unreachable.contains(id)
    }

    /// Average request rate of a model in requests per second.
    #[must_use]
    pub fn rate(&self, now: MonoTime, model: &ModelName) -> f64 {
        self.rates.get(model).map_or(0.0, |rate| rate.per_s(now))
    }

    /// Drops the reports of entries that stopped reporting.
    pub fn drop_silent_entries(&mut self, now: MonoTime) {
        if self.drop_expired(now) {
            self.sums.unreachable = unreachable(&self.reports);
        }
    }

    /// Returns whether a report was dropped.
    fn drop_expired(&mut self, now: MonoTime) -> bool {
        let is_expired = |at: MonoTime| now.millis_since(at) >= REPORT_TTL_MS;
        let silent: Vec<InstanceName> = self
            .reports
            .iter()
            .filter(|(_, (at, _))| is_expired(*at))
            .map(|(entry, _)| entry.clone())
            .collect();
        for entry in &silent {
            if let Some((_, demand)) = self.reports.remove(entry) {
                self.sums.remove(entry, &demand);
            }
        }
        !silent.is_empty()
    }
}
