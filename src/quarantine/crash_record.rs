//! Records of crashes, as processes exchange them.

use serde::{Deserialize, Serialize};

use super::{AnswerProgress, CrashSuspect, RequestFingerprint};

/// A suspect that was in flight at a crash, and what is known of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The suspect.
    #[serde(rename = "s")]
    pub suspect: CrashSuspect,
    /// ID of the crash; the same in every process.
    #[serde(rename = "c")]
    pub crash: u64,
    /// The request that was in flight; the lowest if several with the suspect were.
    #[serde(rename = "r")]
    pub request: RequestFingerprint,
    /// How far the answer had come; the least if several requests with the suspect were in flight.
    #[serde(rename = "l")]
    pub least_lost: AnswerProgress,
    /// The same, the furthest.
    #[serde(rename = "m")]
    pub most_lost: AnswerProgress,
    /// How far another answer came that shows that the suspect did not cause the crash.
    #[serde(rename = "a")]
    pub answered: AnswerProgress,
    /// Milliseconds since the crash.
    #[serde(rename = "ms")]
    pub age_ms: u64,
}
