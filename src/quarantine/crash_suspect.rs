//! What may be at fault when an upstream crashes.

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

use super::{PromptPartId, RequestFingerprint};

/// A request, or a part of its prompt, that was in flight at a crash; the same in every process.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Serialize, Deserialize,
)]
pub enum CrashSuspect {
    /// The whole request: each copy of it crashes upstreams.
    #[serde(rename = "r")]
    #[display("request {_0}")]
    Request(RequestFingerprint),
    /// A part of its prompt: each request that contains it crashes upstreams.
    #[serde(rename = "p")]
    #[display("part {_0}")]
    Part(PromptPartId),
}

/// All suspects of one request.
#[derive(Debug, Clone, Copy)]
pub struct RequestSuspects<'a> {
    /// The request as a whole.
    pub request: RequestFingerprint,
    /// Parts of its prompt that other requests may contain.
    pub parts: &'a [PromptPartId],
}

impl RequestSuspects<'_> {
    /// The whole request, then each part.
    pub fn iter(&self) -> impl Iterator<Item = CrashSuspect> + '_ {
        let parts = self.parts.iter().copied().map(CrashSuspect::Part);
        std::iter::once(CrashSuspect::Request(self.request)).chain(parts)
    }
}
