//! Remembers which requests were in flight at crashes.

use std::collections::HashMap;

use super::RequestFingerprint;
use crate::time::MonoTime;

/// Crashes at which a request must have been in flight to be held back.
const HELD_AFTER_CRASHES: usize = 2;

/// Fingerprints remembered at most.
const MAX_ENTRIES: usize = 10_000;

/// What may happen with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineVerdict {
    /// Nothing is known against it.
    Clear,
    /// It was in flight at one crash and runs alone among suspects.
    Suspect,
    /// It is held back.
    Quarantined,
}

#[derive(Debug, Clone, Default)]
struct CrashHistory {
    /// Distinct crashes that count; at most [`HELD_AFTER_CRASHES`].
    crashes: Vec<u64>,
    /// Crashes forgiven by an operator; they never count again.
    pardoned: Vec<u64>,
    last_at: MonoTime,
}

/// Counts the crashes that each fingerprint was part of and forgets them after a time.
#[derive(Debug, Default)]
pub struct QuarantineTracker {
    entries: HashMap<RequestFingerprint, CrashHistory>,
}

impl QuarantineTracker {
    /// Opens an empty book.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Records that a request was in flight at a crash. The same crash counts once.
    /// Returns whether the crash was news.
    pub fn record(&mut self, now: MonoTime, fingerprint: RequestFingerprint, crash: u64) -> bool {
        let history = self.history(fingerprint);
        if history.crashes.contains(&crash) || history.pardoned.contains(&crash) {
            return false;
        }
        if history.crashes.len() < HELD_AFTER_CRASHES {
            history.crashes.push(crash);
        }
        history.last_at = now;
        true
    }

    /// Judges a request.
    #[must_use]
    pub fn verdict(
        &self,
        now: MonoTime,
        fingerprint: RequestFingerprint,
        hold_ms: u64,
    ) -> QuarantineVerdict {
        let Some(history) = self.entries.get(&fingerprint) else {
            return QuarantineVerdict::Clear;
        };
        let has_ended = now.millis_since(history.last_at) >= hold_ms;
        match history.crashes.len() {
            0 => QuarantineVerdict::Clear,
            _ if has_ended => QuarantineVerdict::Clear,
            HELD_AFTER_CRASHES.. => QuarantineVerdict::Quarantined,
            _ => QuarantineVerdict::Suspect,
        }
    }

    /// Forgives one crash of a request for good.
    pub fn forgive(&mut self, now: MonoTime, fingerprint: RequestFingerprint, crash: u64) {
        let history = self.history(fingerprint);
        history.crashes.retain(|known| *known != crash);
        if !history.pardoned.contains(&crash) {
            history.pardoned.push(crash);
        }
        history.last_at = now;
    }

    /// Releases a request by an operator's command; returns the crashes forgiven.
    pub fn release(&mut self, now: MonoTime, fingerprint: RequestFingerprint) -> Vec<u64> {
        let known = self.entries.get(&fingerprint);
        let crashes = known.map_or_else(Vec::new, |history| history.crashes.clone());
        for crash in &crashes {
            self.forgive(now, fingerprint, *crash);
        }
        crashes
    }

    /// Drops what has ended.
    pub fn expire(&mut self, now: MonoTime, hold_ms: u64) {
        self.entries
            .retain(|_, history| now.millis_since(history.last_at) < hold_ms);
    }

    /// Fingerprints held back now.
    #[must_use]
    pub fn quarantined(&self, now: MonoTime, hold_ms: u64) -> Vec<RequestFingerprint> {
        let keys = self.entries.keys().copied();
        keys.filter(|key| self.verdict(now, *key, hold_ms) == QuarantineVerdict::Quarantined)
            .collect()
    }

    fn history(&mut self, fingerprint: RequestFingerprint) -> &mut CrashHistory {
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&fingerprint) {
            self.forget_oldest();
        }
        self.entries.entry(fingerprint).or_default()
    }

    fn forget_oldest(&mut self) {
        let entries = self.entries.iter();
        let oldest = entries.min_by_key(|(_, history)| history.last_at);
        if let Some(key) = oldest.map(|(key, _)| *key) {
            self.entries.remove(&key);
        }
    }
}
