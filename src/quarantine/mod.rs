//! Holding back requests that crash upstreams.

mod quarantine_book;
mod quarantine_row;
mod request_fingerprint;

pub use quarantine_book::{QuarantineBook, QuarantineVerdict};
pub use quarantine_row::{QUARANTINE_PREFIX, QuarantineRow};
pub use request_fingerprint::RequestFingerprint;
