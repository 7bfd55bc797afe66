//! Metrics of one process, encoded as OpenMetrics text.

mod account_metrics;
mod metric_labels;
mod node_metrics;

pub use account_metrics::{AccountMetrics, AccountOutcome};
pub use metric_labels::{
    ClosureCounter, ClosureLabels, FeedLabels, OrderLabels, RankLabels, RefusalLabels,
    RequestLabels, TableLabels,
};
pub use node_metrics::NodeMetrics;
