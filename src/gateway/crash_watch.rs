//! What a gateway knows of the requests and parts of prompts that crash upstreams.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use crate::planner_rpc::{CrashMark, CrashReport, CrashUpdate};
use crate::prelude::*;
use crate::quarantine::{
    AnswerProgress, CrashRecord, CrashTracker, RequestSuspects, SuspectVerdict, TrialPermit,
};

/// Records of crashes, how far they were exchanged with the planner, and the permit to try an
/// uncertain suspect.
#[derive(Debug, Default)]
pub struct CrashWatch {
    tracker: RefCell<CrashTracker>,
    /// Start ID of this process.
    start_id: u64,
    /// Up to where the records of the planner that answered last were received; none if this process
    /// has planned since.
    planner_mark: Cell<CrashMark>,
    /// Held by the request that tries an uncertain suspect.
    pub trial: Rc<TrialPermit>,
}

impl CrashWatch {
    /// Creates the watch of a process that has seen no crash.
    #[must_use]
    pub fn open(start_id: u64) -> Self {
        Self {
            start_id,
            ..Self::default()
        }
    }

    /// Records that an upstream crashed while a request was in flight there, and how far the answer had
    /// come.
    pub fn record_crash(
        &self,
        now: MonoTime,
        crash: u64,
        suspects: RequestSuspects,
        lost_at: AnswerProgress,
    ) {
        self.change(|tracker| tracker.record_crash(now, crash, suspects, lost_at));
    }

    /// Whether a crash is known, so that its upstream need not be tried.
    #[must_use]
    pub fn knows_crash(&self, crash: u64) -> bool {
        self.tracker.borrow().knows_crash(crash)
    }

    /// Records how far the answer to a request came. Returns whether the planner should know at once.
    pub fn record_answered(&self, suspects: RequestSuspects, progress: AnswerProgress) -> bool {
        self.change(|tracker| tracker.record_answered(suspects, progress))
    }

    /// Adds records that this process has read from the table.
    pub fn merge(&self, now: MonoTime, records: &[CrashRecord]) {
        self.change(|tracker| tracker.merge(now, records));
    }

    /// Drops records of crashes that are too long ago.
    pub fn expire(&self, now: MonoTime) {
        self.change(|tracker| tracker.expire(now));
    }

    /// What the planner may not know, for a report to it.
    #[must_use]
    pub fn take_report(&self, now: MonoTime) -> CrashReport {
        CrashReport {
            known: self.planner_mark.get(),
            records: self.tracker.borrow_mut().take_unreported(now),
        }
    }

    /// Puts the records of a report back that was not delivered.
    pub fn restore_report(&self, records: &[CrashRecord]) {
        self.tracker.borrow_mut().restore_unreported(records);
    }

    /// Adds an entry's report to the records of this process, which plans, and returns what the entry
    /// does not know.
    #[must_use]
    pub fn answer_report(&self, now: MonoTime, report: &CrashReport) -> CrashUpdate {
        self.change(|tracker| tracker.merge(now, &report.records));
        // Whoever plans next may not know what was reported here.
        self.planner_mark.take();
        let is_same_planner = report.known.process == self.start_id;
        let known_change = if is_same_planner {
            report.known.change
        } else {
            0
        };
        let tracker = self.tracker.borrow();
        CrashUpdate {
            mark: CrashMark {
                process: self.start_id,
                change: tracker.newest_change(),
            },
            records: tracker.records_since(now, known_change),
        }
    }

    /// Adds what the planner tells. Returns whether it is another planner than before, which must be
    /// told all records.
    pub fn apply_update(&self, now: MonoTime, update: &CrashUpdate) -> bool {
        if update.mark.process == 0 {
            return false;
        }
        self.change(|tracker| tracker.merge(now, &update.records));
        let earlier = self.planner_mark.replace(update.mark);
        let is_new_planner = earlier.process != update.mark.process;
        if is_new_planner {
            self.tracker.borrow_mut().report_all();
        }
        is_new_planner
    }

    /// Whether answers in flight may clear a suspect of several crashes.
    #[must_use]
    pub fn has_recurring(&self) -> bool {
        self.tracker.borrow().has_recurring()
    }

    /// Records for which suspects are held back, to be kept in the table.
    #[must_use]
    pub fn held_back_records(&self, now: MonoTime) -> Vec<CrashRecord> {
        self.tracker.borrow().held_back_records(now)
    }

    /// Digest of the records to be kept in the table; 0 without records.
    #[must_use]
    pub fn held_back_digest(&self) -> u64 {
        self.tracker.borrow().held().digest()
    }

    /// Whether a request may reach an upstream.
    #[must_use]
    pub fn verdict(&self, now: MonoTime, suspects: RequestSuspects) -> SuspectVerdict {
        self.tracker.borrow().verdict(now, suspects)
    }

    /// Changes the records, and logs each suspect that is held back or free again.
    fn change<R>(&self, change: impl FnOnce(&mut CrashTracker) -> R) -> R {
        let mut tracker = self.tracker.borrow_mut();
        let before = Rc::clone(tracker.held());
        let result = change(&mut tracker);
        let after = tracker.held();
        if Rc::ptr_eq(&before, after) {
            return result;
        }
        for suspect in after.suspects().filter(|it| !before.contains(*it)) {
            log::warn!(suspect:% = suspect, digest = after.digest(); "suspect of crashes held back");
        }
        for suspect in before.suspects().filter(|it| !after.contains(*it)) {
            log::info!(suspect:% = suspect, digest = after.digest(); "suspect of crashes free again");
        }
        result
    }
}
