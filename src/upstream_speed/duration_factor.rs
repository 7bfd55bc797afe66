//! How long work takes at an upstream, relative to its peers or to its usual time.

/// Ratio of durations up to which upstreams count as equally fast.
pub const ALIKE_RATIO: f64 = 1.25;

/// Shortest duration that counts, relative to the usual one.
const MIN_FACTOR: f64 = 0.25;

/// Longest duration that counts, relative to the usual one.
const MAX_FACTOR: f64 = 8.0;

/// Duration of work relative to the usual one; 2 means twice as long. Between 0.25 and 8, so that no
/// report or measurement has an unlimited effect.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct DurationFactor(f64);

impl DurationFactor {
    /// The usual duration.
    pub const USUAL: Self = Self(1.0);

    /// Limits a factor to the accepted range; what is no number counts as usual.
    #[must_use]
    pub const fn clamped(factor: f64) -> Self {
        if factor.is_nan() {
            return Self::USUAL;
        }
        Self(factor.clamp(MIN_FACTOR, MAX_FACTOR))
    }

    /// The factor, or the usual one if it differs from that by no more than [`ALIKE_RATIO`].
    #[must_use]
    pub const fn outside_dead_band(self) -> Self {
        if self.0 <= ALIKE_RATIO && self.0 * ALIKE_RATIO >= 1.0 {
            return Self::USUAL;
        }
        self
    }

    /// The factor as a number.
    #[must_use]
    pub const fn value(self) -> f64 {
        self.0
    }
}

/// What an upstream reports as the present duration of its work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DurationFigure {
    /// A figure within the accepted range.
    Sound(DurationFactor),
    /// A figure beyond the accepted range, limited to it.
    Limited(DurationFactor),
    /// Zero, negative or not a number; it has no effect.
    Unreadable,
}

impl DurationFigure {
    /// Judges a figure in percent of the usual duration; `None` stands for a text without a number.
    #[must_use]
    pub fn of_percent(percent: Option<f64>) -> Self {
        let Some(percent) = percent.filter(|percent| *percent > 0.0 && percent.is_finite()) else {
            return Self::Unreadable;
        };
        let factor = percent / 100.0;
        if (MIN_FACTOR..=MAX_FACTOR).contains(&factor) {
            Self::Sound(DurationFactor(factor))
        } else {
            Self::Limited(DurationFactor::clamped(factor))
        }
    }

    /// The reported factor; `None` if it is unreadable.
    #[must_use]
    pub const fn factor(self) -> Option<DurationFactor> {
        match self {
            Self::Sound(factor) | Self::Limited(factor) => Some(factor),
            Self::Unreadable => None,
        }
    }
}
