//! Tests of the planner's lease: release, peer reports, expiry and re-acquisition.

use std::net::SocketAddr;

use quetzalpin::lease::{LeaseHolder, LeasePredecessor, LeaseRow};
use quetzalpin::prelude::*;
use quetzalpin::table::{RowRevision, TableEra};

const TERM_MS: u64 = 5_000;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn holder(name: &str, start_id: u64) -> LeaseHolder {
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000));
    LeaseHolder::open(InstanceName::from(name), address, start_id, TERM_MS)
}

/// Returns a holder that has acquired a free lease, with the row that it wrote.
fn acquired_lease() -> (LeaseHolder, LeaseRow) {
    let mut first = holder("a", 1);
    first.observe(at(0), RowRevision::ABSENT, None);
    let intent = first.intent(at(0), true).expect("a free lease");
    first.record_commit(at(0), &intent, RowRevision(1));
    (first, intent.row)
}

#[test]
fn a_released_lease_is_taken_at_once_with_a_higher_epoch() {
    let (mut first, _) = acquired_lease();
    let release = first.release().expect("a held lease");
    assert!(!first.is_held(at(1)));
    let mut second = holder("b", 2);
    second.observe(at(1), RowRevision(2), Some(release.row.clone()));
    let intent = second.intent(at(1), true).expect("a released lease");
    assert_eq!(intent.row.epoch, release.row.epoch + 1);
    assert_eq!(intent.expected, RowRevision(2));
}

/// Guards against a holder that counts the commit of its own release as a renewal.
#[test]
fn a_lease_stays_released_when_its_release_commits() {
    let (mut first, _) = acquired_lease();
    let release = first.release().expect("a held lease");
    first.record_commit(at(2), &release, RowRevision(2));
    assert!(!first.is_held(at(2)));
    assert_eq!(first.renewal_in_ms(at(2)), None);
}

#[test]
fn a_process_does_not_hold_a_lease_after_reading_back_its_own_release() {
    let (mut first, _) = acquired_lease();
    let release = first.release().expect("a held lease");
    first.observe(at(2), RowRevision(2), Some(release.row));
    assert!(!first.is_held(at(2)));
}

/// A renewal reported by a peer counts like a read of the row. If the row is unchanged since then,
/// the lease expires one term after the report, not one term after the first read.
#[test]
fn a_renewal_reported_by_a_peer_starts_the_term() {
    let (_, row) = acquired_lease();
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

/// A restarted planner acquires its predecessor's lease at once with a higher epoch, because the
/// bound address proves that the predecessor has ended. Another instance waits for the term.
#[test]
fn a_restarted_process_takes_its_predecessors_lease() {
    let (_, row) = acquired_lease();
    let mut restarted = holder("a", 2).as_sole_process();
    restarted.observe(at(500), RowRevision(1), Some(row.clone()));
    let intent = restarted
        .intent(at(500), true)
        .expect("the predecessor's lease");
    assert_eq!(intent.row.epoch, row.epoch + 1);
    let mut other = holder("b", 3).as_sole_process();
    other.observe(at(500), RowRevision(1), Some(row));
    assert!(other.intent(at(500), true).is_none());
}

/// Guards against orders under an expired lease after the machine was suspended.
#[test]
fn a_lease_expires_while_the_machine_is_suspended() {
    let (first, _) = acquired_lease();
    assert!(first.is_held(at(3_900)));
    assert!(!first.is_held(at(4_100)));
}

/// After an outage the last holder may re-acquire the lease at once with a new epoch. A restarted
/// process must not mistake its predecessor's lease for its own.
#[test]
fn only_the_same_process_reacquires_a_lease_before_the_term_has_passed() {
    let (mut first, row) = acquired_lease();
    first.observe(at(4_500), RowRevision(1), Some(row.clone()));
    assert!(first.is_last_writer());
    let mut restarted = holder("a", 2);
    restarted.observe(at(4_500), RowRevision(1), Some(row));
    assert!(restarted.intent(at(4_500), true).is_none());
}

/// A partitioned process sees one release and later the release of a holder that it missed. Its
/// delay before its own first orders must count from the second release.
#[test]
fn the_time_since_a_release_counts_for_the_newest_one() {
    let (mut first, _) = acquired_lease();
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

/// A lease that process "a" held and lost to process "b", and its row in a copy from the time of
/// "a".
fn superseded_lease() -> (LeaseHolder, LeaseHolder, LeaseRow) {
    let (mut first, old_row) = acquired_lease();
    let release = first.release().expect("a held lease");
    first.record_commit(at(1_000), &release, RowRevision(2));
    let mut second = holder("b", 2);
    second.observe(at(1_100), RowRevision(2), Some(release.row));
    let intent = second.intent(at(1_100), true).expect("a free lease");
    second.record_commit(at(1_100), &intent, RowRevision(3));
    first.observe(at(1_200), RowRevision(3), Some(intent.row));
    (first, second, old_row)
}

/// Guards against two planners, and against an epoch that is used twice: after a restore, an earlier
/// holder finds its own row and takes the lease while the last holder still uses it.
#[test]
fn an_earlier_holder_does_not_take_its_own_row_of_a_restored_copy() {
    let (mut first, second, old_row) = superseded_lease();
    let taken = second.epoch().expect("a held lease");
    assert!(first.observe_era(at(2_000), TableEra(1)));
    first.observe(at(2_000), RowRevision(1), Some(old_row.clone()));
    assert!(first.intent(at(2_000), true).is_none());
    assert!(first.intent(at(2_000) + TERM_MS, true).is_none());
    first.observe(at(2_100) + TERM_MS, RowRevision(1), Some(old_row));
    let now = at(2_100) + TERM_MS;
    let intent = first.intent(now, true).expect("an expired lease");
    assert!(intent.row.epoch > taken);
    let unknown = LeasePredecessor::Other { released_for_ms: 0 };
    assert_eq!(first.predecessor(now, &intent), unknown);
}

/// Guards against the same fault with a row that a restored copy shows as released.
#[test]
fn a_released_row_of_a_restored_copy_is_not_free() {
    let (mut first, _) = acquired_lease();
    let release = first.release().expect("a held lease");
    let mut other = holder("b", 2);
    other.observe_era(at(2_000), TableEra(1));
    other.observe(at(2_000), RowRevision(2), Some(release.row));
    assert!(other.intent(at(2_000), true).is_none());
}

/// Guards against the same fault in a process that was started after the restore.
#[test]
fn a_restarted_process_does_not_take_its_predecessors_row_of_a_restored_copy() {
    let (_, row) = acquired_lease();
    let mut restarted = holder("a", 2).as_sole_process();
    restarted.observe_era(at(500), TableEra(1));
    restarted.observe(at(500), RowRevision(1), Some(row));
    assert!(restarted.intent(at(500), true).is_none());
}

/// Guards against orders under a lease that the table has lost. The last holder takes the lease again
/// at once, with an epoch that no lost row can have had.
#[test]
fn the_last_holder_takes_the_lease_again_after_a_restore() {
    let (_, mut second, old_row) = superseded_lease();
    assert!(second.observe_era(at(2_000), TableEra(1)));
    assert!(!second.is_held(at(2_000)));
    second.observe(at(2_100), RowRevision(1), Some(old_row));
    let intent = second.intent(at(2_100), true).expect("the own lease");
    assert!(intent.row.epoch > 1_000);
    let predecessor = second.predecessor(at(2_100), &intent);
    assert_eq!(predecessor, LeasePredecessor::Itself);
    second.record_commit(at(2_100), &intent, RowRevision(2));
    assert!(second.is_held(at(2_200)));
}

/// Guards against a holder that notices the restore only after its lease has ended.
#[test]
fn a_holder_whose_lease_has_ended_waits_after_a_restore() {
    let (_, mut second, old_row) = superseded_lease();
    let late = at(1_100) + TERM_MS;
    second.observe_era(late, TableEra(1));
    second.observe(late, RowRevision(1), Some(old_row));
    assert!(second.intent(late, true).is_none());
}

/// Guards against orders of two planners in quick succession: a process whose lease writes were not
/// answered finds its own row and takes itself for the last planner, though another one planned
/// before that row.
#[test]
fn a_process_that_never_knew_of_its_lease_was_not_the_last_planner() {
    let (mut first, _) = acquired_lease();
    let release = first.release().expect("a held lease");
    let mut second = holder("b", 2);
    second.observe(at(1_000), RowRevision(2), Some(release.row));
    let unanswered = second.intent(at(1_000), true).expect("a free lease");
    second.observe(at(2_000), RowRevision(3), Some(unanswered.row));
    let intent = second.intent(at(2_000), true).expect("the own lease");
    let unknown = LeasePredecessor::Other { released_for_ms: 0 };
    assert_eq!(second.predecessor(at(2_000), &intent), unknown);
}

/// A process that planned and then lost sight of its lease is still the last planner.
#[test]
fn a_process_that_planned_last_is_its_own_predecessor() {
    let (mut first, row) = acquired_lease();
    let late = at(100) + TERM_MS;
    first.observe(late, RowRevision(1), Some(row));
    let unanswered = first.intent(late, true).expect("a write that is due");
    first.observe(late + 100, RowRevision(2), Some(unanswered.row));
    let intent = first.intent(late + 100, true).expect("a write that is due");
    let predecessor = first.predecessor(late + 100, &intent);
    assert_eq!(predecessor, LeasePredecessor::Itself);
}

/// Guards against the same fault after a restart: the earlier process of the instance may have
/// written the row without ever knowing of it.
#[test]
fn a_predecessor_that_may_not_have_known_of_its_lease_does_not_shorten_the_pause() {
    let (mut first, row) = acquired_lease();
    let mut restarted = holder("a", 2).as_sole_process();
    restarted.observe(at(500), RowRevision(1), Some(row));
    let intent = restarted
        .intent(at(500), true)
        .expect("the predecessor's lease");
    let unknown = LeasePredecessor::Other { released_for_ms: 0 };
    assert_eq!(restarted.predecessor(at(500), &intent), unknown);
    let renewal = first.intent(at(2_000), true).expect("a renewal");
    first.record_commit(at(2_000), &renewal, RowRevision(2));
    restarted.observe(at(2_100), RowRevision(2), Some(renewal.row));
    let intent = restarted
        .intent(at(2_100), true)
        .expect("the predecessor's lease");
    let predecessor = restarted.predecessor(at(2_100), &intent);
    assert_eq!(predecessor, LeasePredecessor::EndedProcess);
}
