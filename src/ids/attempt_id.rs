//! Identifier of one attempt to run a request.

use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::random_bits;

/// Identifies one attempt to run a request; a resend by the caller is a new attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{_0:032x}")]
pub struct AttemptId(u128);

impl AttemptId {
    /// Wraps a number; the caller of this function ensures that it is unique.
    #[must_use]
    pub const fn new(number: u128) -> Self {
        Self(number)
    }

    /// Generates a random identifier.
    #[must_use]
    pub fn random() -> Self {
        Self(u128::from(random_bits()) << 64 | u128::from(random_bits()))
    }
}

/// The text is not an attempt identifier of 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("an attempt identifier has 32 hexadecimal digits")]
pub struct ParseAttemptError;

impl FromStr for AttemptId {
    type Err = ParseAttemptError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 32 {
            return Err(ParseAttemptError);
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseAttemptError)
    }
}

impl Serialize for AttemptId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

struct AttemptVisitor;

impl serde::de::Visitor<'_> for AttemptVisitor {
    type Value = AttemptId;

    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("32 hexadecimal digits")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<AttemptId, E> {
        text.parse().map_err(E::custom)
    }
}

impl<'de> Deserialize<'de> for AttemptId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(AttemptVisitor)
    }
}
