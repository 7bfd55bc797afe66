//! Quarantine of requests that crash upstreams.

mod loss_tracker;
mod quarantine_row;
mod quarantine_tracker;
mod request_fingerprint;

pub use loss_tracker::{LossTracker, UnexplainedLoss, crash_id};
pub use quarantine_row::{QUARANTINE_PREFIX, QuarantineRow};
pub use quarantine_tracker::{QuarantineTracker, QuarantineVerdict};
pub use request_fingerprint::RequestFingerprint;
