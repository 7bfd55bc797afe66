//! Loads where the engines have too little room. Load: 36 models of 70 GB, rarely requested, at six
//! engines of 230 GB, and requests whose deadline may end before a load of 13.2 s does.

mod room_sim;

use rstest::rstest;

use room_sim::{RoomFleet, RoomSetup};

/// Guards against loads for nobody: the only request for a model ends before the load would, and
/// the load takes the store from requests that it could still serve.
#[test]
fn a_load_is_not_begun_for_a_request_that_ends_before_it() {
    let mut fleet = RoomFleet::open(RoomSetup {
        full_speed: 4,
        ..RoomSetup::default()
    });
    for _ in 0..200 {
        fleet.wait_for_model(30, 0, 5_000);
        fleet.wait_for_model(31, 2, 20_000);
        fleet.step();
    }
    assert_eq!(
        (fleet.begun_store_loads(30), fleet.is_loading(30)),
        (0, false)
    );
    assert_eq!(fleet.begun_store_loads(31), 1);
}

/// Guards against a model that many requests ask for and that is never loaded, because each of them
/// ends before the load would.
#[test]
fn a_load_is_begun_for_expected_requests() {
    let mut fleet = RoomFleet::open(RoomSetup {
        full_speed: 4,
        ..RoomSetup::default()
    });
    while fleet.now_ms() < 40_000 {
        fleet.wait_for_model(30, 0, 5_000);
        if fleet.now_ms().is_multiple_of(1_000) {
            fleet.add_arrivals(30, 1);
        }
        fleet.step();
    }
    assert_eq!(fleet.copies(30), 1);
}

/// Guards against giving up a load when the requests that it was begun for are gone: others gain
/// from it.
#[test]
fn a_load_in_progress_goes_on() {
    let mut fleet = RoomFleet::open(RoomSetup::default());
    while !fleet.is_loading(30) {
        fleet.wait_for_model(30, 1, 20_000);
        fleet.step();
    }
    // Prefetches share the store, which carries one load at full speed.
    fleet.run(60_000);
    assert_eq!(fleet.copies(30), 1);
}

/// Guards against different loads where room is enough: there, a model is loaded also for requests
/// that come later.
#[rstest]
#[case::enough_room(20, 1)]
#[case::short_room(36, 0)]
fn the_deadline_counts_only_where_room_is_short(#[case] models: usize, #[case] loads: u32) {
    let mut fleet = RoomFleet::open(RoomSetup {
        models,
        full_speed: 4,
        ..RoomSetup::default()
    });
    for _ in 0..60 {
        fleet.wait_for_model(19, 0, 5_000);
        fleet.step();
    }
    assert_eq!(fleet.begun_store_loads(19), loads);
}
