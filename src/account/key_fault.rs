//! Why a request belongs to no account.

use derive_more::Error;
use displaydoc::Display;

/// Why no account is found for a request. The texts name no key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum KeyFault {
    /// the request has no key
    Missing,
    /// the request's key cannot be read
    Unreadable,
    /// no account of the configuration holds the request's key
    Unknown,
}

impl KeyFault {
    /// Reason in log lines.
    #[must_use]
    pub const fn reason(self) -> &'static str {
        match self {
            Self::Missing => "missing_key",
            Self::Unreadable | Self::Unknown => "unknown_key",
        }
    }

    /// Outcome in metric labels.
    #[must_use]
    pub const fn outcome(self) -> &'static str {
        match self {
            Self::Missing => "missing_key",
            Self::Unreadable => "unreadable_key",
            Self::Unknown => "unknown_key",
        }
    }
}
