//! Fault campaigns: run load against a fleet of real processes, inject random faults from a
//! seed, record the history of all calls and check each promise against it.

mod call_history;
mod caller_pool;
mod campaign_runner;
mod fault_injector;
mod promise_check;
mod slot_monitor;

pub use campaign_runner::{CampaignOptions, run_campaign};
pub use promise_check::{CampaignReport, PromiseCheck};
