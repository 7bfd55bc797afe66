//! The roster of upstreams during outages of the list, restarts and entries that cannot be
//! decoded, which other writers may have written.

use std::net::SocketAddr;

use quetzalpin::fleet::{
    FeedVersion, RosterChange, UpstreamChange, UpstreamEntry, UpstreamPhase, UpstreamRoster,
    UpstreamUpdate,
};
use quetzalpin::prelude::*;
use quetzalpin::table::TableEra;
use rstest::rstest;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn id() -> UpstreamId {
    UpstreamId::from("i-1")
}

fn entry(started_at_ms: u64, phase: UpstreamPhase) -> UpstreamChange {
    UpstreamChange::Listed(UpstreamEntry {
        id: id(),
        started_at_ms,
        service: ServiceName::from("plain"),
        software: None,
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        zone: ZoneName::from("zone"),
        slots: 4,
        phase,
        models: Vec::new(),
        local_copies: Vec::new(),
    })
}

fn update(change: UpstreamChange) -> UpstreamUpdate {
    UpstreamUpdate {
        version: FeedVersion::in_first_era(1),
        newest_change: FeedVersion::in_first_era(1),
        is_snapshot: false,
        changes: vec![change],
    }
}

fn roster_with_start(started_at_ms: u64) -> UpstreamRoster {
    let mut roster = UpstreamRoster::open();
    roster.apply(at(0), update(entry(started_at_ms, UpstreamPhase::Ready)));
    roster
}

#[test]
fn a_removed_entry_is_dropped_at_once_without_an_outage() {
    let mut roster = roster_with_start(1);
    let changes = roster.apply(at(10), update(UpstreamChange::Removed(id())));
    assert_eq!(changes, vec![RosterChange::Gone(id())]);
    assert!(roster.key_of(&id()).is_none());
}

/// Entries that lapse during an outage of the list are listed again within the grace period, so
/// their upstreams must not be dropped before.
#[rstest]
#[case::removed(update(UpstreamChange::Removed(id())))]
#[case::missing(UpstreamUpdate { version: FeedVersion::in_first_era(9), newest_change: FeedVersion::in_first_era(9), is_snapshot: true, changes: Vec::new() })]
fn an_entry_that_lapsed_in_an_outage_may_be_listed_again(#[case] lapse: UpstreamUpdate) {
    let mut roster = roster_with_start(1);
    roster.note_outage(at(5_000));
    roster.apply(at(5_100), lapse);
    assert!(
        roster.key_of(&id()).is_some(),
        "dropped within the grace period"
    );
    roster.apply(at(6_500), update(entry(1, UpstreamPhase::Ready)));
    assert!(roster.expire(at(60_000)).is_empty());
    assert!(roster.key_of(&id()).is_some());
}

#[test]
fn an_entry_that_stays_missing_after_an_outage_is_dropped() {
    let mut roster = roster_with_start(1);
    roster.note_outage(at(5_000));
    roster.apply(at(5_100), update(UpstreamChange::Removed(id())));
    assert!(roster.expire(at(7_000)).is_empty());
    assert_eq!(roster.expire(at(7_400)), vec![RosterChange::Lapsed(id())]);
    assert!(roster.key_of(&id()).is_none());
}

/// The platform was unreachable for this process only. An upstream that left meanwhile is dropped
/// when the grace period since the last failed read ends, however late the list is read again.
#[test]
fn the_grace_period_starts_at_the_last_failed_read() {
    let mut roster = roster_with_start(1);
    roster.note_outage(at(5_000));
    let snapshot = UpstreamUpdate {
        version: FeedVersion::in_first_era(9),
        newest_change: FeedVersion::in_first_era(9),
        is_snapshot: true,
        changes: Vec::new(),
    };
    roster.apply(at(6_900), snapshot);
    assert!(roster.key_of(&id()).is_some());
    assert_eq!(roster.expire(at(7_300)), vec![RosterChange::Lapsed(id())]);
}

/// A draining upstream must not receive new work, even if an outdated entry lists it as ready.
#[test]
fn a_draining_upstream_stays_draining() {
    let mut roster = roster_with_start(1);
    let key = roster.key_of(&id()).expect("a listed upstream");
    let changes = roster.apply(at(1), update(entry(1, UpstreamPhase::Draining)));
    assert_eq!(changes, vec![RosterChange::Leaving(key)]);
    roster.apply(at(2), update(entry(1, UpstreamPhase::Ready)));
    let phase = roster.get(key).map(|entry| entry.phase);
    assert_eq!(phase, Some(UpstreamPhase::Draining));
}

#[test]
fn a_new_start_is_another_upstream_and_an_older_one_is_ignored() {
    let mut roster = roster_with_start(10);
    let first = roster.key_of(&id()).expect("a listed upstream");
    roster.apply(at(1), update(entry(20, UpstreamPhase::Ready)));
    let second = roster.key_of(&id()).expect("a listed upstream");
    assert_ne!(first, second);
    assert!(roster.get(first).is_none());
    roster.apply(at(2), update(entry(10, UpstreamPhase::Draining)));
    assert_eq!(roster.key_of(&id()), Some(second));
    let phase = roster.get(second).map(|entry| entry.phase);
    assert_eq!(phase, Some(UpstreamPhase::Ready));
}

#[test]
fn an_entry_that_cannot_be_decoded_drops_its_upstream() {
    let mut roster = roster_with_start(1);
    let reason = "unknown state".to_owned();
    let unreadable = UpstreamChange::Unreadable {
        id: id(),
        reason: reason.clone(),
    };
    let changes = roster.apply(at(1), update(unreadable));
    assert_eq!(changes, vec![RosterChange::Unreadable(id(), reason)]);
    assert!(roster.key_of(&id()).is_none());
}

/// Guards against DRAIN: a heartbeat that was written before an upstream said in an answer that it
/// leaves makes it ready again.
#[test]
fn an_upstream_that_said_that_it_leaves_is_not_ready_by_its_entry() {
    let mut roster = roster_with_start(1);
    let key = roster.key_of(&id()).expect("an upstream");
    assert!(roster.mark_draining(&id(), 1));
    assert!(!roster.mark_draining(&id(), 1));
    roster.apply(at(10), update(entry(1, UpstreamPhase::Ready)));
    let phase = roster.get(key).map(|entry| entry.phase);
    assert_eq!(phase, Some(UpstreamPhase::Draining));
}

/// Guards against DRAIN: an upstream says in an answer that it leaves while its entry has lapsed, and
/// gets requests when the entry is back.
#[test]
fn an_upstream_that_said_that_it_leaves_while_it_was_not_listed_is_not_ready_again() {
    let mut roster = roster_with_start(1);
    roster.apply(at(10), update(UpstreamChange::Removed(id())));
    assert!(roster.key_of(&id()).is_none());
    roster.mark_draining(&id(), 1);
    roster.apply(at(20), update(entry(1, UpstreamPhase::Ready)));
    let listed = roster.key_of(&id()).and_then(|key| roster.get(key));
    let phase = listed.map(|entry| entry.phase);
    assert_eq!(phase, Some(UpstreamPhase::Draining));
}

/// Guards against an upstream that nobody uses, because an earlier start said that it leaves.
#[test]
fn a_later_start_is_ready_although_an_earlier_one_said_that_it_leaves() {
    let mut roster = roster_with_start(1);
    roster.apply(at(10), update(entry(2, UpstreamPhase::Ready)));
    roster.mark_draining(&id(), 1);
    let listed = roster.key_of(&id()).and_then(|key| roster.get(key));
    let phase = listed.map(|entry| entry.phase);
    assert_eq!(phase, Some(UpstreamPhase::Ready));
}

/// A snapshot of the list in a later era, as it is read after a restore.
fn restored_list(change: UpstreamChange) -> UpstreamUpdate {
    let position = FeedVersion {
        era: TableEra(1),
        version: 1,
    };
    UpstreamUpdate {
        version: position,
        newest_change: position,
        is_snapshot: true,
        changes: vec![change],
    }
}

fn roster_without_upstream(phase: UpstreamPhase) -> UpstreamRoster {
    let mut roster = roster_with_start(1);
    roster.apply(at(10), update(entry(1, phase)));
    roster.apply(at(20), update(UpstreamChange::Removed(id())));
    roster
}

/// Guards against DRAIN: an entry that a restore brings back makes an upstream ready that had left.
#[test]
fn an_upstream_that_drained_away_is_not_ready_after_a_restore() {
    let mut roster = roster_without_upstream(UpstreamPhase::Draining);
    roster.apply(at(9_000), restored_list(entry(1, UpstreamPhase::Ready)));
    assert!(roster.key_of(&id()).is_none());
    roster.expire(at(20_000));
    let key = roster.key_of(&id()).expect("an entry that stayed listed");
    let phase = roster.get(key).map(|entry| entry.phase);
    assert_eq!(phase, Some(UpstreamPhase::Draining));
}

/// Guards against DRAIN: the same with an upstream that left without draining.
#[test]
fn an_upstream_that_was_removed_is_not_used_at_once_after_a_restore() {
    let mut roster = roster_without_upstream(UpstreamPhase::Ready);
    roster.apply(at(9_000), restored_list(entry(1, UpstreamPhase::Ready)));
    assert!(roster.key_of(&id()).is_none());
    roster.apply(at(9_500), update(UpstreamChange::Removed(id())));
    assert!(roster.expire(at(60_000)).is_empty());
    assert!(roster.key_of(&id()).is_none());
}

/// Guards against a live upstream that stays unused: after a restore its entry counts as soon as it
/// is written again, or after a while in any case.
#[rstest]
#[case::written_again(Some(9_500), 9_500)]
#[case::still_listed(None, 15_000)]
fn an_entry_that_stays_listed_after_a_restore_is_used(
    #[case] written_ms: Option<u64>,
    #[case] known_ms: u64,
) {
    let mut roster = roster_without_upstream(UpstreamPhase::Ready);
    roster.apply(at(9_000), restored_list(entry(1, UpstreamPhase::Ready)));
    if let Some(written_ms) = written_ms {
        let mut rewritten = update(entry(1, UpstreamPhase::Ready));
        rewritten.version.era = TableEra(1);
        roster.apply(at(written_ms), rewritten);
    }
    roster.expire(at(known_ms));
    let key = roster.key_of(&id()).expect("an upstream in use");
    let phase = roster.get(key).map(|entry| entry.phase);
    assert_eq!(phase, Some(UpstreamPhase::Ready));
}

/// Guards against DRAIN: a second snapshot after a restore names an upstream that has left as the first
/// one did, which does not show that it has written its entry again.
#[test]
fn a_second_snapshot_after_a_restore_holds_an_entry_back_as_well() {
    let mut roster = roster_without_upstream(UpstreamPhase::Ready);
    roster.apply(at(9_000), restored_list(entry(1, UpstreamPhase::Ready)));
    roster.apply(at(9_400), restored_list(entry(1, UpstreamPhase::Ready)));
    assert!(roster.key_of(&id()).is_none());
    roster.apply(at(9_500), restored_list(entry(2, UpstreamPhase::Ready)));
    assert!(roster.key_of(&id()).is_some(), "a later start is another");
}
