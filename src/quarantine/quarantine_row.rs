//! Table rows that record which requests were in flight at crashes.

use serde::{Deserialize, Serialize};

use super::RequestFingerprint;

/// Prefix of all quarantine rows.
pub const QUARANTINE_PREFIX: &str = "quarantine/";

/// Record that one request was in flight at one crash.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRow {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// ID of the crash.
    pub crash: u64,
    /// Time of the crash record in seconds since the Unix epoch.
    pub at_unix_s: u64,
}

impl QuarantineRow {
    /// Table key of a request at a crash.
    #[must_use]
    pub fn row_key(fingerprint: RequestFingerprint, crash: u64) -> String {
        format!("{QUARANTINE_PREFIX}{fingerprint}/{crash:016x}")
    }

    /// Parses a table key into fingerprint and crash ID; `None` if it is not a quarantine key.
    #[must_use]
    pub fn parse_key(key: &str) -> Option<(RequestFingerprint, u64)> {
        let rest = key.strip_prefix(QUARANTINE_PREFIX)?;
        let (fingerprint, crash) = rest.split_once('/')?;
        let crash = u64::from_str_radix(crash, 16).ok()?;
        Some((fingerprint.parse().ok()?, crash))
    }
}
