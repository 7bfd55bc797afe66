//! Fault campaigns: random faults from a seed against a fleet of real processes, a history
//! of all calls, and a check of each promise.

mod call_history;
mod caller_pool;
mod campaign_runner;
mod fault_injector;
mod promise_check;
mod slot_monitor;

pub use campaign_runner::{CampaignOptions, run_campaign};
pub use promise_check::{CampaignReport, PromiseCheck};
