//! The refusal of a request.

use derive_more::Error;
use displaydoc::Display;
use serde::{Deserialize, Serialize};

use super::RefusalReason;

/// Whether a refused request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalOutcome {
    /// not_run
    NotRun,
    /// unknown
    Unknown,
}

/// {reason} ({outcome})
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
pub struct RequestRefusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// `NotRun` only if it is certain that no upstream ran or will run the attempt.
    pub outcome: RefusalOutcome,
}

impl RequestRefusal {
    /// Refusal of a request that no upstream has run or will run.
    #[must_use]
    pub const fn not_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            outcome: RefusalOutcome::NotRun,
        }
    }

    /// Refusal of a request that an upstream may have run.
    #[must_use]
    pub const fn unknown(reason: RefusalReason) -> Self {
        Self {
            reason,
            outcome: RefusalOutcome::Unknown,
        }
    }
}
