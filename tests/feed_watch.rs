//! Refetch of the configuration when other processes report a newer version than the own watch.

use quetzalpin::gateway::FeedWatch;
use quetzalpin::prelude::*;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

#[test]
fn a_newer_version_elsewhere_triggers_a_refetch() {
    let watch = FeedWatch::default();
    watch.record_catalog(6);
    assert!(!watch.record_remote_version(at(0), 6));
    assert!(watch.record_remote_version(at(10), 9));
}

/// Guards against a watch that never completes on a slow platform: each report of the same newer
/// version would cancel the call in progress and start another one.
#[test]
fn a_repeated_version_does_not_cancel_a_slow_call() {
    let watch = FeedWatch::default();
    watch.record_catalog(6);
    assert!(watch.record_remote_version(at(0), 9));
    for millis in [500, 1_000, 1_500, 2_000, 2_500] {
        assert!(!watch.record_remote_version(at(millis), 9));
    }
    assert!(
        watch.record_remote_version(at(3_500), 9),
        "a call that hangs again is never repeated"
    );
}

#[test]
fn a_version_in_force_triggers_no_refetch() {
    let watch = FeedWatch::default();
    watch.record_catalog(9);
    assert!(!watch.record_remote_version(at(0), 8));
    assert_eq!(watch.version(), 9);
}
