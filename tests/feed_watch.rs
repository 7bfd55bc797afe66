//! Refetch of the configuration when other processes report a newer version than the own watch.

use quetzalpin::gateway::FeedWatch;
use quetzalpin::planner_rpc::FeedVersions;
use quetzalpin::prelude::*;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn catalog(version: u64) -> FeedVersions {
    FeedVersions {
        catalog: version,
        roster: 0,
    }
}

fn watch_with_catalog(version: u64) -> FeedWatch {
    let watch = FeedWatch::default();
    watch.catalog.record_change(at(0), version, version);
    watch
}

#[test]
fn a_newer_version_elsewhere_triggers_a_refetch() {
    let watch = watch_with_catalog(6);
    assert!(!watch.record_remote(at(0), catalog(6)));
    assert!(watch.record_remote(at(10), catalog(9)));
}

/// Guards against a watch that never completes on a slow platform: each report of the same newer
/// version would cancel the call in progress and start another one.
#[test]
fn a_repeated_version_does_not_cancel_a_slow_call() {
    let watch = watch_with_catalog(6);
    assert!(watch.record_remote(at(0), catalog(9)));
    for millis in [500, 1_000, 1_500, 2_000, 2_500] {
        assert!(!watch.record_remote(at(millis), catalog(9)));
    }
    assert!(
        watch.record_remote(at(3_500), catalog(9)),
        "a call that hangs again is never repeated"
    );
}

#[test]
fn a_version_in_force_triggers_no_refetch() {
    let watch = watch_with_catalog(9);
    assert!(!watch.record_remote(at(0), catalog(8)));
    assert_eq!(watch.versions().catalog, 9);
}
