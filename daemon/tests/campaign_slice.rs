//! A short fault campaign with a fixed seed; it checks guarantees, not performance.

use std::path::PathBuf;
use std::time::Duration;

use quetzalpin_standins::{CampaignOptions, run_campaign};

/// Seed of this short campaign; longer ones over many seeds are run by hand.
const SEED: u64 = 1;

#[test]
fn promises_hold_through_random_faults() {
    let options = CampaignOptions {
        daemon: PathBuf::from(env!("CARGO_BIN_EXE_quetzalpind")),
        seed: SEED,
        duration: Duration::from_secs(12),
        callers: 6,
        logs: None,
    };
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    let report = runtime
        .block_on(run_campaign(&options))
        .expect("a campaign");
    println!("{report}");
    assert!(report.is_clean(), "{report}");
}
