//! Log of routing and placement decisions.

mod decision_event;
mod decision_log;

pub use decision_event::{DecisionEvent, DecisionRecord};
pub use decision_log::{DecisionLog, unix_ms};
