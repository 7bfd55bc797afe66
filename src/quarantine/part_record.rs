//! Records of prompt parts at crashes, as processes exchange them.

use serde::{Deserialize, Serialize};

use super::{PromptPartId, RequestFingerprint};

/// One part of a request whose answer had begun, without an event, when its upstream crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashWitness {
    /// The part.
    pub part: PromptPartId,
    /// ID of the crash; the same in every process.
    pub crash: u64,
    /// The request.
    pub request: RequestFingerprint,
}

/// A witness of a crash and what is known of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRecord {
    /// The part.
    #[serde(rename = "p")]
    pub part: PromptPartId,
    /// ID of the crash.
    #[serde(rename = "c")]
    pub crash: u64,
    /// The request; the lowest if several witnessed the crash.
    #[serde(rename = "r")]
    pub request: RequestFingerprint,
    /// Whether a request with the part is known to have been answered, so that the part did not
    /// cause the crash.
    #[serde(rename = "a")]
    pub is_cleared: bool,
    /// Milliseconds since the crash.
    #[serde(rename = "ms")]
    pub age_ms: u64,
}
