//! What a gateway knows of the parts of prompts that crash upstreams.

use std::cell::RefCell;
use std::rc::Rc;

use super::CallPlan;
use crate::fleet::UpstreamEntry;
use crate::planner_rpc::PartKnowledge;
use crate::prelude::*;
use crate::quarantine::{
    CrashWitness, PartRecord, PartTracker, PartVerdict, RequestFingerprint, TrialPermit, crash_id,
};

/// Records of parts at crashes, and the permit to try an uncertain part.
#[derive(Debug, Default)]
pub struct PartWatch {
    tracker: RefCell<PartTracker>,
    /// Held by the request that tries an uncertain part.
    pub trial: Rc<TrialPermit>,
}

impl PartWatch {
    /// Records that an upstream crashed when it had begun to answer a request and had sent no event.
    pub fn record_crash(
        &self,
        now: MonoTime,
        plan: &CallPlan,
        request: RequestFingerprint,
        upstream: &UpstreamEntry,
    ) {
        let instance = InstanceName::from(upstream.id.as_str());
        let crash = crash_id(&instance, upstream.started_at_ms);
        let parts: Vec<String> = plan.parts.iter().map(ToString::to_string).collect();
        log::warn!(
            request:% = plan.request,
            upstream:% = upstream.id,
            crash,
            parts:? = parts;
            "upstream crashed at the start of an answer"
        );
        self.change(|tracker| {
            for part in &plan.parts {
                let witness = CrashWitness {
                    part: *part,
                    crash,
                    request,
                };
                tracker.record_crash(now, witness);
            }
        });
    }

    /// Records that a request has received an event. Returns whether that clears a part.
    pub fn record_answer(&self, plan: &CallPlan) -> bool {
        self.change(|tracker| tracker.record_answered(&plan.parts))
    }

    /// Adds the records that another process sent.
    pub fn merge(&self, now: MonoTime, records: &[PartRecord]) {
        if !records.is_empty() {
            self.change(|tracker| tracker.merge(now, records));
        }
    }

    /// Drops records of crashes that are too long ago.
    pub fn expire(&self, now: MonoTime) {
        self.change(|tracker| tracker.expire(now));
    }

    /// What this process knows, for a process whose records have the given digest.
    #[must_use]
    pub fn knowledge(&self, now: MonoTime, known_digest: u64) -> PartKnowledge {
        let tracker = self.tracker.borrow();
        let digest = tracker.digest();
        let records = if digest == known_digest {
            Vec::new()
        } else {
            tracker.records(now)
        };
        PartKnowledge { digest, records }
    }

    /// Digest of all records; 0 without records.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.tracker.borrow().digest()
    }

    /// Whether a request may reach an upstream, as far as the parts of its prompt tell.
    #[must_use]
    pub fn verdict(&self, plan: &CallPlan) -> PartVerdict {
        self.tracker.borrow().verdict(&plan.parts)
    }

    /// Changes the records, and logs each part that is held back or free again.
    fn change<R>(&self, change: impl FnOnce(&mut PartTracker) -> R) -> R {
        let mut tracker = self.tracker.borrow_mut();
        let before = tracker.all_held_back().clone();
        let result = change(&mut tracker);
        let after = tracker.all_held_back();
        for part in after.difference(&before) {
            log::warn!(part:% = part, digest = tracker.digest(); "part of prompts held back");
        }
        for part in before.difference(after) {
            log::info!(part:% = part, digest = tracker.digest(); "part of prompts free again");
        }
        result
    }
}
