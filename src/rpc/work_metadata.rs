//! Metadata that an entry sends to an agent with each attempt.

use serde::{Deserialize, Serialize};

use crate::memory::AdapterUnit;
use crate::prelude::*;
use crate::quarantine::RequestFingerprint;

/// Header that carries the [`WorkMetadata`] as JSON.
pub const WORK_HEADER: &str = "x-quetzalpin-work";

/// Header on an agent's response: `answer` if it is the upstream's, `refusal` if the agent's.
pub const ANSWER_HEADER: &str = "x-quetzalpin-answer";

/// Header on a refusal that names the crash at which the request was in flight.
pub const CRASH_HEADER: &str = "x-quetzalpin-crash";

/// The call to make at the upstream.
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

/// Metadata of one attempt, sent as JSON in the [`WORK_HEADER`].
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
    /// Milliseconds left until the deadline when the metadata is sent; decreases with each hop.
    pub remaining_ms: u64,
    /// The call to make at the upstream.
    pub call: UpstreamCall,
    /// The idempotency key of a non-idempotent call; `None` if the call may be repeated.
    pub run_key: Option<String>,
    /// Fingerprint of the body.
    pub fingerprint: RequestFingerprint,
    /// Whether the request was in flight at a crash.
    pub suspect: bool,
    /// Whether the response is a stream; the deadline then applies to its first token.
    pub stream: bool,
    /// Largest number of tokens to generate; zero for plain services.
    pub tokens: u32,
    /// Content type of the body.
    pub content_type: String,
}
