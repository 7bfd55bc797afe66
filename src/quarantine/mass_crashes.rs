//! Crashes of many upstreams at one moment.

use std::collections::{BTreeMap, BTreeSet};

use super::CrashSuspect;
use super::crash_history::CrashHistory;
use crate::prelude::*;

/// Crashes within [`MASS_WINDOW_MS`] from which on a cause outside the requests is assumed.
const MASS_SIZE: usize = 4;

/// Milliseconds within which crashes belong together.
const MASS_WINDOW_MS: u64 = 1_000;

/// The crashes that came together with many others.
#[derive(Debug, Default)]
pub struct MassCrashes(BTreeSet<u64>);

impl MassCrashes {
    /// Finds them among all known crashes.
    pub fn of(histories: &BTreeMap<CrashSuspect, CrashHistory>) -> Self {
        let mut times: BTreeMap<u64, MonoTime> = BTreeMap::new();
        for evidence in histories.values().flat_map(|history| &history.evidence) {
            let time = times.entry(evidence.crash).or_insert(evidence.forgotten_at);
            *time = evidence.forgotten_at.min(*time);
        }
        let mut crashes: Vec<(MonoTime, u64)> =
            times.into_iter().map(|(crash, at)| (at, crash)).collect();
        crashes.sort_unstable();
        let is_mass = |group: &&[(MonoTime, u64)]| {
            let (first, last) = (group[0].0, group[MASS_SIZE - 1].0);
            last.millis_since(first) <= MASS_WINDOW_MS
        };
        let groups = crashes.windows(MASS_SIZE).filter(is_mass);
        Self(groups.flatten().map(|(_, crash)| *crash).collect())
    }

    /// Whether a crash came together with many others.
    pub fn contains(&self, crash: u64) -> bool {
        self.0.contains(&crash)
    }
}
