//! Fingerprint of a request's content.

use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ids::TeamName;

/// The same team sending the same body has the same fingerprint.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
#[display("{_0:016x}")]
pub struct RequestFingerprint(pub u64);

/// a fingerprint has at most 16 hexadecimal digits
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, Error)]
pub struct ParseFingerprintError;

impl FromStr for RequestFingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseFingerprintError)
    }
}

impl RequestFingerprint {
    /// Computes the fingerprint of a body.
    #[must_use]
    pub fn of(team: &TeamName, body: &[u8]) -> Self {
        Self::of_parts(&[team.as_str().as_bytes(), body])
    }

    /// Computes the fingerprint of several texts.
    #[must_use]
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for (index, part) in parts.iter().enumerate() {
            if index > 0 {
                hasher.update([0]);
            }
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let mut first_bytes = [0; 8];
        first_bytes.copy_from_slice(&digest[..8]);
        Self(u64::from_be_bytes(first_bytes))
    }
}
