//! Parts of reports between entries and the planner about limited upstreams.

use serde::{Deserialize, Serialize};

use super::RequestRate;
use crate::prelude::*;

/// What an upstream said of its rate limit, and how long ago.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitHearing {
    /// The limit; `None` if an answer named none, which ended it.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<RequestRate>,
    /// Milliseconds since the answer.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// An entry's request for tokens of one limited upstream. A token allows one request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The upstream.
    #[serde(rename = "i")]
    pub upstream: UpstreamId,
    /// Start of the upstream; a later start has no limit until it names one.
    #[serde(rename = "s")]
    pub started_at_ms: u64,
    /// What the entry knows of the limit.
    #[serde(flatten)]
    pub hearing: LimitHearing,
    /// Requests that wait for a token.
    #[serde(rename = "w", default)]
    pub waiting: u32,
    /// Further requests that the entry expects until its next report.
    #[serde(rename = "e", default)]
    pub expected: u32,
    /// Tokens that expired unused since the last report.
    #[serde(rename = "b", default)]
    pub returned: u32,
}

/// The planner's answer: the newest word on a limit, and tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// The upstream.
    #[serde(rename = "i")]
    pub upstream: UpstreamId,
    /// Start of the upstream.
    #[serde(rename = "s")]
    pub started_at_ms: u64,
    /// The newest word on the limit.
    #[serde(flatten)]
    pub hearing: LimitHearing,
    /// Number of tokens.
    #[serde(rename = "n", default)]
    pub count: u32,
    /// Tokens that other entries wait for.
    #[serde(flatten)]
    pub queue: TokenQueue,
}

/// Tokens of one upstream that other entries wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TokenQueue {
    /// Number of entries that wait.
    #[serde(rename = "q", default)]
    pub entries: u32,
    /// Number of tokens that they lack together.
    #[serde(rename = "k", default)]
    pub tokens: u32,
}

impl TokenQueue {
    /// Tokens that the others get before an entry gets its next `count`: entries get one each in
    /// turn.
    #[must_use]
    pub fn ahead_of(self, count: u32) -> u32 {
        self.tokens.min(self.entries.saturating_mul(count))
    }
}
