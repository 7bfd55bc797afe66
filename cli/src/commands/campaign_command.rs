//! `quetzalpin campaign`: fault injection into a fleet of real processes.

use std::process::ExitCode;
use std::time::Duration;

use quetzalpin_standins::{CampaignOptions, run_campaign};

use crate::errors::ToolError;
use crate::flags::Campaign;
use crate::output::outln;

/// Duration of a campaign without `--seconds`.
const DEFAULT_SECONDS: u64 = 60;

/// Concurrent callers.
const CALLER_COUNT: usize = 8;

/// Exit code if a campaign found a violated guarantee.
const EXIT_GUARANTEE_VIOLATED: u8 = 6;

/// Runs one campaign per seed, in sequence, and prints each report.
pub async fn run(flags: &Campaign) -> Result<ExitCode, ToolError> {
    let first_seed = flags.seed.unwrap_or(1);
    let mut is_clean = true;
    for seed in first_seed..first_seed + flags.seeds.unwrap_or(1) {
        let options = CampaignOptions {
            daemon: std::env::current_exe()?.with_file_name("quetzalpind"),
            seed,
            duration: Duration::from_secs(flags.seconds.unwrap_or(DEFAULT_SECONDS)),
            callers: CALLER_COUNT,
            logs: flags.logs.clone(),
        };
        let report = run_campaign(&options).await?;
        outln!("{report}");
        is_clean &= report.is_clean();
    }
    Ok(if is_clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_GUARANTEE_VIOLATED)
    })
}
