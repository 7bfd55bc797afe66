//! The suspects that must not reach an upstream.

use std::collections::{BTreeMap, BTreeSet};

use super::crash_history::CrashHistory;
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

/// How a suspect is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SuspectHold {
    /// Whether another one was at the same crashes.
    is_ambiguous: bool,
    /// When it may be tried although it is not ambiguous.
    until: MonoTime,
}

impl SuspectHold {
    fn allows_trial(self, now: MonoTime) -> bool {
        self.is_ambiguous || now >= self.until
    }
}

/// The suspects that are at fault for crashes, as far as is known.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeldSuspects {
    suspects: BTreeMap<CrashSuspect, SuspectHold>,
    /// Digest of the evidence against them; 0 without suspects.
    digest: u64,
}

impl HeldSuspects {
    /// Finds the suspects that are at fault.
    pub(super) fn of(histories: &BTreeMap<CrashSuspect, CrashHistory>) -> Self {
        let recurring: BTreeMap<CrashSuspect, BTreeSet<u64>> = histories
            .iter()
            .filter(|(_, history)| history.counting().nth(1).is_some())
            .map(|(suspect, history)| (*suspect, history.crashes()))
            .collect();
        let is_guilty = |suspect: &CrashSuspect, crashes: &BTreeSet<u64>| {
            histories[suspect].is_recurring(*suspect) && !is_explained(crashes, &recurring)
        };
        let guilty: BTreeMap<CrashSuspect, &BTreeSet<u64>> = recurring
            .iter()
            .filter(|(suspect, crashes)| is_guilty(suspect, crashes))
            .map(|(suspect, crashes)| (*suspect, crashes))
            .collect();
        let is_ambiguous = |suspect: &CrashSuspect| {
            guilty
                .iter()
                .any(|(other, crashes)| other != suspect && *crashes == guilty[suspect])
        };
        let hold = |suspect: &CrashSuspect| SuspectHold {
            is_ambiguous: is_ambiguous(suspect),
            until: histories[suspect].held_until(*suspect),
        };
        let evidence = guilty.keys().flat_map(|suspect| {
            let counting = histories[suspect].counting();
            counting.map(|evidence| evidence.digest(*suspect))
        });
        Self {
            digest: evidence.fold(0, |digest, evidence| digest ^ evidence),
            suspects: guilty
                .keys()
                .map(|suspect| (*suspect, hold(suspect)))
                .collect(),
        }
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

/// Whether another suspect was at all of these crashes and at more.
fn is_explained(
    crashes: &BTreeSet<u64>,
    recurring: &BTreeMap<CrashSuspect, BTreeSet<u64>>,
) -> bool {
    recurring
        .values()
        .any(|others| others.len() > crashes.len() && others.is_superset(crashes))
}
