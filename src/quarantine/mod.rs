//! Quarantine of requests, and of parts of prompts, that crash upstreams.

mod answer_progress;
mod crash_history;
mod crash_record;
mod crash_suspect;
mod crash_tracker;
mod held_suspects;
mod loss_tracker;
mod mass_crashes;
mod prompt_part_id;
mod quarantine_row;
mod quarantine_tracker;
mod recent_answers;
mod request_fingerprint;
mod trial_permit;

pub use answer_progress::AnswerProgress;
pub use crash_record::CrashRecord;
pub use crash_suspect::{CrashSuspect, RequestSuspects};
pub use crash_tracker::CrashTracker;
pub use held_suspects::{HeldSuspects, SuspectVerdict};
pub use loss_tracker::{LossTracker, UnexplainedLoss, crash_id};
pub use prompt_part_id::PromptPartId;
pub use quarantine_row::{QUARANTINE_PREFIX, QuarantineRow};
pub use quarantine_tracker::{QuarantineTracker, QuarantineVerdict};
pub use request_fingerprint::RequestFingerprint;
pub use trial_permit::{TrialGuard, TrialPermit};
