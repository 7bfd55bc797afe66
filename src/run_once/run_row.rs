//! Table rows of non-idempotent calls.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::quarantine::RequestFingerprint;
use crate::routing::rendezvous_weight;

/// Prefix of all run rows.
pub const RUN_PREFIX: &str = "run/";

/// Parts into which run rows are divided by hashing, so that old ones can be cleared part by
/// part.
pub const RUN_SHARDS: u32 = 4_096;

/// The team's idempotency key of one call.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{}{team}/{key}", Self::shard_prefix(self.shard()))]
pub struct RunKey {
    /// The team.
    pub team: TeamName,
    /// The key as the caller chose it.
    pub key: String,
}

impl RunKey {
    /// The part of the rows that the key belongs to.
    #[must_use]
    pub fn shard(&self) -> u32 {
        let weight = rendezvous_weight(self.team.as_str(), &self.key);
        u32::try_from(weight % u64::from(RUN_SHARDS)).unwrap_or(0)
    }

    /// Prefix of the rows of one part.
    #[must_use]
    pub fn shard_prefix(shard: u32) -> String {
        format!("{RUN_PREFIX}{shard:03x}/")
    }
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

impl RunRow {
    /// Whether the row has not changed for `keep_s` seconds.
    #[must_use]
    pub const fn is_expired(&self, now_unix_s: u64, keep_s: u64) -> bool {
        now_unix_s.saturating_sub(self.changed_unix_s) > keep_s
    }
}
