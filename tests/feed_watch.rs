//! Refetch of the configuration when other processes report a newer version than the own watch.

use quetzalpin::fleet::FeedVersion;
use quetzalpin::gateway::{CompletedRead, FeedWatch, WatchedFeed};
use quetzalpin::planner_rpc::{FeedAges, FeedVersions};
use quetzalpin::prelude::*;
use quetzalpin::table::TableEra;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn catalog(version: u64) -> FeedVersions {
    FeedVersions {
        era: TableEra(0),
        catalog: version,
        roster: 0,
    }
}

/// A read of a feed that usually has one change in an answer.
fn read(began_ms: u64, changes: usize) -> CompletedRead {
    CompletedRead {
        began_at: at(began_ms),
        quiet_ms: 0,
        changes,
        usual_changes: 1,
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
    watch.catalog.begin_call(at(0));
    watch.record_remote(at(0), catalog(6));
    assert!(!watch.catalog.is_overdue(at(2_000), true));
    watch.record_remote(at(2_000), catalog(9));
    assert!(watch.catalog.is_overdue(at(3_000), true));
    watch.repeat_overdue_calls(at(3_000), true);
    assert!(watch.catalog.repeat.is_set());
}

/// Guards against a watch that never completes on a slow platform: each report of the same newer
/// version would cancel the call in progress and start another one.
#[test]
fn a_repeated_version_does_not_cancel_a_slow_call() {
    let watch = watch_with_catalog(6);
    watch.record_remote(at(0), catalog(9));
    watch.catalog.begin_call(at(3_000));
    for millis in [3_000, 3_500, 3_900] {
        watch.record_remote(at(millis), catalog(9));
        assert!(!watch.catalog.is_overdue(at(millis), true));
    }
    assert!(
        watch.catalog.is_overdue(at(4_000), true),
        "a call that hangs again is never repeated"
    );
}

#[test]
fn a_version_in_force_triggers_no_refetch() {
    let watch = watch_with_catalog(9);
    watch.catalog.begin_call(at(0));
    watch.record_remote(at(0), catalog(8));
    assert!(!watch.catalog.is_overdue(at(5_000), true));
    assert_eq!(watch.versions().catalog, 9);
}

/// Guards against requests that still reach an upstream that has left (DRAIN): the platform was
/// silent for a moment, the answer to the call for changes was lost, and the call hangs until its own
/// limit while another process has read the change.
#[test]
fn a_hanging_call_for_the_list_is_given_up_on_word_of_a_change() {
    let watch = FeedWatch::default();
    watch.roster.record_change(at(0), 40, 41);
    watch.roster.begin_call(at(100));
    let heard_at = at(4_600);
    let remote = FeedVersions {
        era: TableEra(0),
        catalog: 0,
        roster: 42,
    };
    watch.record_remote(heard_at, remote);
    assert!(watch.roster.is_overdue(heard_at + 1_000, true));
}

/// Guards against the same fault where no other process can tell: the calls of all of them hang, or
/// the planner that would tell is gone.
#[test]
fn a_long_call_is_given_up_while_no_planner_answers() {
    let watch = FeedWatch::default();
    watch.roster.record_change(at(0), 40, 41);
    watch.roster.begin_call(at(100));
    assert!(!watch.roster.is_overdue(at(2_700), true));
    assert!(watch.roster.is_overdue(at(2_700), false));
}

/// Guards against a change that is in force late (CONFIG) because each newer version that another
/// process reports cancels the call that would bring it, although that call is not hanging.
#[test]
fn versions_in_quick_succession_do_not_cancel_a_slow_call() {
    let watch = watch_with_catalog(6);
    watch.catalog.begin_call(at(0));
    for step in 1..=4 {
        let now = at(step * 200);
        watch.record_remote(now, catalog(6 + step));
        let is_cancelled = watch.catalog.is_overdue(now, true) || watch.catalog.repeat.is_set();
        assert!(!is_cancelled, "cancelled at {now:?}");
    }
}

/// Guards against a list that is read again and again after a restore, or never: versions of the
/// table count within one era only.
#[test]
fn positions_of_different_eras_are_not_compared() {
    let watch = FeedWatch::default();
    let position = |era, version| FeedVersion {
        era: TableEra(era),
        version,
    };
    let remote = |era, roster| FeedVersions {
        era: TableEra(era),
        catalog: 0,
        roster,
    };
    watch.record_roster_read(at(0), position(1, 40), position(1, 50));
    watch.roster.begin_call(at(0));
    watch.record_remote(at(0), remote(0, 90));
    assert!(!watch.roster.is_overdue(at(2_000), true));
    watch.record_remote(at(2_000), remote(2, 10));
    assert!(watch.roster.is_overdue(at(3_000), true));
    watch.record_roster_read(at(3_100), position(2, 12), position(2, 14));
    watch.roster.begin_call(at(3_100));
    watch.record_remote(at(3_200), remote(1, 90));
    assert!(!watch.roster.is_overdue(at(5_000), true));
    watch.record_remote(at(5_000), remote(2, 20));
    assert!(watch.roster.is_overdue(at(6_000), true));
}

/// Guards against CONFIG and DRAIN: a process that is behind asks for every change since its position,
/// and the answer grows until it takes longer than a call may.
#[test]
fn a_process_that_may_be_behind_asks_for_the_state() {
    let position = Some(FeedVersion::in_first_era(41));
    let open_feed = || {
        let feed = WatchedFeed::open("scripted");
        feed.record_change(at(0), 40, 41);
        assert_eq!(feed.read_after(position), position);
        feed
    };
    let failed = open_feed();
    failed.record_failure(at(100));
    assert_eq!(failed.read_after(position), None);
    let overdue = open_feed();
    overdue.begin_call(at(100));
    overdue.record_remote_change(at(100), 44);
    overdue.repeat_overdue_call(at(1_200), true);
    assert_eq!(overdue.read_after(position), None);
    let overtaken = open_feed();
    overtaken.record_read(read(100, 3));
    assert_eq!(overtaken.read_after(position), None);
}

/// The whole state costs more than a change: a process that is up to date does not ask for it.
#[test]
fn a_process_that_has_read_the_state_waits_for_changes_again() {
    let feed = WatchedFeed::open("scripted");
    let position = Some(FeedVersion::in_first_era(50));
    feed.record_failure(at(100));
    feed.record_change(at(900), 50, 50);
    feed.record_read(read(200, 1));
    assert_eq!(feed.read_after(position), position);
}

/// Guards against CONFIG: the planner is behind itself and tells of no newer version, while the answer to
/// the own call is lost, which looks like a call without changes for 10 s.
#[test]
fn the_word_of_a_planner_that_is_behind_itself_does_not_count() {
    let watch = watch_with_catalog(6);
    watch.catalog.begin_call(at(1_000));
    let ages = FeedAges {
        catalog_ms: 1_400,
        roster_ms: 1_400,
    };
    watch.record_planner_read(at(3_500), ages);
    watch.repeat_overdue_calls(at(4_300), true);
    assert!(!watch.catalog.repeat.is_set(), "the planner's word counts");
    let ages = FeedAges {
        catalog_ms: 3_900,
        roster_ms: 400,
    };
    watch.record_planner_read(at(6_000), ages);
    watch.repeat_overdue_calls(at(6_100), true);
    assert!(watch.catalog.repeat.is_set());
    assert!(!watch.roster.repeat.is_set());
}

/// Guards against CONFIG: a refusal with 404 or 401 by a configuration of which nobody knows whether it
/// is still the newest.
#[test]
fn a_feed_is_current_while_a_read_or_the_planner_shows_it() {
    let feed = WatchedFeed::open("scripted");
    feed.record_change(at(0), 6, 6);
    let quiet = CompletedRead {
        quiet_ms: 1_000,
        changes: 0,
        ..read(500, 0)
    };
    feed.record_read(quiet);
    assert!(feed.is_current(at(4_200)));
    assert!(!feed.is_current(at(4_300)), "2.8 s after the quiet time");
    feed.record_planner_read(at(4_300), 300);
    assert!(feed.is_current(at(6_700)));
    feed.record_remote_change(at(6_700), 9);
    assert!(!feed.is_current(at(6_800)), "a newer version is known");
    let doubted = WatchedFeed::open("scripted");
    doubted.record_read(read(0, 1));
    doubted.record_failure(at(200));
    assert!(!doubted.is_current(at(300)), "a read has failed since");
}

/// A call may be overdue since no planner answers. Nothing hints then that much was missed, and the state
/// is the longer answer.
#[test]
fn a_call_that_is_overdue_without_a_planner_is_repeated_for_changes() {
    let feed = WatchedFeed::open("scripted");
    let position = Some(FeedVersion::in_first_era(41));
    feed.record_change(at(0), 40, 41);
    feed.begin_call(at(100));
    feed.repeat_overdue_call(at(2_700), false);
    assert!(feed.repeat.is_set());
    assert_eq!(feed.read_after(position), position);
}

/// Guards against refusals with 503 that go on for 10 s: a feed that is read again because a request was
/// refused by it waited for the next change.
#[compio::test]
async fn a_feed_that_is_read_again_is_read_at_once_and_only_once() {
    let feed = WatchedFeed::open("scripted");
    feed.record_read(read(0, 1));
    feed.begin_call(at(100));
    assert_eq!(feed.wait_ms(at(200), 10_000), 10_000);
    feed.read_again(at(3_000));
    assert!(feed.repeat.is_set());
    assert_eq!(feed.wait_ms(at(3_000), 10_000), 0);
    feed.repeat.wait(0).await;
    feed.read_again(at(3_001));
    assert!(!feed.repeat.is_set(), "the read has been asked for");
    feed.record_read(read(3_002, 0));
    assert_eq!(feed.wait_ms(at(3_050), 10_000), 10_000);
}
