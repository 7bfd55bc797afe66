//! The list of upstreams through outages, restarts and entries of other writers.

use std::net::SocketAddr;

use quetzalpin::fleet::{
    FeedVersion, RosterChange, UpstreamChange, UpstreamEntry, UpstreamPhase, UpstreamRoster,
    UpstreamUpdate,
};
use quetzalpin::prelude::*;
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
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        zone: ZoneName::from("zone"),
        slots: 4,
        phase,
        models: Vec::new(),
        local_copies: Vec::new(),
    })
}

fn news(change: UpstreamChange) -> UpstreamUpdate {
    UpstreamUpdate {
        version: FeedVersion(1),
        is_snapshot: false,
        changes: vec![change],
    }
}

fn listed(started_at_ms: u64) -> UpstreamRoster {
    let mut roster = UpstreamRoster::open();
    roster.apply(at(0), news(entry(started_at_ms, UpstreamPhase::Ready)));
    roster
}

#[test]
fn a_removed_entry_is_gone_at_once_in_calm_times() {
    let mut roster = listed(1);
    let changes = roster.apply(at(10), news(UpstreamChange::Removed(id())));
    assert_eq!(changes, vec![RosterChange::Gone(id())]);
    assert!(roster.key_of(&id()).is_none());
}

/// Entries that lapse while the list is away are back soon after its return.
#[rstest]
#[case::removed(news(UpstreamChange::Removed(id())))]
#[case::missing(UpstreamUpdate { version: FeedVersion(9), is_snapshot: true, changes: Vec::new() })]
fn an_entry_that_lapsed_in_an_outage_may_come_back(#[case] lapse: UpstreamUpdate) {
    let mut roster = listed(1);
    roster.note_outage(at(5_000));
    roster.apply(at(5_100), lapse);
    assert!(
        roster.key_of(&id()).is_some(),
        "dropped within the grace period"
    );
    roster.apply(at(6_500), news(entry(1, UpstreamPhase::Ready)));
    assert!(roster.expire(at(60_000)).is_empty());
    assert!(roster.key_of(&id()).is_some());
}

#[test]
fn an_entry_that_stays_missing_after_an_outage_is_gone() {
    let mut roster = listed(1);
    roster.note_outage(at(5_000));
    roster.apply(at(5_100), news(UpstreamChange::Removed(id())));
    assert!(roster.expire(at(7_000)).is_empty());
    assert_eq!(roster.expire(at(7_400)), vec![id()]);
    assert!(roster.key_of(&id()).is_none());
}

/// The platform was out of reach for this process only. An upstream that left meanwhile is dropped
/// soon after the last try that failed, however late the list is read.
#[test]
fn the_time_to_be_listed_again_begins_with_the_last_failed_try() {
    let mut roster = listed(1);
    roster.note_outage(at(5_000));
    let whole = UpstreamUpdate {
        version: FeedVersion(9),
        is_snapshot: true,
        changes: Vec::new(),
    };
    roster.apply(at(6_900), whole);
    assert!(roster.key_of(&id()).is_some());
    assert_eq!(roster.expire(at(7_300)), vec![id()]);
}

/// A leaving upstream is never given work again, whatever late entries say.
#[test]
fn a_leaving_upstream_stays_leaving() {
    let mut roster = listed(1);
    let key = roster.key_of(&id()).expect("a listed upstream");
    let changes = roster.apply(at(1), news(entry(1, UpstreamPhase::Draining)));
    assert_eq!(changes, vec![RosterChange::Leaving(key)]);
    roster.apply(at(2), news(entry(1, UpstreamPhase::Ready)));
    let phase = roster.get(key).map(|entry| entry.phase);
    assert_eq!(phase, Some(UpstreamPhase::Draining));
}

#[test]
fn a_new_start_is_another_upstream_and_an_older_one_is_ignored() {
    let mut roster = listed(10);
    let first = roster.key_of(&id()).expect("a listed upstream");
    roster.apply(at(1), news(entry(20, UpstreamPhase::Ready)));
    let second = roster.key_of(&id()).expect("a listed upstream");
    assert_ne!(first, second);
    assert!(roster.get(first).is_none());
    roster.apply(at(2), news(entry(10, UpstreamPhase::Draining)));
    assert_eq!(roster.key_of(&id()), Some(second));
    let phase = roster.get(second).map(|entry| entry.phase);
    assert_eq!(phase, Some(UpstreamPhase::Ready));
}

#[test]
fn an_entry_that_cannot_be_read_names_no_upstream() {
    let mut roster = listed(1);
    let reason = "unknown state".to_owned();
    let unreadable = UpstreamChange::Unreadable {
        id: id(),
        reason: reason.clone(),
    };
    let changes = roster.apply(at(1), news(unreadable));
    assert_eq!(changes, vec![RosterChange::Unreadable(id(), reason)]);
    assert!(roster.key_of(&id()).is_none());
}
