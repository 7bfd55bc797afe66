//! Fault campaigns: run load against a fleet of real processes, inject random faults from a
//! seed, record the history of all calls and check each guarantee against it.

mod call_history;
mod caller_pool;
mod campaign_report;
mod campaign_runner;
mod fault_injector;
mod slot_monitor;

pub use campaign_report::{CampaignReport, GuaranteeCheck};
pub use campaign_runner::{CampaignOptions, run_campaign};
