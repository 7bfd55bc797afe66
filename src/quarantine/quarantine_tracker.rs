//! Tracks which requests were in flight at crashes.

use std::collections::HashMap;

use super::RequestFingerprint;
use crate::time::MonoTime;

/// Crashes at which a request must have been in flight to be quarantined.
const QUARANTINE_AFTER_CRASHES: usize = 2;

/// Fingerprints stored at most; the one with the oldest change is evicted first.
const MAX_ENTRIES: usize = 10_000;

/// Whether and how a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineVerdict {
    /// It may run without restriction.
    Clear,
    /// It was in flight at one crash; only one suspect runs at a time.
    Suspect,
    /// It must not run.
    Quarantined,
}

#[derive(Debug, Clone, Default)]
struct CrashHistory {
    /// Distinct crashes that count; at most [`QUARANTINE_AFTER_CRASHES`].
    crashes: Vec<u64>,
    /// Crashes that were forgiven; they never count again.
    forgiven: Vec<u64>,
    last_at: MonoTime,
}

/// Counts the crashes at which each fingerprint was in flight; entries expire.
#[derive(Debug, Default)]
pub struct QuarantineTracker {
    entries: HashMap<RequestFingerprint, CrashHistory>,
}

impl QuarantineTracker {
    /// Creates a tracker without entries.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Records that a request was in flight at a crash. The same crash counts once.
    /// Returns whether the crash was not known before.
    pub fn record(&mut self, now: MonoTime, fingerprint: RequestFingerprint, crash: u64) -> bool {
        let history = self.history(fingerprint);
        if history.crashes.contains(&crash) || history.forgiven.contains(&crash) {
            return false;
        }
        if history.crashes.len() < QUARANTINE_AFTER_CRASHES {
            history.crashes.push(crash);
        }
        history.last_at = now;
        true
    }

    /// Decides whether a request may run; a crash counts for `hold_ms` after the last change.
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
        let has_expired = now.millis_since(history.last_at) >= hold_ms;
        match history.crashes.len() {
            0 => QuarantineVerdict::Clear,
            _ if has_expired => QuarantineVerdict::Clear,
            QUARANTINE_AFTER_CRASHES.. => QuarantineVerdict::Quarantined,
            _ => QuarantineVerdict::Suspect,
        }
    }

    /// Forgives one crash of a request permanently.
    pub fn forgive(&mut self, now: MonoTime, fingerprint: RequestFingerprint, crash: u64) {
        let history = self.history(fingerprint);
        history.crashes.retain(|known| *known != crash);
        if !history.forgiven.contains(&crash) {
            history.forgiven.push(crash);
        }
        history.last_at = now;
    }

    /// Releases a request on an operator's command; returns the crashes forgiven.
    pub fn release(&mut self, now: MonoTime, fingerprint: RequestFingerprint) -> Vec<u64> {
        let known = self.entries.get(&fingerprint);
        let crashes = known.map_or_else(Vec::new, |history| history.crashes.clone());
        for crash in &crashes {
            self.forgive(now, fingerprint, *crash);
        }
        crashes
    }

    /// Drops entries whose last change is `hold_ms` ago or longer.
    pub fn expire(&mut self, now: MonoTime, hold_ms: u64) {
        self.entries
            .retain(|_, history| now.millis_since(history.last_at) < hold_ms);
    }

    /// Fingerprints quarantined now.
    #[must_use]
    pub fn quarantined(&self, now: MonoTime, hold_ms: u64) -> Vec<RequestFingerprint> {
        let keys = self.entries.keys().copied();
        keys.filter(|key| self.verdict(now, *key, hold_ms) == QuarantineVerdict::Quarantined)
            .collect()
    }

    fn history(&mut self, fingerprint: RequestFingerprint) -> &mut CrashHistory {
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&fingerprint) {
            self.evict_oldest();
        }
        self.entries.entry(fingerprint).or_default()
    }

    fn evict_oldest(&mut self) {
        let entries = self.entries.iter();
        let oldest = entries.min_by_key(|(_, history)| history.last_at);
        if let Some(key) = oldest.map(|(key, _)| *key) {
            self.entries.remove(&key);
        }
    }
}
