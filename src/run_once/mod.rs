//! The record that keeps a non-idempotent call from running twice.

mod run_decision;
mod run_row;

pub use run_decision::{RunLedger, SettleStep, StartStep, VoidStep};
pub use run_row::{RUN_PREFIX, RUN_SHARDS, RecordedAnswer, RunKey, RunRow, RunState};
