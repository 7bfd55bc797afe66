//! Quarantine of requests, and of parts of prompts, that crash upstreams.

mod answered_parts;
mod loss_tracker;
mod part_record;
mod part_tracker;
mod prompt_part_id;
mod quarantine_row;
mod quarantine_tracker;
mod request_fingerprint;
mod trial_permit;

pub use loss_tracker::{LossTracker, UnexplainedLoss, crash_id};
pub use part_record::{CrashWitness, PartRecord};
pub use part_tracker::{PartTracker, PartVerdict};
pub use prompt_part_id::PromptPartId;
pub use quarantine_row::{QUARANTINE_PREFIX, QuarantineRow};
pub use quarantine_tracker::{QuarantineTracker, QuarantineVerdict};
pub use request_fingerprint::RequestFingerprint;
pub use trial_permit::{TrialGuard, TrialPermit};
