//! Label sets of the metrics.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use crate::refusal::{ProblemDocument, RequestRefusal};

/// Labels of answered requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The rank.
    pub rank: String,
}

/// Labels of refusals.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// The typed reason.
    pub reason: String,
    /// Whether the request may have run.
    pub outcome: String,
}

impl RefusalLabels {
    /// Builds the labels of one refusal.
    #[must_use]
    pub fn of(refusal: RequestRefusal) -> Self {
        let document = ProblemDocument::of(refusal, None);
        let reason = document.kind.rsplit(':').next().unwrap_or_default();
        Self {
            reason: reason.to_owned(),
            outcome: refusal.outcome.to_string(),
        }
    }
}

/// Labels of refusals by rank.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RankLabels {
    /// The rank.
    pub rank: String,
    /// The typed reason; for a delay, `delayed`.
    pub reason: String,
}

/// Labels of engine orders.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OrderLabels {
    /// `load` or `unload`.
    pub order: String,
    /// `done`, `refused` or `unanswered`.
    pub outcome: String,
}

/// Labels of reads of feeds.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct FeedLabels {
    /// Name of the feed.
    pub feed: &'static str,
    /// `ok` or `failed`.
    pub result: &'static str,
}

/// Labels of table calls.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TableLabels {
    /// `commit`, `read` or `scan`.
    pub operation: String,
    /// `ok` or `failed`.
    pub result: String,
}

/// Labels of clients that were cut off.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ClosureLabels {
    /// The limit that the client met.
    pub reason: &'static str,
}

/// Counts clients that were cut off, by reason.
pub type ClosureCounter = Family<ClosureLabels, Counter>;
