//! Table rows of non-idempotent calls.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::quarantine::RequestFingerprint;

/// Prefix of all run rows.
pub const RUN_PREFIX: &str = "run/";

/// The team's idempotency key of one call.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{RUN_PREFIX}{team}/{key}")]
pub struct RunKey {
    /// The team.
    pub team: TeamName,
    /// The key as the caller chose it.
    pub key: String,
}

/// An upstream's answer, kept for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body as text.
    pub body: String,
}

/// How far a call is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No attempt has been handed over.
    Open,
    /// This attempt was or is about to be handed over.
    Started(AttemptId),
    /// The attempt ended with this answer.
    Done(AttemptId, RecordedAnswer),
}

/// Everything known about one idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRow {
    /// Fingerprint of the call's body.
    pub fingerprint: RequestFingerprint,
    /// How far the call is.
    pub state: RunState,
    /// Attempts that were given up and must never start; only grows.
    pub voided: Vec<AttemptId>,
    /// Seconds since the Unix epoch of the last change, for clearing old rows.
    pub changed_unix_s: u64,
}
