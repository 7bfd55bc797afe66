//! Holding back requests that crash upstreams.

mod loss_watch;
mod quarantine_book;
mod quarantine_row;
mod request_fingerprint;

pub use loss_watch::{LossWatch, UnexplainedLoss, crash_number};
pub use quarantine_book::{QuarantineBook, QuarantineVerdict};
pub use quarantine_row::{QUARANTINE_PREFIX, QuarantineRow};
pub use request_fingerprint::RequestFingerprint;
