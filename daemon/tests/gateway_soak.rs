//! A short soak of real gateways with a fixed seed; the verdict is on promises, not on speed.

use std::path::PathBuf;
use std::time::Duration;

use quetzalpin_platform_soak::{SoakOptions, SoakShape, run_soak};
use rstest::rstest;

/// Seeds of the slice; soaks over many seeds are run by hand.
#[rstest]
#[case::all_kinds(1)]
fn promises_hold_through_random_faults(#[case] seed: u64) {
    let options = SoakOptions {
        daemon: PathBuf::from(env!("CARGO_BIN_EXE_quetzalpind")),
        seed,
        duration: Duration::from_secs(15),
        callers: 8,
        shape: SoakShape::default(),
        logs: None,
    };
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    let report = runtime.block_on(run_soak(&options)).expect("a soak");
    println!("{report}");
    assert!(report.is_clean(), "{report}");
}
