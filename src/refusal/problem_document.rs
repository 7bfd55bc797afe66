//! The body of a refusal as RFC 9457 lays it out.

use serde::{Deserialize, Serialize};

use super::{RefusalOutcome, RefusalReason, RequestRefusal};

/// Problem document of one refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemDocument {
    /// URI reference of the reason.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short text of the reason.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// Typed reason.
    pub reason: RefusalReason,
    /// What is known about the effect.
    pub outcome: RefusalOutcome,
    /// Text about this one occurrence.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
}

impl ProblemDocument {
    /// Describes a refusal.
    #[must_use]
    pub fn of(refusal: RequestRefusal, detail: Option<String>) -> Self {
        let reason = serde_json::to_value(refusal.reason).unwrap_or_default();
        let name = reason.as_str().unwrap_or_default().to_owned();
        Self {
            kind: format!("urn:quetzalpin:refusal:{name}"),
            title: refusal.reason.to_string(),
            status: refusal.reason.status(),
            reason: refusal.reason,
            outcome: refusal.outcome,
            detail,
        }
    }

    /// The refusal that the document describes.
    #[must_use]
    pub const fn refusal(&self) -> RequestRefusal {
        RequestRefusal {
            reason: self.reason,
            outcome: self.outcome,
        }
    }
}
