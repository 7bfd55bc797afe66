//! Short soaks of real gateways with fixed seeds. They check guarantees, not performance.

use std::path::PathBuf;
use std::time::Duration;

use quetzalpin_platform_soak::{FleetSize, SoakOptions, run_soak};
use rstest::rstest;

/// The first seed is a short sample; each of the others once violated a guarantee, for the
/// reason given. Soaks over many seeds are run by hand with `quetzalpin-soak`.
#[rstest]
#[case::slice(1, 15)]
// A gateway was paused during its shutdown; connections that queued meanwhile were reset.
#[case::queued_callers(114, 8)]
// The same, but the accept call that the shutdown cancelled had already taken a connection.
#[case::interrupted_accept(148, 8)]
// A request ended at an upstream that a new start of the worker had replaced; its task panicked.
#[case::replaced_upstream(90014, 21)]
fn promises_hold_through_random_faults(#[case] seed: u64, #[case] seconds: u64) {
    assert_promises_hold(seed, seconds, &SoakExtras::default());
}

/// A short sample with a store that also comes back from older copies.
#[test]
fn promises_hold_through_restores_of_the_store() {
    let extras = SoakExtras {
        has_restores: true,
        ..SoakExtras::default()
    };
    assert_promises_hold(41_000_101, 15, &extras);
}

/// A short sample with large configurations in quick succession on slow links.
#[test]
fn promises_hold_through_storms_of_large_configurations() {
    let extras = SoakExtras {
        has_storms: true,
        ..SoakExtras::default()
    };
    assert_promises_hold(52_100_001, 20, &extras);
}

/// Disturbances beside the random faults.
#[derive(Debug, Default)]
struct SoakExtras {
    has_restores: bool,
    has_storms: bool,
}

fn assert_promises_hold(seed: u64, seconds: u64, extras: &SoakExtras) {
    let options = SoakOptions {
        daemon: PathBuf::from(env!("CARGO_BIN_EXE_quetzalpind")),
        seed,
        duration: Duration::from_secs(seconds),
        callers: 12,
        size: FleetSize::default(),
        has_restores: extras.has_restores,
        has_storms: extras.has_storms,
        logs: None,
    };
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    let report = runtime.block_on(run_soak(&options)).expect("a soak");
    println!("{report}");
    assert!(report.is_clean(), "{report}");
}
