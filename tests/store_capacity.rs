//! The number of loads that the weight store carries at full speed. Load: engines load models of
//! 13.2 s from a store that carries one load at full speed, and the planner begins four or six.

mod room_sim;

use proptest::prelude::*;
use quetzalpin::fleet::UpstreamKey;
use quetzalpin::orders::StoreCapacity;
use quetzalpin::prelude::*;
use rstest::rstest;
use slotmap::SlotMap;

use room_sim::{RoomFleet, RoomSetup};

const NOMINAL_MS: u64 = 13_200;

/// Milliseconds by which the planner sees the end of a load late.
const SEEN_MS: u64 = 300;

/// Runs batches of concurrent loads at a store that carries `full_speed` of them.
fn run_batches(
    capacity: &mut StoreCapacity,
    now_ms: u64,
    batches: usize,
    sizes: &[(u64, u64)],
) -> u64 {
    let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
    let mut now_ms = now_ms;
    for _ in 0..batches {
        for (loads, full_speed) in sizes {
            let keys: Vec<UpstreamKey> = (0..*loads).map(|_| keys.insert(())).collect();
            for key in &keys {
                capacity.begin(MonoTime::from_millis(now_ms), *key, NOMINAL_MS);
            }
            now_ms += NOMINAL_MS * (*loads).max(*full_speed) / full_speed + SEEN_MS;
            for key in &keys {
                capacity.complete(MonoTime::from_millis(now_ms), *key);
            }
        }
    }
    now_ms
}

/// Guards against a planner that never learns, or learns a wrong number, from batches of concurrent
/// loads.
#[rstest]
#[case::one_of_four(4, 1)]
#[case::one_of_six(6, 1)]
#[case::two_of_four(4, 2)]
#[case::three_of_six(6, 3)]
#[case::four_of_six(6, 4)]
fn concurrent_loads_show_how_many_run_at_full_speed(#[case] loads: u64, #[case] full_speed: u64) {
    let mut capacity = StoreCapacity::default();
    run_batches(&mut capacity, 0, 2, &[(loads, full_speed)]);
    assert_eq!(capacity.learned().map(u64::from), Some(full_speed));
}

/// Guards against a limit where loads take their nominal time, and against one learned from single
/// slow loads, which have another cause.
#[rstest]
#[case::full_speed(&[(4, 4), (6, 6), (1, 1)])]
#[case::seen_late(&[(2, 2)])]
fn loads_at_full_speed_set_no_limit(#[case] sizes: &[(u64, u64)]) {
    let mut capacity = StoreCapacity::default();
    let now_ms = run_batches(&mut capacity, 0, 4, sizes);
    let now = MonoTime::from_millis(now_ms);
    assert_eq!((capacity.learned(), capacity.load_limit(now)), (None, None));
}

/// Guards against a limit from a load that hangs by itself, and from one that failed.
#[test]
fn a_single_slow_load_sets_no_limit() {
    let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
    let mut capacity = StoreCapacity::default();
    for begin_ms in [0, 100_000, 200_000, 300_000] {
        let (slow, failed) = (keys.insert(()), keys.insert(()));
        capacity.begin(MonoTime::from_millis(begin_ms), slow, NOMINAL_MS);
        capacity.complete(MonoTime::from_millis(begin_ms + 40_000), slow);
        capacity.begin(MonoTime::from_millis(begin_ms + 40_000), failed, NOMINAL_MS);
        capacity.abandon(MonoTime::from_millis(begin_ms + 90_000), failed);
    }
    assert_eq!(capacity.learned(), None);
}

/// Guards against a limit that stays for the lifetime of the planner after the store was slow for a
/// while.
#[test]
fn a_store_that_recovers_carries_more_loads_again() {
    let mut capacity = StoreCapacity::default();
    let slow_until = run_batches(&mut capacity, 0, 2, &[(4, 1)]);
    let limit = capacity.load_limit(MonoTime::from_millis(slow_until));
    assert_eq!(limit, Some(1));
    let later = MonoTime::from_millis(slow_until + 121_000);
    assert_eq!(capacity.load_limit(later), Some(2));
    run_batches(&mut capacity, slow_until + 121_000, 1, &[(2, 2)]);
    assert_eq!(capacity.learned(), Some(2));
}

/// Guards against forecasts of a moment for loads that are slowed down: before the first of them
/// ends, they are overdue and nothing is learned.
#[test]
fn overdue_loads_bound_the_number_before_one_ends() {
    let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
    let mut capacity = StoreCapacity::default();
    let loads: Vec<UpstreamKey> = (0..4).map(|_| keys.insert(())).collect();
    for key in &loads {
        capacity.begin(MonoTime::default(), *key, NOMINAL_MS);
    }
    let due = MonoTime::from_millis(NOMINAL_MS);
    assert_eq!(capacity.left_ms(due, loads[0]), None);
    let overdue = MonoTime::from_millis(2 * NOMINAL_MS);
    assert_eq!(capacity.load_limit(overdue), Some(2));
    let late = MonoTime::from_millis(3 * NOMINAL_MS);
    assert_eq!(capacity.load_limit(late), Some(1));
}

/// Guards against a planner that goes on to begin four or six loads at a store that carries one,
/// which makes each of them outlast the deadlines of all requests for it.
#[test]
fn the_planner_keeps_to_the_learned_number() {
    let mut fleet = RoomFleet::open(RoomSetup {
        full_speed: 1,
        ..RoomSetup::default()
    });
    let mut most_loads = 0;
    while fleet.now_ms() < 180_000 {
        for model in 6..18 {
            fleet.wait_for_model(model, 1, 20_000);
        }
        fleet.step();
        if fleet.now_ms() > 90_000 {
            most_loads = most_loads.max(fleet.store_loads());
        }
    }
    assert!(
        (1..=2).contains(&most_loads),
        "{most_loads} concurrent loads"
    );
}

/// Guards against a forecast that leaves out the queue of loads and the store's speed: with one load
/// at a time, the last of several models is usable only after all others.
#[test]
fn the_forecast_counts_the_queue_and_the_speed_of_the_store() {
    let mut fleet = RoomFleet::open(RoomSetup {
        full_speed: 1,
        ..RoomSetup::default()
    });
    while fleet.now_ms() < 90_000 {
        for model in 6..18 {
            fleet.wait_for_model(model, 1, 60_000);
        }
        fleet.step();
    }
    let mut forecasts: Vec<u64> = (6..18).map(|model| fleet.forecast_ms(model)).collect();
    forecasts.sort_unstable();
    let longest_ms = forecasts.last().copied().unwrap_or_default();
    let missing = forecasts.iter().filter(|ms| **ms > 0).count() as u64;
    assert!(missing >= 4, "{missing} models are missing");
    assert!(
        longest_ms >= (missing - 1) * NOMINAL_MS,
        "{longest_ms} ms for {missing} loads: {forecasts:?}"
    );
}

proptest! {
    /// Guards against a panic, a limit of 0, or a number above what ran, for loads of any duration.
    #[test]
    fn any_durations_give_a_usable_limit(
        steps in prop::collection::vec((0_usize..6, 0_u64..40_000, any::<bool>(), 0_u64..20_000), 1..60)
    ) {
        let mut slots: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
        let keys: Vec<UpstreamKey> = (0..6).map(|_| slots.insert(())).collect();
        let mut capacity = StoreCapacity::default();
        let mut now = MonoTime::default();
        for (index, pause_ms, is_end, nominal_ms) in steps {
            now = now + pause_ms;
            if is_end {
                capacity.complete(now, keys[index]);
            } else {
                capacity.begin(now, keys[index], nominal_ms);
            }
            prop_assert!(capacity.load_limit(now).is_none_or(|limit| (1..=8).contains(&limit)));
            prop_assert!(keys.iter().all(|key| capacity.left_ms(now, *key) != Some(0)));
        }
    }
}
