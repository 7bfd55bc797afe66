//! Run records: at-most-once execution of non-idempotent calls, keyed by idempotency key.

mod attempt_transitions;
mod run_row;

pub use attempt_transitions::{AttemptTransitions, RevertStep, StartStep, VoidStep};
pub use run_row::{RUN_PREFIX, RUN_SHARDS, RecordedAnswer, RunKey, RunRow, RunState};
