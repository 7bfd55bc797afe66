//! Finds the requests, and the parts of prompts, that crash upstreams.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use super::crash_history::{CrashEvidence, CrashHistory, FORGET_MS};
use super::held_suspects::HeldSuspects;
use super::recent_answers::RecentAnswers;
use super::{
    AnswerProgress, CrashRecord, CrashSuspect, PromptPartId, RequestFingerprint, RequestSuspects,
    SuspectVerdict,
};
use crate::prelude::*;

/// Crashes in a short time at which a suspect is excused because it was answered at some time before.
const EXCUSED_CRASHES: usize = 4;

/// Records stored at most; the oldest of suspects that are not held back is dropped first.
const MAX_RECORDS: usize = 1_024;

/// Answered parts stored in one generation.
const ANSWERED_PARTS: usize = 4_096;

/// Answered requests stored in one generation.
const ANSWERED_REQUESTS: usize = 1_024;

/// Key of a record: a suspect and a crash.
type RecordKey = (CrashSuspect, u64);

/// Tracks what was in flight at crashes of upstreams. A suspect whose answer came further at another
/// time did not cause the crash. Records only grow, so that processes that exchange them agree in whatever order
/// they come.
#[derive(Debug)]
pub struct CrashTracker {
    /// Histories are never empty.
    histories: BTreeMap<CrashSuspect, CrashHistory>,
    /// Number of records in `histories`.
    record_count: usize,
    answered_parts: RecentAnswers<PromptPartId>,
    answered_requests: RecentAnswers<RequestFingerprint>,
    /// Derived from `histories`; replaced when they change.
    held: Rc<HeldSuspects>,
    /// Number of the newest change in `histories`.
    newest_change: u64,
    /// Records of which the planner may not know all that is known here.
    unreported: BTreeSet<RecordKey>,
}

impl CrashTracker {
    /// Creates a tracker without records.
    #[must_use]
    pub fn open() -> Self {
        Self {
            histories: BTreeMap::new(),
            record_count: 0,
            answered_parts: RecentAnswers::open(ANSWERED_PARTS),
            answered_requests: RecentAnswers::open(ANSWERED_REQUESTS),
            held: Rc::default(),
            newest_change: 0,
            unreported: BTreeSet::new(),
        }
    }

    /// Records that a request was in flight at a crash, and how far its answer had come.
    pub fn record_crash(
        &mut self,
        now: MonoTime,
        crash: u64,
        suspects: RequestSuspects,
        lost_at: AnswerProgress,
    ) {
        for suspect in suspects.iter() {
            let evidence = CrashEvidence {
                crash,
                request: suspects.request,
                least_lost: lost_at,
                most_lost: lost_at,
                answered: AnswerProgress::NOTHING,
                forgotten_at: now + FORGET_MS,
                change: 0,
            };
            self.join(suspect, evidence);
            self.unreported.insert((suspect, crash));
        }
        self.update();
    }

    /// Records how far the answer to a request came. Returns whether that clears a suspect of several
    /// crashes.
    pub fn record_answered(&mut self, suspects: RequestSuspects, progress: AnswerProgress) -> bool {
        self.answered_requests.record(suspects.request, progress);
        for part in suspects.parts {
            self.answered_parts.record(*part, progress);
        }
        let mut is_recurring = false;
        let mut is_changed = false;
        for suspect in suspects.iter() {
            let cleared = self.clear(suspect, progress);
            is_changed |= cleared > 0;
            is_recurring |= cleared > 1;
        }
        if is_changed {
            self.update();
        }
        is_recurring
    }

    /// Adds the records of another process.
    pub fn merge(&mut self, now: MonoTime, records: &[CrashRecord]) {
        for record in records {
            let Some(evidence) = CrashEvidence::from_record(now, record) else {
                continue;
            };
            let joined = self.join(record.suspect, evidence);
            if !joined.says_the_same(&evidence) {
                self.unreported.insert((record.suspect, record.crash));
            }
        }
        if !records.is_empty() {
            self.update();
        }
    }

    /// Records that changed here after the change with the given number; all of them after 0.
    #[must_use]
    pub fn records_since(&self, now: MonoTime, change: u64) -> Vec<CrashRecord> {
        if change == self.newest_change {
            return Vec::new();
        }
        let evidence = self.all_evidence();
        evidence
            .filter(|(_, evidence)| evidence.change > change)
            .map(|(suspect, evidence)| evidence.to_record(now, suspect))
            .collect()
    }

    /// Number of the newest change; [`Self::records_since`] tells all later ones.
    #[must_use]
    pub const fn newest_change(&self) -> u64 {
        self.newest_change
    }

    /// Removes and returns the records of which the planner may not know all.
    #[must_use]
    pub fn take_unreported(&mut self, now: MonoTime) -> Vec<CrashRecord> {
        let keys = std::mem::take(&mut self.unreported);
        let records = keys.into_iter().filter_map(|(suspect, crash)| {
            let evidence = self.histories.get_mut(&suspect)?.of_crash(crash)?;
            Some(evidence.to_record(now, suspect))
        });
        records.collect()
    }

    /// Puts records back that did not reach the planner.
    pub fn restore_unreported(&mut self, records: &[CrashRecord]) {
        let keys = records.iter().map(|record| (record.suspect, record.crash));
        self.unreported.extend(keys);
    }

    /// Makes all records unreported, for a planner that may know none.
    pub fn report_all(&mut self) {
        let keys = self
            .all_evidence()
            .map(|(suspect, evidence)| (suspect, evidence.crash));
        self.unreported = keys.collect();
    }

    /// Records for which suspects are held back, to outlive all processes.
    #[must_use]
    pub fn held_back_records(&self, now: MonoTime) -> Vec<CrashRecord> {
        let evidence = self.held.evidence();
        evidence
            .map(|(suspect, evidence)| evidence.to_record(now, suspect))
            .collect()
    }

    /// Whether a suspect was in flight at several crashes and has not been cleared of them.
    #[must_use]
    pub fn has_recurring(&self) -> bool {
        self.held.has_recurring()
    }

    /// Whether a crash has been recorded.
    #[must_use]
    pub fn knows_crash(&self, crash: u64) -> bool {
        self.all_evidence()
            .any(|(_, evidence)| evidence.crash == crash)
    }

    /// Drops records of crashes that are too long ago.
    pub fn expire(&mut self, now: MonoTime) {
        let count = self.record_count;
        self.histories.retain(|_, history| {
            let evidence = &mut history.evidence;
            let dropped = evidence.extract_if(.., |evidence| now >= evidence.forgotten_at);
            self.record_count -= dropped.count();
            !evidence.is_empty()
        });
        if self.record_count != count {
            self.update();
        }
    }

    /// Whether a request may reach an upstream.
    #[must_use]
    pub fn verdict(&self, now: MonoTime, suspects: RequestSuspects) -> SuspectVerdict {
        self.held.verdict(now, suspects)
    }

    /// What must not reach an upstream.
    #[must_use]
    pub const fn held(&self) -> &Rc<HeldSuspects> {
        &self.held
    }

    fn all_evidence(&self) -> impl Iterator<Item = (CrashSuspect, &CrashEvidence)> {
        self.histories.iter().flat_map(|(suspect, history)| {
            let evidence = history.evidence.iter();
            evidence.map(|evidence| (*suspect, evidence))
        })
    }

    /// Adds evidence to what is known. Returns the result.
    fn join(&mut self, suspect: CrashSuspect, evidence: CrashEvidence) -> CrashEvidence {
        let recent = self.recent_progress(suspect);
        let history = self.histories.entry(suspect).or_default();
        if let Some(known) = history.of_crash(evidence.crash) {
            if known.join(&evidence) {
                self.newest_change += 1;
                known.change = self.newest_change;
            }
            return *known;
        }
        let is_excused = history.crashes_before(&evidence) < EXCUSED_CRASHES;
        let excuse = if is_excused {
            recent
        } else {
            AnswerProgress::NOTHING
        };
        self.newest_change += 1;
        let evidence = CrashEvidence {
            answered: evidence.answered.max(excuse),
            change: self.newest_change,
            ..evidence
        };
        history.evidence.push(evidence);
        self.record_count += 1;
        if self.record_count > MAX_RECORDS {
            self.drop_oldest();
        }
        evidence
    }

    /// Clears a suspect of the crashes at which its answers had not come as far. Returns how many of
    /// them counted.
    fn clear(&mut self, suspect: CrashSuspect, progress: AnswerProgress) -> usize {
        let Some(history) = self.histories.get_mut(&suspect) else {
            return 0;
        };
        let counting = history
            .evidence
            .iter_mut()
            .filter(|evidence| evidence.is_cleared_by(progress));
        let mut count = 0;
        for evidence in counting {
            count += 1;
            self.newest_change += 1;
            evidence.answered = progress;
            evidence.change = self.newest_change;
            self.unreported.insert((suspect, evidence.crash));
        }
        count
    }

    fn recent_progress(&self, suspect: CrashSuspect) -> AnswerProgress {
        match suspect {
            CrashSuspect::Request(request) => self.answered_requests.progress(request),
            CrashSuspect::Part(part) => self.answered_parts.progress(part),
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .all_evidence()
            .filter(|(suspect, _)| !self.held.contains(*suspect))
            .min_by_key(|(_, evidence)| evidence.forgotten_at);
        let Some((suspect, crash)) = oldest.map(|(suspect, evidence)| (suspect, evidence.crash))
        else {
            return;
        };
        if let Some(history) = self.histories.get_mut(&suspect) {
            history.evidence.retain(|evidence| evidence.crash != crash);
            self.record_count -= 1;
            if history.evidence.is_empty() {
                self.histories.remove(&suspect);
            }
        }
    }

    /// Derives what depends on `histories`.
    fn update(&mut self) {
        self.held = Rc::new(HeldSuspects::of(&self.histories));
    }
}

impl Default for CrashTracker {
    fn default() -> Self {
        Self::open()
    }
}
