//! What entries say of the speeds of upstreams, collected by the planner.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::DurationFactor;
use crate::prelude::*;

/// Milliseconds for which an entry's report counts; entries report every 500 ms.
const REPORT_TTL_MS: u64 = 5_000;

/// Entries that must speak of an upstream, as a divisor of their number; one alone may be wrong.
const ENTRIES_PER_VOICE: usize = 4;

/// An upstream whose speed differs from that of its peers, with its lasting duration factor in percent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedReport(pub UpstreamId, pub u16);

impl SpeedReport {
    /// Reports a lasting duration factor.
    #[must_use]
    pub fn of(upstream: UpstreamId, lasting: DurationFactor) -> Self {
        // Factors are between 0.25 and 8.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let percent = (lasting.value() * 100.0).round() as u16;
        Self(upstream, percent)
    }

    fn duration(&self) -> DurationFactor {
        DurationFactor::clamped(f64::from(self.1) / 100.0)
    }
}

#[derive(Debug)]
struct EntryReports {
    at: MonoTime,
    reports: Vec<SpeedReport>,
}

/// The newest report of each entry.
#[derive(Debug, Default)]
pub struct SpeedBoard {
    entries: HashMap<InstanceName, EntryReports>,
}

impl SpeedBoard {
    /// Creates an empty board.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Replaces what an entry has said. Returns whether the board has changed.
    pub fn record(
        &mut self,
        now: MonoTime,
        entry: &InstanceName,
        reports: Vec<SpeedReport>,
    ) -> bool {
        let count = self.entries.len();
        self.entries
            .retain(|_, known| now.millis_since(known.at) < REPORT_TTL_MS);
        let has_expired = self.entries.len() < count;
        let newest = EntryReports { at: now, reports };
        let known = self.entries.get(entry);
        let is_same = known.is_some_and(|known| known.reports == newest.reports);
        self.entries.insert(entry.clone(), newest);
        has_expired || !is_same
    }

    /// Upstreams of which enough entries speak, with the median of what they say.
    #[must_use]
    pub fn durations(&self) -> HashMap<&UpstreamId, DurationFactor> {
        let mut said: HashMap<&UpstreamId, Vec<DurationFactor>> = HashMap::new();
        for report in self.entries.values().flat_map(|known| &known.reports) {
            said.entry(&report.0).or_default().push(report.duration());
        }
        let quorum = self.entries.len().div_ceil(ENTRIES_PER_VOICE);
        said.into_iter()
            .filter(|(_, durations)| durations.len() >= quorum)
            .map(|(upstream, mut durations)| {
                durations.sort_unstable_by(|left, right| left.value().total_cmp(&right.value()));
                (upstream, durations[(durations.len() - 1) / 2])
            })
            .collect()
    }
}
