//! The body of a refusal, as a problem document (RFC 9457).

use serde::{Deserialize, Serialize};

use super::{RefusalOutcome, RefusalReason, RequestRefusal};

/// Problem document of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemDocument {
    /// URI that identifies the reason.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short description of the reason.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub outcome: RefusalOutcome,
    /// Description of this occurrence; absent if there is nothing to add to the title.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
}

impl ProblemDocument {
    /// Creates the document of a refusal.
    #[must_use]
    pub fn of(refusal: RequestRefusal, detail: Option<String>) -> Self {
        let reason_value = serde_json::to_value(refusal.reason).unwrap_or_default();
        let reason_name = reason_value.as_str().unwrap_or_default().to_owned();
        Self {
            kind: format!("urn:quetzalpin:refusal:{reason_name}"),
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
