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

/// Guards against a store that serves the models in the order of ranks or arrival, while many
/// requests wait for another one: each load takes the same time and gains more.
#[test]
fn the_load_with_the_highest_value_comes_first() {
    let mut fleet = RoomFleet::open(RoomSetup {
        full_speed: 4,
        ..RoomSetup::default()
    });
    for _ in 0..40 {
        for model in 20..30 {
            fleet.wait_for(model, 0, 1, 60_000);
        }
        fleet.wait_for(35, 2, 12, 60_000);
        fleet.step();
    }
    assert_eq!(fleet.begun_store_loads(35), 1);
}

/// Guards against a requested model that becomes unusable for an extra copy of a busier one: its
/// requests then wait for a load, and those of the busier one had copies already.
#[rstest]
#[case::short_room(36, true)]
#[case::enough_room(18, false)]
fn the_last_copy_of_a_requested_model_stays(#[case] models: usize, #[case] is_kept: bool) {
    let mut fleet = RoomFleet::open(RoomSetup {
        models,
        held: 3,
        full_speed: 4,
        ..RoomSetup::default()
    });
    let mut lost = 0;
    while fleet.now_ms() < 60_000 {
        if fleet.now_ms().is_multiple_of(500) {
            fleet.add_arrivals(0, 20);
        }
        for model in 1..18 {
            if fleet.now_ms().is_multiple_of(4_000) {
                fleet.add_arrivals(model, 1);
            }
            lost += usize::from(fleet.copies(model) == 0);
        }
        fleet.step();
    }
    assert_eq!(lost == 0, is_kept, "{lost} times without a copy");
}

/// Guards against a prefetch that evicts a requested model where room is short.
#[test]
fn a_prefetch_evicts_no_requested_model() {
    let mut fleet = RoomFleet::open(RoomSetup {
        held: 3,
        full_speed: 4,
        ..RoomSetup::default()
    });
    while fleet.now_ms() < 60_000 {
        for model in 0..18 {
            if fleet.now_ms().is_multiple_of(4_000) {
                fleet.add_arrivals(model, 1);
            }
            let is_rated = fleet.now_ms() > 1_000;
            assert!(!is_rated || fleet.copies(model) > 0, "m{model} is gone");
        }
        fleet.step();
    }
}

/// Guards against two orders of loads, one in the planner's decisions and one in its forecasts: a
/// caller would be refused by a forecast for a load that begins first.
#[test]
fn the_forecast_follows_the_order_of_values() {
    let mut fleet = RoomFleet::open(RoomSetup::default());
    while fleet.now_ms() < 60_000 {
        for model in 20..30 {
            fleet.wait_for(model, 0, 1, 200_000);
        }
        fleet.step();
    }
    while !fleet.now_ms().is_multiple_of(500) {
        fleet.step();
    }
    for model in 20..30 {
        fleet.wait_for(model, 0, 1, 200_000);
    }
    fleet.wait_for(35, 2, 12, 200_000);
    for _ in 0..10 {
        fleet.step();
    }
    let waiting = (20..30).filter(|model| fleet.copies(*model) == 0 && !fleet.is_loading(*model));
    let shortest_ms = waiting.map(|model| fleet.forecast_ms(model)).min();
    assert!(
        fleet.forecast_ms(35) <= shortest_ms.expect("a model that waits"),
        "{} ms, others {shortest_ms:?}",
        fleet.forecast_ms(35)
    );
}

/// Guards against callers who come back in vain: a request that ends before the load is not loaded
/// for, but a second one shows that a third can be served.
#[test]
fn a_load_is_begun_when_a_caller_comes_back() {
    let mut fleet = RoomFleet::open(RoomSetup {
        full_speed: 4,
        ..RoomSetup::default()
    });
    fleet.run(1_000);
    for loads in [0, 1] {
        fleet.add_arrivals(30, 1);
        fleet.wait_for_model(30, 0, 5_000);
        fleet.run(9_000);
        assert_eq!(fleet.begun_store_loads(30), loads);
    }
}
