//! Learns the speeds of upstreams.

use std::collections::HashMap;

use slotmap::SecondaryMap;

use super::class_norms::ClassNorms;
use super::service_pace::ServicePace;
use super::speed_record::SpeedRecord;
use super::{ALIKE_RATIO, DurationFactor, DurationFigure, WorkSample};
use crate::fleet::UpstreamKey;
use crate::prelude::*;

/// Milliseconds between two determinations of the lasting speeds of a service.
const SETTLE_MS: u64 = 500;

/// Shortest duration in milliseconds that is compared. Times are measured in whole milliseconds by a
/// process that may be busy itself, so shorter ones differ by chance.
const MIN_WORK_MS: f64 = 5.0;

/// Milliseconds between two log lines on odd figures.
const ODD_LOG_MS: u64 = 10_000;

/// Speed of one upstream, as the choice of an upstream uses it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamSpeed {
    /// Duration factor that was learned from its work.
    pub lasting: DurationFactor,
    /// Duration factor at this moment.
    pub present: DurationFactor,
}

impl UpstreamSpeed {
    /// Speed of an upstream of which nothing is known.
    pub const USUAL: Self = Self {
        lasting: DurationFactor::USUAL,
        present: DurationFactor::USUAL,
    };
}

/// Learns the speeds of upstreams from their work and their reports.
///
/// The logarithm of a duration is explained as a sum: norm of the kind of work, effect of the load,
/// speed of the upstream. What is left unexplained adjusts all three, so that upstreams are compared
/// that run the same model, and models that run on the same upstreams.
#[derive(Debug, Default)]
pub struct SpeedTracker {
    norms: ClassNorms,
    services: HashMap<ServiceName, ServicePace>,
    records: SecondaryMap<UpstreamKey, SpeedRecord>,
    odd_figures: u64,
    odd_logged_at: Option<MonoTime>,
}

impl SpeedTracker {
    /// Creates a tracker that knows nothing.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Speed of an upstream.
    #[must_use]
    pub fn speed(&self, now: MonoTime, key: UpstreamKey) -> UpstreamSpeed {
        self.records
            .get(key)
            .map_or(UpstreamSpeed::USUAL, |record| UpstreamSpeed {
                lasting: record.lasting(),
                present: record.present(now),
            })
    }

    /// Milliseconds since an upstream last reported a figure; `None` if it never did.
    #[must_use]
    pub fn figure_age_ms(&self, now: MonoTime, key: UpstreamKey) -> Option<u64> {
        self.records.get(key)?.figure_age_ms(now)
    }

    /// Mean duration of a request of a service in milliseconds; 0 before the first one.
    #[must_use]
    pub fn request_ms(&self, service: &ServiceName) -> f64 {
        let pace = self.services.get(service);
        pace.and_then(ServicePace::request_ms).unwrap_or(0.0)
    }

    /// Upstreams whose lasting speed differs from that of the others.
    pub fn uneven(&self) -> impl Iterator<Item = (UpstreamKey, DurationFactor)> {
        let known = self.records.iter();
        known
            .map(|(key, record)| (key, record.lasting()))
            .filter(|(_, lasting)| *lasting != DurationFactor::USUAL)
    }

    /// Records the figure of an upstream's answer; `None` if the answer has none. Returns whether it
    /// is odd: unreadable, out of range, or missing though the upstream has sent one before.
    pub fn record_figure(
        &mut self,
        now: MonoTime,
        key: UpstreamKey,
        service: &ServiceName,
        figure: Option<DurationFigure>,
    ) -> bool {
        let Some(figure) = figure else {
            let is_odd = self.records.get(key).is_some_and(SpeedRecord::has_figure);
            self.odd_figures += u64::from(is_odd);
            return is_odd;
        };
        if let Some(factor) = figure.factor()
            && let Some(record) = self.record(key, service)
        {
            record.record_figure(now, factor);
        }
        let is_odd = !matches!(figure, DurationFigure::Sound(_));
        self.odd_figures += u64::from(is_odd);
        is_odd
    }

    /// Number of odd figures since the last call that returned one; `None` until a log line is due.
    pub fn take_odd_figures(&mut self, now: MonoTime) -> Option<u64> {
        let is_due = self
            .odd_logged_at
            .is_none_or(|at| now.millis_since(at) >= ODD_LOG_MS);
        if !is_due || self.odd_figures == 0 {
            return None;
        }
        self.odd_logged_at = Some(now);
        Some(std::mem::take(&mut self.odd_figures))
    }

    /// Learns from a piece of work. A sample from a moment that the upstream reports as slow does not
    /// count: its cause passes. Returns whether the lasting speeds of the service were determined
    /// again, which happens twice a second at most.
    pub fn record_work(&mut self, now: MonoTime, key: UpstreamKey, sample: WorkSample<'_>) -> bool {
        let service = &sample.class.service;
        if !sample.work_ms.is_finite() || self.record(key, service).is_none() {
            return false;
        }
        let Some(record) = self.records.get_mut(key) else {
            return false;
        };
        if record.present_ratio(now) > ALIKE_RATIO {
            return false;
        }
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), ServicePace::default());
        }
        let Some(pace) = self.services.get_mut(service) else {
            return false;
        };
        let log_ms = sample.work_ms.max(MIN_WORK_MS).ln();
        let rest = pace.load_effect(sample.load) + record.log_factor();
        let surprise = self.norms.compare(now, sample.class, log_ms, rest);
        record.adjust(surprise);
        pace.adjust_load_effect(sample.load, surprise);
        let is_due = pace
            .settled_at
            .is_none_or(|at| now.millis_since(at) >= SETTLE_MS);
        if is_due {
            pace.settled_at = Some(now);
            pace.median = median_of(service, &self.records);
            for record in self.records.values_mut() {
                if record.service == *service {
                    record.settle(pace.median);
                }
            }
        }
        is_due
    }

    /// Adds the duration of a whole request in milliseconds to the mean of its service.
    pub fn record_request(&mut self, service: &ServiceName, request_ms: f64) {
        if let Some(pace) = self.services.get_mut(service) {
            pace.record_request(request_ms);
        } else {
            let mut pace = ServicePace::default();
            pace.record_request(request_ms);
            self.services.insert(service.clone(), pace);
        }
    }

    /// Drops the state of upstreams that no longer exist, and of services without upstreams.
    pub fn retain(&mut self, exists: impl Fn(UpstreamKey) -> bool) {
        self.records.retain(|key, _| exists(key));
        let records = &self.records;
        self.services
            .retain(|service, _| records.values().any(|record| record.service == *service));
    }

    /// Record of an upstream; `None` for a removed one whose slot another upstream has taken.
    fn record(&mut self, key: UpstreamKey, service: &ServiceName) -> Option<&mut SpeedRecord> {
        if !self.records.contains_key(key) {
            self.records.insert(key, SpeedRecord::open(service.clone()));
        }
        self.records.get_mut(key)
    }
}

/// Median of the learned speeds of a service; 0 before any is settled.
fn median_of(service: &ServiceName, records: &SecondaryMap<UpstreamKey, SpeedRecord>) -> f64 {
    let of_service = |record: &&SpeedRecord| record.service == *service && record.is_settled();
    let mut speeds: Vec<f64> = records
        .values()
        .filter(of_service)
        .map(SpeedRecord::log_factor)
        .collect();
    speeds.sort_unstable_by(f64::total_cmp);
    let count = speeds.len();
    if count == 0 {
        return 0.0;
    }
    f64::midpoint(speeds[(count - 1) / 2], speeds[count / 2])
}
