//! What is known of the speed of one upstream.

use super::{ALIKE_RATIO, DurationFactor};
use crate::prelude::*;

/// Milliseconds within which a reported slow moment ceases to count.
const FIGURE_DECAY_MS: u64 = 1_000;

/// Samples without a difference that a speed is assumed to rest on before the first one, so that a
/// few samples change it little.
const PRIOR_COUNT: f64 = 8.0;

/// Least weight of the latest sample in the speed.
const MIN_GAIN: f64 = 1.0 / 48.0;

/// Largest part of one sample that counts, as the natural logarithm of a duration factor: 1.1 is a
/// factor of 3, so that a pause of some seconds doesn't outweigh many samples.
const MAX_SURPRISE: f64 = 1.1;

/// Largest speed as the natural logarithm of a duration factor; just beyond what is used, so that it
/// turns back soon.
const MAX_LOG_FACTOR: f64 = 2.2;

/// Samples from which on a speed counts in the median.
const SETTLED_COUNT: f64 = 8.0;

/// Step by which the usual figure follows the reported ones. Steps of equal size make it the median,
/// which a neighbour that is busy for 15 of 100 of the time does not move.
const USUAL_STEP: f64 = 1.01;

/// Least milliseconds between two steps of the usual figure, so that many reports in one slow moment
/// count little.
const USUAL_STEP_MS: u64 = 100;

#[derive(Debug, Clone, Copy)]
struct ReportedFigure {
    at: MonoTime,
    factor: f64,
}

/// Lasting and present speed of one upstream.
#[derive(Debug)]
pub(super) struct SpeedRecord {
    pub(super) service: ServiceName,
    /// Natural logarithm of the duration factor that the samples show.
    log_factor: f64,
    count: f64,
    /// Factor relative to the median of the service, outside of the dead band.
    lasting: DurationFactor,
    /// Median of the reported factors. Figures may be relative to the fleet or to the upstream's own
    /// usual speed; what is always there is learned from its work, and would count twice.
    usual_figure: f64,
    usual_stepped_at: Option<MonoTime>,
    figure: Option<ReportedFigure>,
}

impl SpeedRecord {
    pub(super) const fn open(service: ServiceName) -> Self {
        Self {
            service,
            log_factor: 0.0,
            count: 0.0,
            lasting: DurationFactor::USUAL,
            usual_figure: 1.0,
            usual_stepped_at: None,
            figure: None,
        }
    }

    /// The learned speed as the natural logarithm of a duration factor.
    pub(super) const fn log_factor(&self) -> f64 {
        self.log_factor
    }

    /// Whether enough samples were taken for the speed to count in the median.
    pub(super) const fn is_settled(&self) -> bool {
        self.count >= SETTLED_COUNT
    }

    /// Adjusts the learned speed by the unexplained part of a sample.
    pub(super) fn adjust(&mut self, surprise: f64) {
        self.count += 1.0;
        let gain = (1.0 / (self.count + PRIOR_COUNT)).max(MIN_GAIN);
        let step = surprise.clamp(-MAX_SURPRISE, MAX_SURPRISE) * gain;
        self.log_factor = (self.log_factor + step).clamp(-MAX_LOG_FACTOR, MAX_LOG_FACTOR);
    }

    /// Determines the lasting speed relative to the median of the service.
    pub(super) fn settle(&mut self, median: f64) {
        self.lasting = if self.count > 0.0 {
            DurationFactor::clamped((self.log_factor - median).exp()).outside_dead_band()
        } else {
            DurationFactor::USUAL
        };
    }

    /// Records a reported factor.
    pub(super) fn record_figure(&mut self, now: MonoTime, factor: DurationFactor) {
        let factor = factor.value();
        self.figure = Some(ReportedFigure { at: now, factor });
        let is_due = self
            .usual_stepped_at
            .is_none_or(|at| now.millis_since(at) >= USUAL_STEP_MS);
        if !is_due {
            return;
        }
        self.usual_stepped_at = Some(now);
        if factor > self.usual_figure * USUAL_STEP {
            self.usual_figure *= USUAL_STEP;
        } else if factor * USUAL_STEP < self.usual_figure {
            self.usual_figure /= USUAL_STEP;
        }
    }

    /// Whether the upstream has reported a figure before.
    pub(super) const fn has_figure(&self) -> bool {
        self.figure.is_some()
    }

    /// Milliseconds since the last reported figure; `None` without one.
    pub(super) fn figure_age_ms(&self, now: MonoTime) -> Option<u64> {
        self.figure.map(|figure| now.millis_since(figure.at))
    }

    pub(super) const fn lasting(&self) -> DurationFactor {
        self.lasting
    }

    /// Factor by which work takes longer now than it lastingly does, at least 1. A moment in which
    /// an upstream is faster than usual does not count: every process would send there at once.
    pub(super) fn present_ratio(&self, now: MonoTime) -> f64 {
        let Some(figure) = self.figure else {
            return 1.0;
        };
        let left_ms = FIGURE_DECAY_MS.saturating_sub(now.millis_since(figure.at));
        if left_ms == 0 {
            return 1.0;
        }
        #[allow(clippy::cast_precision_loss)]
        let share = left_ms as f64 / FIGURE_DECAY_MS as f64;
        let ratio = 1.0 + (figure.factor / self.usual_figure - 1.0) * share;
        if ratio <= ALIKE_RATIO { 1.0 } else { ratio }
    }

    /// Present duration factor.
    pub(super) fn present(&self, now: MonoTime) -> DurationFactor {
        DurationFactor::clamped(self.lasting.value() * self.present_ratio(now))
    }
}
