//! Metrics of one process, encoded as OpenMetrics text.

mod metric_labels;
mod node_metrics;

pub use metric_labels::{
    ClosureCounter, ClosureLabels, OrderLabels, RefusalLabels, RequestLabels, TableLabels,
};
pub use node_metrics::NodeMetrics;
