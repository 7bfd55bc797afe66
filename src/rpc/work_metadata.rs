//! What travels with a request from entry to agent.

use serde::{Deserialize, Serialize};

use crate::memory::AdapterUnit;
use crate::prelude::*;
use crate::quarantine::RequestFingerprint;

/// Header that carries the [`WorkMetadata`] as JSON.
pub const WORK_HEADER: &str = "x-quetzalpin-work";

/// Header on an agent's answer: `answer` from the upstream, or `refusal` from the agent.
pub const ANSWER_HEADER: &str = "x-quetzalpin-answer";

/// Header on a refusal that names the crash at which the request was in flight.
pub const CRASH_HEADER: &str = "x-quetzalpin-crash";

/// Where a request goes at its upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamCall {
    /// A model engine.
    Engine {
        /// What must be loaded.
        replica: ReplicaName,
        /// The adapter, if any, with its size in megabytes.
        adapter: Option<(AdapterUnit, u64)>,
    },
    /// A plain service.
    Service {
        /// The service.
        service: ServiceName,
        /// HTTP method.
        method: String,
        /// Path with query at the service.
        path: String,
    },
}

impl UpstreamCall {
    /// What must be loaded, if anything.
    #[must_use]
    pub const fn replica(&self) -> Option<&ReplicaName> {
        match self {
            Self::Engine { replica, .. } => Some(replica),
            Self::Service { .. } => None,
        }
    }
}

/// One attempt as its agent gets to know it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkMetadata {
    /// The caller's request.
    pub request: String,
    /// This attempt.
    pub attempt: AttemptId,
    /// The team.
    pub team: TeamName,
    /// The team's weight.
    pub share: u32,
    /// The rank.
    pub rank: RankName,
    /// Milliseconds until the deadline, counted from the sending; shrinks with each hop.
    pub remaining_ms: u64,
    /// Where it goes.
    pub call: UpstreamCall,
    /// The idempotency key of a non-idempotent call; `None` if a repeat is harmless.
    pub run_key: Option<String>,
    /// Fingerprint of the body.
    pub fingerprint: RequestFingerprint,
    /// Seen in flight at a crash.
    pub suspect: bool,
    /// The answer is a stream, and the deadline is for its first token.
    pub stream: bool,
    /// Tokens asked for; zero for plain services.
    pub tokens: u32,
    /// Content type of the body.
    pub content_type: String,
}
