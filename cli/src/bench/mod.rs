//! Benchmarks of latency, capacity, cold starts, overload and single parts.

mod accounts_bench;
mod capacity_bench;
mod choice_bench;
mod cold_bench;
pub mod example_fleet;
mod fleet_thread;
mod flood_bench;
mod flood_report;
mod latency_histogram;
mod planner_bench;
mod process_slopes;
mod slope_fit;
mod warm_bench;

use std::process::ExitCode;

use crate::errors::ToolError;
use crate::flags::BenchCmd;

/// Runs the selected benchmark.
///
/// # Errors
/// [`ToolError`] if a flag is invalid, the fleet failed or a request could not be sent.
pub async fn run(command: BenchCmd) -> Result<ExitCode, ToolError> {
    match command {
        BenchCmd::Warm(warm) => warm_bench::run(&warm).await,
        BenchCmd::Capacity(_) => capacity_bench::run().await,
        BenchCmd::Cold(cold) => cold_bench::run(&cold).await,
        BenchCmd::Flood(flood) => flood_bench::run(&flood).await,
        BenchCmd::Accounts(accounts) => Ok(accounts_bench::run(&accounts)),
        BenchCmd::Choice(choice) => Ok(choice_bench::run(&choice)),
        BenchCmd::Planner(planner) => Ok(planner_bench::run(&planner)),
    }
}
