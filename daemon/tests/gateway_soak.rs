//! Short soaks of real gateways with fixed seeds; the verdict is on promises, not on speed.

use std::path::PathBuf;
use std::time::Duration;

use quetzalpin_platform_soak::{FleetSize, SoakOptions, run_soak};
use rstest::rstest;

/// The first seed is the slice of each run; the others once broke a promise. Soaks over many
/// seeds are run by hand.
#[rstest]
#[case::slice(1, 15)]
// A gateway was paused in its shutdown; callers queued meanwhile were reset.
#[case::queued_callers(114, 8)]
// The same; the accept that the stop interrupted had taken a connection already.
#[case::interrupted_accept(148, 8)]
// A request ended at an upstream whose place another start had taken; its task panicked.
#[case::replaced_upstream(90014, 21)]
fn promises_hold_through_random_faults(#[case] seed: u64, #[case] seconds: u64) {
    let options = SoakOptions {
        daemon: PathBuf::from(env!("CARGO_BIN_EXE_quetzalpind")),
        seed,
        duration: Duration::from_secs(seconds),
        callers: 12,
        shape: FleetSize::default(),
        logs: None,
    };
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    let report = runtime.block_on(run_soak(&options)).expect("a soak");
    println!("{report}");
    assert!(report.is_clean(), "{report}");
}
