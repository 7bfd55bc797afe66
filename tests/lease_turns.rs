//! The planner's lease: giving it up, hearing of it, and taking it again.

use std::net::SocketAddr;

use quetzalpin::lease::{LeaseHolder, LeaseRow};
use quetzalpin::prelude::*;
use quetzalpin::table::RowRevision;

const TERM_MS: u64 = 5_000;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn holder(name: &str, start_id: u64) -> LeaseHolder {
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000));
    LeaseHolder::open(InstanceName::from(name), address, start_id, TERM_MS)
}

/// One holder takes a free lease; returns it with the row.
fn taken() -> (LeaseHolder, LeaseRow) {
    let mut first = holder("a", 1);
    first.observe(at(0), RowRevision::ABSENT, None);
    let intent = first.intent(at(0), true).expect("a free lease");
    first.committed(at(0), &intent, RowRevision(1));
    (first, intent.row)
}

#[test]
fn a_released_lease_is_taken_at_once_with_a_higher_epoch() {
    let (mut first, _) = taken();
    let release = first.release().expect("a held lease");
    assert!(!first.is_held(at(1)));
    let mut second = holder("b", 2);
    second.observe(at(1), RowRevision(2), Some(release.row.clone()));
    let intent = second.intent(at(1), true).expect("a released lease");
    assert_eq!(intent.row.epoch, release.row.epoch + 1);
    assert_eq!(intent.expected, RowRevision(2));
}

/// The answer to the write that gives a lease up does not bring the lease back.
#[test]
fn a_lease_stays_given_up_when_its_release_is_confirmed() {
    let (mut first, _) = taken();
    let release = first.release().expect("a held lease");
    first.committed(at(2), &release, RowRevision(2));
    assert!(!first.is_held(at(2)));
    assert_eq!(first.renewal_in_ms(at(2)), None);
}

#[test]
fn the_process_that_gave_a_lease_up_does_not_hold_it_after_reading_it_back() {
    let (mut first, _) = taken();
    let release = first.release().expect("a held lease");
    first.observe(at(2), RowRevision(2), Some(release.row));
    assert!(!first.is_held(at(2)));
}

/// Word of renewals from a peer counts like a look at the row, so that a lease which stands
/// unchanged since is known to have run out without waiting a whole term again.
#[test]
fn word_of_a_renewal_starts_the_term() {
    let (_, row) = taken();
    let mut second = holder("b", 2);
    second.observe_revision(at(1_000), RowRevision(7));
    second.observe(at(5_500), RowRevision(7), Some(row.clone()));
    assert!(second.intent(at(5_500), true).is_none());
    assert!(second.intent(at(6_100), true).is_some());
    second.observe(at(6_200), RowRevision(8), Some(row));
    assert!(
        second.intent(at(6_300), true).is_none(),
        "the lease was renewed"
    );
}

/// The restarted planner of an instance goes on at once under a higher epoch, where the bound
/// address proves that its predecessor has ended; another instance waits for the term.
#[test]
fn a_restarted_process_takes_its_predecessors_lease() {
    let (_, row) = taken();
    let mut restarted = holder("a", 2).as_sole_process();
    restarted.observe(at(500), RowRevision(1), Some(row.clone()));
    assert!(restarted.is_predecessor_last_writer());
    let intent = restarted
        .intent(at(500), true)
        .expect("the predecessor's lease");
    assert_eq!(intent.row.epoch, row.epoch + 1);
    let mut other = holder("b", 3).as_sole_process();
    other.observe(at(500), RowRevision(1), Some(row));
    assert!(other.intent(at(500), true).is_none());
}

/// A machine that was suspended finds its lease run out before it gives another order.
#[test]
fn a_lease_runs_out_during_a_suspension() {
    let (first, _) = taken();
    assert!(first.is_held(at(3_900)));
    assert!(!first.is_held(at(4_100)));
}

/// After an outage the last holder goes on under a new epoch; a restarted process does not
/// take its predecessor's lease for its own.
#[test]
fn only_the_same_process_goes_on_before_the_term_has_passed() {
    let (mut first, row) = taken();
    first.observe(at(4_500), RowRevision(1), Some(row.clone()));
    assert!(first.is_last_writer());
    let mut restarted = holder("a", 2);
    restarted.observe(at(4_500), RowRevision(1), Some(row));
    assert!(restarted.intent(at(4_500), true).is_none());
}

/// A process that is cut off sees one release, then the release of a holder in between. The pause
/// before its own orders counts from the second.
#[test]
fn the_time_since_a_release_counts_for_the_newest_one() {
    let (mut first, _) = taken();
    let release = first.release().expect("a held lease");
    let mut second = holder("b", 2);
    second.observe(at(1_000), RowRevision(2), Some(release.row.clone()));
    second.observe(at(1_400), RowRevision(2), Some(release.row.clone()));
    assert_eq!(second.released_for_ms(at(1_500)), Some(500));
    second.observe(at(20_000), RowRevision(9), Some(release.row.clone()));
    assert_eq!(second.released_for_ms(at(20_100)), Some(100));
    second.observe(at(21_000), RowRevision(10), None);
    assert_eq!(second.released_for_ms(at(21_100)), None);
}
