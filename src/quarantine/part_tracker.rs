//! Finds the parts of prompts that crash upstreams.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::answered_parts::AnsweredParts;
use super::{CrashWitness, PartRecord, PromptPartId, RequestFingerprint};
use crate::prelude::*;
use crate::routing::rendezvous_weight;

/// Crashes, and different requests at them, after which a part is held back.
const HELD_BACK_AFTER: usize = 2;

/// Crashes at which a part is excused because it was answered at some time before.
const EXCUSED_CRASHES: usize = 4;

/// Milliseconds for which a record counts.
const HOLD_MS: u64 = 600_000;

/// Records stored at most; the oldest is dropped first.
const MAX_RECORDS: usize = 512;

/// Whether a request may reach an upstream, as far as the parts of its prompt tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartVerdict {
    /// It may.
    Clear,
    /// It may as a trial: this part or another one, which the request does not contain, crashes
    /// upstreams.
    Uncertain(PromptPartId),
    /// It must not: this part crashes upstreams.
    HeldBack(PromptPartId),
}

#[derive(Debug, Clone, Copy)]
struct CrashEvidence {
    /// The lowest of the requests that witnessed the crash, so that all processes keep the same.
    request: RequestFingerprint,
    /// Never unset.
    is_cleared: bool,
    crashed_at: MonoTime,
}

impl CrashEvidence {
    fn digest(&self, (part, crash): EvidenceKey) -> u64 {
        let key = format!("{part}/{crash:x}/{}", self.request);
        let state = if self.is_cleared { "cleared" } else { "" };
        rendezvous_weight(&key, state)
    }
}

/// Key of a record: a part and a crash.
type EvidenceKey = (PromptPartId, u64);

/// Tracks the parts of requests whose answer had begun, without an event, when their upstream
/// crashed. A part that was answered afterwards did not cause the crash. Records only grow, so that
/// processes that exchange them agree in whatever order they come.
#[derive(Debug, Default)]
pub struct PartTracker {
    evidence: BTreeMap<EvidenceKey, CrashEvidence>,
    answered: AnsweredParts,
    /// Parts that must not reach an upstream; derived from `evidence`.
    held_back: BTreeSet<PromptPartId>,
    /// Those of `held_back` that were at the same crashes as another one.
    uncertain: BTreeSet<PromptPartId>,
    /// Digest of `evidence`.
    digest: u64,
}

impl PartTracker {
    /// Creates a tracker without records.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Records a witness of a crash.
    pub fn record_crash(&mut self, now: MonoTime, witness: CrashWitness) {
        self.add(
            (witness.part, witness.crash),
            CrashEvidence {
                request: witness.request,
                is_cleared: false,
                crashed_at: now,
            },
        );
        self.update();
    }

    /// Records that a request with these parts has received an event. Returns whether that clears
    /// one of them.
    pub fn record_answered(&mut self, parts: &[PromptPartId]) -> bool {
        let mut is_changed = false;
        for part in parts {
            self.answered.insert(*part);
            for (_, evidence) in self
                .evidence
                .range_mut((*part, u64::MIN)..=(*part, u64::MAX))
            {
                is_changed |= !std::mem::replace(&mut evidence.is_cleared, true);
            }
        }
        if is_changed {
            self.update();
        }
        is_changed
    }

    /// Adds the records of another process.
    pub fn merge(&mut self, now: MonoTime, records: &[PartRecord]) {
        for record in records.iter().filter(|record| record.age_ms < HOLD_MS) {
            self.add(
                (record.part, record.crash),
                CrashEvidence {
                    request: record.request,
                    is_cleared: record.is_cleared,
                    crashed_at: now - record.age_ms,
                },
            );
        }
        self.update();
    }

    /// All records, for another process.
    #[must_use]
    pub fn records(&self, now: MonoTime) -> Vec<PartRecord> {
        let records = self.evidence.iter();
        records
            .map(|((part, crash), evidence)| PartRecord {
                part: *part,
                crash: *crash,
                request: evidence.request,
                is_cleared: evidence.is_cleared,
                age_ms: now.millis_since(evidence.crashed_at),
            })
            .collect()
    }

    /// Equal in two processes that have the same records; 0 without records.
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Drops records of crashes that are too long ago.
    pub fn expire(&mut self, now: MonoTime) {
        let count = self.evidence.len();
        self.evidence
            .retain(|_, evidence| now.millis_since(evidence.crashed_at) < HOLD_MS);
        if self.evidence.len() != count {
            self.update();
        }
    }

    /// Whether a request with these parts may reach an upstream.
    #[must_use]
    pub fn verdict(&self, parts: &[PromptPartId]) -> PartVerdict {
        let mut blamed = parts.iter().filter(|part| self.held_back.contains(part));
        match (blamed.next(), blamed.next()) {
            (None, _) => PartVerdict::Clear,
            (Some(part), None) if self.uncertain.contains(part) => PartVerdict::Uncertain(*part),
            (Some(part), _) => PartVerdict::HeldBack(*part),
        }
    }

    /// The first of these parts that must not reach an upstream.
    #[must_use]
    pub fn held_back(&self, parts: &[PromptPartId]) -> Option<PromptPartId> {
        parts
            .iter()
            .find(|part| self.held_back.contains(part))
            .copied()
    }

    /// All parts that must not reach an upstream.
    #[must_use]
    pub const fn all_held_back(&self) -> &BTreeSet<PromptPartId> {
        &self.held_back
    }

    fn add(&mut self, key: EvidenceKey, evidence: CrashEvidence) {
        if let Some(known) = self.evidence.get_mut(&key) {
            known.request = known.request.min(evidence.request);
            known.is_cleared |= evidence.is_cleared;
            known.crashed_at = known.crashed_at.min(evidence.crashed_at);
            return;
        }
        let is_excused = self.answered.contains(key.0) && self.crash_count(key.0) < EXCUSED_CRASHES;
        let is_cleared = evidence.is_cleared || is_excused;
        self.evidence.insert(
            key,
            CrashEvidence {
                is_cleared,
                ..evidence
            },
        );
        if self.evidence.len() > MAX_RECORDS {
            self.drop_oldest();
        }
    }

    fn crash_count(&self, part: PromptPartId) -> usize {
        self.evidence
            .range((part, u64::MIN)..=(part, u64::MAX))
            .count()
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .evidence
            .iter()
            .min_by_key(|(_, evidence)| evidence.crashed_at);
        if let Some(key) = oldest.map(|(key, _)| *key) {
            self.evidence.remove(&key);
        }
    }

    /// Derives what depends on `evidence`.
    fn update(&mut self) {
        let suspects = Suspects::of(&self.evidence);
        self.held_back = suspects.guilty_parts().collect();
        self.uncertain = suspects.ambiguous_among(&self.held_back);
        self.digest = self
            .evidence
            .iter()
            .fold(0, |digest, (key, evidence)| digest ^ evidence.digest(*key));
    }
}

/// Parts with crashes of which they are not cleared.
struct Suspects {
    crashes: HashMap<PromptPartId, BTreeSet<u64>>,
    requests: HashMap<PromptPartId, BTreeSet<RequestFingerprint>>,
}

impl Suspects {
    fn of(evidence: &BTreeMap<EvidenceKey, CrashEvidence>) -> Self {
        let mut suspects = Self {
            crashes: HashMap::new(),
            requests: HashMap::new(),
        };
        for ((part, crash), evidence) in evidence {
            if evidence.is_cleared {
                continue;
            }
            suspects.crashes.entry(*part).or_default().insert(*crash);
            suspects
                .requests
                .entry(*part)
                .or_default()
                .insert(evidence.request);
        }
        suspects
    }

    fn guilty_parts(&self) -> impl Iterator<Item = PromptPartId> + '_ {
        self.crashes
            .iter()
            .filter(|(part, crashes)| {
                crashes.len() >= HELD_BACK_AFTER
                    && self.requests[*part].len() >= HELD_BACK_AFTER
                    && !self.is_explained(crashes)
            })
            .map(|(part, _)| *part)
    }

    /// Those of `parts` that were at the same crashes as another of them.
    fn ambiguous_among(&self, parts: &BTreeSet<PromptPartId>) -> BTreeSet<PromptPartId> {
        let is_ambiguous = |part: &&PromptPartId| {
            parts
                .iter()
                .any(|other| other != *part && self.crashes[other] == self.crashes[*part])
        };
        parts.iter().filter(is_ambiguous).copied().collect()
    }

    /// Whether another part was at all of these crashes and at more.
    fn is_explained(&self, crashes: &BTreeSet<u64>) -> bool {
        self.crashes
            .values()
            .any(|others| others.len() > crashes.len() && others.is_superset(crashes))
    }
}
