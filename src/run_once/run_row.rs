//! Table rows that record the state of non-idempotent calls.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::quarantine::RequestFingerprint;
use crate::routing::rendezvous_weight;

/// Prefix of all run rows.
pub const RUN_PREFIX: &str = "run/";

/// Number of shards of the run rows, chosen by hash, so that expired rows can be deleted one
/// shard at a time.
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
    /// Shard that the key hashes to; below [`RUN_SHARDS`].
    #[must_use]
    pub fn shard(&self) -> u32 {
        let weight = rendezvous_weight(self.team.as_str(), &self.key);
        u32::try_from(weight % u64::from(RUN_SHARDS)).unwrap_or(0)
    }

    /// Key prefix of all rows of one shard.
    #[must_use]
    pub fn shard_prefix(shard: u32) -> String {
        format!("{RUN_PREFIX}{shard:03x}/")
    }
}

/// An upstream's answer, stored to answer retries of the same call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body as text.
    pub body: String,
}

/// Execution state of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No attempt has been dispatched.
    Open,
    /// This attempt was dispatched or is about to be.
    Started(AttemptId),
    /// The attempt ended with this answer.
    Done(AttemptId, RecordedAnswer),
}

/// State of the call with one idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRow {
    /// Fingerprint of the call's body.
    pub fingerprint: RequestFingerprint,
    /// Execution state of the call.
    pub state: RunState,
    /// Attempts that must never start; entries are never removed.
    pub voided: Vec<AttemptId>,
    /// Time of the last change in seconds since the Unix epoch, for expiry.
    pub changed_unix_s: u64,
}

impl RunRow {
    /// Whether the row has not changed for `keep_s` seconds.
    #[must_use]
    pub const fn is_expired(&self, now_unix_s: u64, keep_s: u64) -> bool {
        now_unix_s.saturating_sub(self.changed_unix_s) > keep_s
    }
}
