//! The crashes at which one suspect was in flight.

use std::collections::BTreeSet;

use super::mass_crashes::MassCrashes;
use super::{AnswerProgress, CrashRecord, CrashSuspect, RequestFingerprint};
use crate::prelude::*;
use crate::routing::rendezvous_weight;

/// Crashes at which a suspect must have been in flight to be held back. A part of a prompt must also
/// have been in as many different requests.
const HELD_BACK_AFTER: usize = 2;

/// Milliseconds after its last crash before a request may be tried again.
const REQUEST_HOLD_MS: u64 = 60_000;

/// Milliseconds after its last crash before a part of a prompt may be tried again; more requests wait
/// for it, and more of them crash upstreams if it is at fault.
const PART_HOLD_MS: u64 = 600_000;

/// Failed trials after which the time that a suspect is held back no longer doubles.
const MAX_DOUBLINGS: usize = 8;

/// Milliseconds for which an excused crash uses up one of a suspect's excuses.
const EXCUSE_WINDOW_MS: u64 = 600_000;

/// Milliseconds after which a crash is forgotten.
pub const FORGET_MS: u64 = 3_600_000;

/// What is known of a suspect at one crash. Every field only grows or only shrinks, so that processes
/// that exchange records agree in whatever order they come.
#[derive(Debug, Clone, Copy)]
pub struct CrashEvidence {
    /// ID of the crash.
    pub crash: u64,
    /// The lowest of the requests in flight with the suspect, so that all processes keep the same.
    pub request: RequestFingerprint,
    /// How far the answer in flight had come that had come least.
    pub least_lost: AnswerProgress,
    /// How far the answer in flight had come that had come furthest.
    pub most_lost: AnswerProgress,
    /// How far another answer of the suspect came.
    pub answered: AnswerProgress,
    /// When the crash is forgotten.
    pub forgotten_at: MonoTime,
    /// Number of the last change of this evidence in this process.
    pub change: u64,
}

impl CrashEvidence {
    /// Evidence as another process tells it; `None` if it is too old.
    pub fn from_record(now: MonoTime, record: &CrashRecord) -> Option<Self> {
        let left_ms = FORGET_MS.checked_sub(record.age_ms)?;
        (left_ms > 0).then_some(Self {
            crash: record.crash,
            request: record.request,
            least_lost: record.least_lost,
            most_lost: record.most_lost,
            answered: record.answered,
            forgotten_at: now + left_ms,
            change: 0,
        })
    }

    /// The evidence for another process.
    pub const fn to_record(self, now: MonoTime, suspect: CrashSuspect) -> CrashRecord {
        CrashRecord {
            suspect,
            crash: self.crash,
            request: self.request,
            least_lost: self.least_lost,
            most_lost: self.most_lost,
            answered: self.answered,
            age_ms: FORGET_MS.saturating_sub(self.forgotten_at.millis_since(now)),
        }
    }

    /// Adds what other evidence of the same crash tells. Returns whether that is anything new, apart
    /// from its time.
    pub fn join(&mut self, other: &Self) -> bool {
        let before = *self;
        self.request = self.request.min(other.request);
        self.least_lost = self.least_lost.min(other.least_lost);
        self.most_lost = self.most_lost.max(other.most_lost);
        self.answered = self.answered.max(other.answered);
        self.forgotten_at = self.forgotten_at.min(other.forgotten_at);
        !self.says_the_same(&before)
    }

    /// Whether other evidence of the same crash tells the same, apart from its time.
    pub fn says_the_same(&self, other: &Self) -> bool {
        self.request == other.request
            && self.least_lost == other.least_lost
            && self.most_lost == other.most_lost
            && self.answered == other.answered
    }

    /// Whether the suspect did not cause the crash, since another answer came further: at another time,
    /// or in flight at the crash.
    pub const fn is_cleared(&self) -> bool {
        self.answered.has_passed(self.most_lost) || self.most_lost.is_clearly_past(self.least_lost)
    }

    /// Whether an answer that came so far shows that the suspect did not cause the crash.
    pub const fn is_cleared_by(&self, progress: AnswerProgress) -> bool {
        !self.is_cleared() && progress.has_passed(self.most_lost)
    }

    /// Whether the crash counts against the suspect. Running answers with the same parts are in flight
    /// wherever upstreams are killed, so where many are, only those count that had just begun.
    fn counts(&self, suspect: CrashSuspect, mass_crashes: &MassCrashes) -> bool {
        let is_part = matches!(suspect, CrashSuspect::Part(_));
        let is_bystander =
            is_part && !self.most_lost.is_early() && mass_crashes.contains(self.crash);
        !self.is_cleared() && !is_bystander
    }

    /// Hash of what processes agree on.
    pub fn digest(&self, suspect: CrashSuspect) -> u64 {
        let key = format!("{suspect}/{:x}/{}", self.crash, self.request);
        rendezvous_weight(&key, "")
    }
}

/// All crashes at which one suspect was in flight.
#[derive(Debug, Clone, Default)]
pub struct CrashHistory {
    /// One for each crash.
    pub evidence: Vec<CrashEvidence>,
}

impl CrashHistory {
    /// The evidence of a crash.
    pub fn of_crash(&mut self, crash: u64) -> Option<&mut CrashEvidence> {
        self.evidence
            .iter_mut()
            .find(|evidence| evidence.crash == crash)
    }

    /// Evidence that counts against the suspect.
    pub fn counting(&self, suspect: CrashSuspect, mass_crashes: &MassCrashes) -> Self {
        let evidence = self.evidence.iter().copied();
        Self {
            evidence: evidence
                .filter(|evidence| evidence.counts(suspect, mass_crashes))
                .collect(),
        }
    }

    /// Number of crashes shortly before the one of `evidence`.
    pub fn crashes_before(&self, evidence: &CrashEvidence) -> usize {
        let is_recent =
            |known: &&CrashEvidence| known.forgotten_at + EXCUSE_WINDOW_MS > evidence.forgotten_at;
        self.evidence.iter().filter(is_recent).count()
    }

    /// When the suspect may be tried again. Each failed trial doubles the time, so that a request that
    /// keeps coming crashes ever fewer upstreams.
    pub fn held_until(&self, suspect: CrashSuspect) -> MonoTime {
        let hold_ms = match suspect {
            CrashSuspect::Request(_) => REQUEST_HOLD_MS,
            CrashSuspect::Part(_) => PART_HOLD_MS,
        };
        let mut times: Vec<MonoTime> = self.evidence.iter().map(|it| it.forgotten_at).collect();
        times.sort_unstable();
        let is_trial = |pair: &&[MonoTime]| pair[1].millis_since(pair[0]) >= hold_ms;
        let failed_trials = times.windows(2).filter(is_trial).count();
        let last = times.last().copied().unwrap_or_default();
        last + (hold_ms << failed_trials.min(MAX_DOUBLINGS)) - FORGET_MS
    }

    /// IDs of the crashes.
    pub fn crashes(&self) -> BTreeSet<u64> {
        self.evidence
            .iter()
            .map(|evidence| evidence.crash)
            .collect()
    }

    /// Whether the suspect was in flight at enough crashes to be held back.
    pub const fn is_recurring(&self) -> bool {
        self.evidence.len() >= HELD_BACK_AFTER
    }

    /// Whether enough different requests with the suspect were in flight to hold it back. Copies of one
    /// request tell nothing of its parts.
    pub fn has_enough_requests(&self, suspect: CrashSuspect) -> bool {
        let requests = self.evidence.iter().map(|evidence| evidence.request);
        let requests: BTreeSet<RequestFingerprint> = requests.collect();
        matches!(suspect, CrashSuspect::Request(_)) || requests.len() >= HELD_BACK_AFTER
    }
}
