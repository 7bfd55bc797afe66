//! Identity of a part of a prompt.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A part of a prompt; the same in every process and for every request that contains the part.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
#[display("{_0:016x}")]
pub struct PromptPartId(pub u64);

impl PromptPartId {
    /// Computes the identity from the platform's text for the part (FNV-1a).
    #[must_use]
    pub fn of(text: &str) -> Self {
        const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
        const PRIME: u64 = 0x0100_0000_01b3;
        let hash = text.bytes().fold(OFFSET_BASIS, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(PRIME)
        });
        Self(hash)
    }
}
