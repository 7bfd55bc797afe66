//! The suspects that must not reach an upstream.

use std::collections::{BTreeMap, BTreeSet};

use super::crash_history::{CrashEvidence, CrashHistory};
use super::mass_crashes::MassCrashes;
use super::{CrashSuspect, RequestSuspects};
use crate::prelude::*;

/// Whether a request may reach an upstream, as far as the crashes of upstreams tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// It may.
    Clear,
    /// It may as a trial: this suspect or another one, which the request does not contain, crashes
    /// upstreams; or it has been held back for long enough.
    Uncertain(CrashSuspect),
    /// It must not: this suspect crashes upstreams.
    HeldBack(CrashSuspect),
}

/// Why and how a suspect is held back.
#[derive(Debug, Clone)]
struct SuspectHold {
    /// The evidence against it.
    history: CrashHistory,
    /// Whether another one was at the same crashes.
    is_ambiguous: bool,
    /// When it may be tried although it is not ambiguous.
    until: MonoTime,
}

impl SuspectHold {
    fn allows_trial(&self, now: MonoTime) -> bool {
        self.is_ambiguous || now >= self.until
    }
}

/// The suspects that are at fault for crashes, as far as is known.
#[derive(Debug, Clone, Default)]
pub struct HeldSuspects {
    suspects: BTreeMap<CrashSuspect, SuspectHold>,
    /// Whether any suspect was at several crashes that count, held back or not.
    has_recurring: bool,
    /// Digest of the evidence against them; 0 without suspects.
    digest: u64,
}

impl HeldSuspects {
    /// Finds the suspects that are at fault.
    pub(super) fn of(histories: &BTreeMap<CrashSuspect, CrashHistory>) -> Self {
        let recurring = recurring_histories(histories);
        let crashes: BTreeMap<CrashSuspect, BTreeSet<u64>> = recurring
            .iter()
            .map(|(suspect, history)| (*suspect, history.crashes()))
            .collect();
        let is_guilty = |suspect: &CrashSuspect| {
            recurring[suspect].has_enough_requests(*suspect)
                && !is_explained(&crashes[suspect], &crashes)
        };
        let guilty: Vec<CrashSuspect> = recurring.keys().copied().filter(is_guilty).collect();
        let is_ambiguous = |suspect: &CrashSuspect| {
            guilty
                .iter()
                .any(|other| other != suspect && crashes[other] == crashes[suspect])
        };
        let suspects = guilty.iter().map(|suspect| {
            let history = recurring[suspect].clone();
            let hold = SuspectHold {
                until: history.held_until(*suspect),
                history,
                is_ambiguous: is_ambiguous(suspect),
            };
            (*suspect, hold)
        });
        let mut result = Self {
            suspects: suspects.collect(),
            has_recurring: !recurring.is_empty(),
            digest: 0,
        };
        let digests = result
            .evidence()
            .map(|(suspect, evidence)| evidence.digest(suspect));
        result.digest = digests.fold(0, |digest, other| digest ^ other);
        result
    }

    /// The evidence against all of them.
    pub(super) fn evidence(&self) -> impl Iterator<Item = (CrashSuspect, &CrashEvidence)> {
        self.suspects.iter().flat_map(|(suspect, hold)| {
            let evidence = hold.history.evidence.iter();
            evidence.map(|evidence| (*suspect, evidence))
        })
    }

    /// Whether any suspect was at several crashes that count, held back or not.
    pub(super) const fn has_recurring(&self) -> bool {
        self.has_recurring
    }

    /// All of them.
    pub fn suspects(&self) -> impl Iterator<Item = CrashSuspect> + '_ {
        self.suspects.keys().copied()
    }

    /// Whether a suspect must not reach an upstream.
    #[must_use]
    pub fn contains(&self, suspect: CrashSuspect) -> bool {
        self.suspects.contains_key(&suspect)
    }

    /// Equal in two processes that hold the same suspects back for the same crashes; 0 without
    /// suspects.
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Whether a request may reach an upstream.
    #[must_use]
    pub fn verdict(&self, now: MonoTime, suspects: RequestSuspects) -> SuspectVerdict {
        if self.suspects.is_empty() {
            return SuspectVerdict::Clear;
        }
        let mut blamed = suspects.iter().filter(|suspect| self.contains(*suspect));
        match (blamed.next(), blamed.next()) {
            (None, _) => SuspectVerdict::Clear,
            (Some(suspect), None) if self.suspects[&suspect].allows_trial(now) => {
                SuspectVerdict::Uncertain(suspect)
            }
            (Some(suspect), _) => SuspectVerdict::HeldBack(suspect),
        }
    }
}

/// The suspects that were at several crashes that count, with these crashes.
fn recurring_histories(
    histories: &BTreeMap<CrashSuspect, CrashHistory>,
) -> BTreeMap<CrashSuspect, CrashHistory> {
    if !histories.values().any(CrashHistory::is_recurring) {
        return BTreeMap::new();
    }
    let mass_crashes = MassCrashes::of(histories);
    let counting = histories
        .iter()
        .map(|(suspect, history)| (*suspect, history.counting(*suspect, &mass_crashes)));
    counting
        .filter(|(_, history)| history.is_recurring())
        .collect()
}

/// Whether another suspect was at all of these crashes and at more.
fn is_explained(
    crashes: &BTreeSet<u64>,
    recurring: &BTreeMap<CrashSuspect, BTreeSet<u64>>,
) -> bool {
    recurring
        .values()
        .any(|others| others.len() > crashes.len() && others.is_superset(crashes))
}
