//! `quetzalpin campaign`.

use std::process::ExitCode;
use std::time::Duration;

use quetzalpin_standins::{CampaignOptions, run_campaign};

use crate::errors::ToolError;
use crate::flags::Campaign;
use crate::output::say;

/// Seconds where no time is given.
const DEFAULT_SECONDS: u64 = 60;

/// Callers at once.
const CALLERS: usize = 8;

/// Exit code where a promise was broken.
const EXIT_BROKEN: u8 = 6;

/// Runs a campaign for each seed.
pub async fn run(flags: &Campaign) -> Result<ExitCode, ToolError> {
    let first = flags.seed.unwrap_or(1);
    let mut is_clean = true;
    for seed in first..first + flags.seeds.unwrap_or(1) {
        let options = CampaignOptions {
            daemon: std::env::current_exe()?.with_file_name("quetzalpind"),
            seed,
            duration: Duration::from_secs(flags.seconds.unwrap_or(DEFAULT_SECONDS)),
            callers: CALLERS,
            logs: flags.logs.clone(),
        };
        let report = run_campaign(&options).await?;
        say!("{report}");
        is_clean &= report.is_clean();
    }
    Ok(if is_clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_BROKEN)
    })
}
