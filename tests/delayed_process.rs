//! The list of upstreams at a process that gets too little processor time.

use std::net::SocketAddr;

use quetzalpin::fleet::{
    FeedVersion, SourceError, UpstreamChange, UpstreamEntry, UpstreamPhase, UpstreamRoster,
    UpstreamUpdate,
};
use quetzalpin::prelude::*;
use quetzalpin::time::DelayWatch;

/// Milliseconds between two ticks of the process.
const TICK_MS: u64 = 100;

/// Milliseconds within which an upstream that left must no longer be used.
const DRAIN_MS: u64 = 3_000;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn id() -> UpstreamId {
    UpstreamId::from("i-1")
}

fn update(change: UpstreamChange) -> UpstreamUpdate {
    UpstreamUpdate {
        version: FeedVersion::in_first_era(1),
        newest_change: FeedVersion::in_first_era(1),
        is_snapshot: false,
        changes: vec![change],
    }
}

fn roster_with_upstream() -> UpstreamRoster {
    let mut roster = UpstreamRoster::open();
    let entry = UpstreamEntry {
        id: id(),
        started_at_ms: 1,
        service: ServiceName::from("plain"),
        software: None,
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        zone: ZoneName::from("zone"),
        slots: 4,
        phase: UpstreamPhase::Ready,
        models: Vec::new(),
        local_copies: Vec::new(),
    };
    roster.apply(at(0), update(UpstreamChange::Listed(entry)));
    roster
}

/// Guards against requests that still reach an upstream that has left (DRAIN), because the process
/// takes a read that it gave up for want of processor time for an outage of the platform, in which
/// entries may lapse.
#[test]
fn a_read_given_up_by_a_delayed_process_keeps_no_upstream_that_left() {
    let mut roster = roster_with_upstream();
    let delay = DelayWatch::open(at(0), TICK_MS);
    delay.tick(at(100));
    // The upstream leaves at 200 ms. The process gets no processor time from 1,700 ms to 2,900 ms
    // and finds that its read has taken longer than it may.
    for tick in 2..=17 {
        delay.tick(at(tick * TICK_MS));
    }
    let (started_at, failed_at) = (at(1_700), at(2_900));
    roster.note_failed_read(started_at, failed_at, &SourceError::Timeout(1_000), &delay);
    delay.tick(failed_at);
    roster.apply(at(3_000), update(UpstreamChange::Removed(id())));
    let left_at = 200;
    roster.expire(at(left_at + DRAIN_MS));
    assert!(roster.key_of(&id()).is_none());
}

/// The grace period still holds for what the platform says, and for reads of a process on time.
#[test]
fn an_outage_of_the_platform_keeps_missing_upstreams() {
    let on_time = DelayWatch::open(at(1_000), TICK_MS);
    let delayed = DelayWatch::open(at(0), TICK_MS);
    let cases = [
        (SourceError::Timeout(1_000), &on_time),
        (SourceError::Refused(503), &on_time),
        (SourceError::Refused(503), &delayed),
    ];
    for (error, delay) in cases {
        let mut roster = roster_with_upstream();
        roster.note_failed_read(at(900), at(1_050), &error, delay);
        roster.apply(at(1_100), update(UpstreamChange::Removed(id())));
        assert!(roster.key_of(&id()).is_some(), "{error} is no outage");
    }
}
