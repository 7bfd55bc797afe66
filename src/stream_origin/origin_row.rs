//! Table rows with the origins of streams.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::quarantine::RequestFingerprint;

/// Milliseconds for which the origin of a stream is kept; longer than any client takes it up again.
pub const ORIGIN_TTL_MS: u64 = 120_000;

/// Milliseconds after which any process may delete a row; longer than clocks differ.
const ROW_TTL_MS: u64 = 5 * ORIGIN_TTL_MS;

/// Number of shards of the rows. Each shard is a partition of the table, which limits its writes.
const SHARD_COUNT: u64 = 8;

/// Prefix of the keys of all rows.
const KEY_PREFIX: &str = "streams/";

/// The service and the software version that wrote the first event of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The software version of its upstream.
    #[serde(rename = "v")]
    pub software: SoftwareVersion,
}

/// The row of one stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRow {
    /// Where the stream began.
    #[serde(flatten)]
    pub origin: StreamOrigin,
    /// When it began, in milliseconds since the Unix epoch.
    #[serde(rename = "t")]
    pub at_unix_ms: u64,
}

impl OriginRow {
    /// Whether the process that wrote the row should have deleted it long ago.
    #[must_use]
    pub const fn is_left_behind(&self, now_unix_ms: u64) -> bool {
        now_unix_ms.saturating_sub(self.at_unix_ms) > ROW_TTL_MS
    }
}

/// Identity of a stream: the id of the client's attempt that brought its first event.
#[must_use]
pub fn stream_id(request: &str) -> RequestFingerprint {
    RequestFingerprint::of_parts(&[request.as_bytes()])
}

/// Key of the row of a stream. Rows of one shard have the same prefix.
#[must_use]
pub fn origin_key(stream: RequestFingerprint) -> String {
    format!("{KEY_PREFIX}{}/{stream}", shard(stream))
}

/// Key prefixes of all shards.
pub fn shard_prefixes() -> impl Iterator<Item = String> {
    (0..SHARD_COUNT).map(|shard| format!("{KEY_PREFIX}{shard}/"))
}

/// Shard of the row of a stream.
pub(super) const fn shard(stream: RequestFingerprint) -> u64 {
    stream.0 % SHARD_COUNT
}
