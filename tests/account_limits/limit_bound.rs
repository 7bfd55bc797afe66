//! No window may hold more than an account may use, whatever fails.

use quetzalpin::account::AccountLimit;
use rstest::rstest;

use super::fleet_sim::{BOUNDS, FleetSim, GatewayState, MEAN_COST, limit};

/// Rate of the hot account as a multiple of its usual one, and its limit.
const HOT: f64 = 7.5;
const LIMIT: f64 = 1.8;

const SEEDS: std::ops::Range<u64> = 1..4;

/// Requests per second of a hot account with the given limit.
fn hot_per_s(limit: AccountLimit) -> f64 {
    limit.per_s / LIMIT / MEAN_COST * HOT
}

fn all(count: usize) -> Vec<usize> {
    (0..count).collect()
}

fn every_second(count: usize) -> Vec<usize> {
    (0..count).step_by(2).collect()
}

fn assert_bound(sim: &FleetSim, limit: AccountLimit, from: u64, case: &str) {
    let (used, at_ms) = sim.busiest_window(from);
    let allowed = BOUNDS.window_units(&limit);
    #[allow(clippy::cast_precision_loss)]
    let part = used as f64 / allowed;
    println!("{case}: busiest window {used} at {at_ms} ms, {part:.2} of {allowed}");
    assert!(part <= 1.0, "{case}: {used} of {allowed} at {at_ms} ms");
}

/// Guards against grants to many gateways that ask at the same time, and against a burst on top of a
/// full bucket.
#[rstest]
fn all_gateways_ask_at_once(
    #[values(25, 68)] count: usize,
    #[values(4_200.0, 50_000.0)] per_s: f64,
) {
    for seed in SEEDS {
        let mut sim = FleetSim::open(seed, count, limit(per_s));
        sim.run(25_000, 0.1, &all(count));
        for _ in 0..6 {
            for index in 0..count {
                sim.arrive(index, 1_500);
            }
        }
        sim.run(12_000, hot_per_s(limit(per_s)), &all(count));
        assert_bound(&sim, limit(per_s), 0, "at once");
    }
}

/// Guards against the grants of two planners and the rates between them adding up.
#[rstest]
fn planner_dies_and_is_replaced(
    #[values(25, 68)] count: usize,
    #[values(4_200.0, 50_000.0)] per_s: f64,
    #[values(300, 1_700, 4_000, 8_000)] gap_ms: u64,
) {
    for seed in SEEDS {
        let mut sim = FleetSim::open(seed, count, limit(per_s));
        let hot = hot_per_s(limit(per_s));
        sim.run(25_000, 0.1, &all(count));
        sim.run(1_200 * seed, hot, &all(count));
        sim.stop_planner();
        sim.run(gap_ms, hot, &all(count));
        sim.start_planner();
        sim.run(12_000, hot, &all(count));
        assert_bound(&sim, limit(per_s), 0, "replaced");
    }
}

fn run_cut_off(sim: &mut FleetSim, count: usize, per_s: f64) {
    let hot = hot_per_s(limit(per_s));
    sim.run(25_000, 0.1, &all(count));
    sim.run(4_000, hot, &all(count));
    sim.set_state(&every_second(count), GatewayState::CutOff);
    sim.run(25_000, hot, &all(count));
    sim.set_state(&every_second(count), GatewayState::Running);
    sim.run(10_000, hot, &all(count));
}

/// Guards against a planner that gives the rate of a partitioned gateway to others while it goes on.
#[rstest]
fn gateways_are_cut_off(#[values(25, 68)] count: usize, #[values(4_200.0, 50_000.0)] per_s: f64) {
    for seed in SEEDS {
        let mut sim = FleetSim::open(seed, count, limit(per_s));
        run_cut_off(&mut sim, count, per_s);
        assert_bound(&sim, limit(per_s), 0, "cut off");
    }
}

/// Shows that the simulation finds a planner which does not account for silent gateways.
#[test]
fn bound_breaks_without_accounting_of_silent_gateways() {
    let mut sim = FleetSim::open(1, 25, limit(50_000.0));
    sim.forgets_silent = true;
    run_cut_off(&mut sim, 25, 50_000.0);
    let (used, _) = sim.busiest_window(0);
    #[allow(clippy::cast_precision_loss)]
    let part = used as f64 / BOUNDS.window_units(&limit(50_000.0));
    println!("naive: {part:.2}");
    assert!(part > 1.0, "{part}");
}

/// Guards against allowance that is used long after its grant, and against one that is used twice.
#[rstest]
fn gateways_freeze_and_restart(
    #[values(25, 68)] count: usize,
    #[values(4_200.0, 50_000.0)] per_s: f64,
    #[values(700, 3_000, 11_000)] frozen_ms: u64,
) {
    for seed in SEEDS {
        let mut sim = FleetSim::open(seed, count, limit(per_s));
        let hot = hot_per_s(limit(per_s));
        sim.run(25_000, 0.1, &all(count));
        sim.run(3_000, hot, &all(count));
        sim.set_state(&every_second(count), GatewayState::Frozen);
        sim.run(frozen_ms, hot, &all(count));
        sim.set_state(&every_second(count), GatewayState::Running);
        sim.run(3_000, hot, &all(count));
        sim.restart(&every_second(count));
        sim.run(10_000, hot, &all(count));
        assert_bound(&sim, limit(per_s), 0, "frozen");
    }
}

/// Guards against allowance of a limit that is no longer in force.
#[rstest]
fn limit_is_lowered(
    #[values(25, 68)] count: usize,
    #[values(4_200.0, 50_000.0)] per_s: f64,
    #[values(false, true)] is_planner_last: bool,
) {
    let (before, after) = (limit(per_s), limit(per_s / 12.0));
    for seed in SEEDS {
        let mut sim = FleetSim::open(seed, count, before);
        let hot = hot_per_s(before);
        sim.run(20_000, hot, &all(count));
        let acknowledged_at = sim.now;
        let (planner_at, gateways_at) = if is_planner_last {
            (3_900, 0)
        } else {
            (0, 3_900)
        };
        for step in 0..40_u64 {
            if step * 100 >= planner_at {
                sim.set_planner_limit(2, after);
            }
            let due =
                |index: &usize| step * 100 >= gateways_at + u64::try_from(*index % 2).unwrap();
            for index in all(count).into_iter().filter(due) {
                sim.set_gateway_limit(index, 2, after);
            }
            sim.run(100, hot, &all(count));
        }
        sim.run(20_000, hot, &all(count));
        assert_bound(&sim, after, acknowledged_at + 4_000, "lowered");
    }
}

/// Guards against what a gateway uses at once without a planner adding up, when gateways lose the planner
/// again and again.
#[rstest]
fn gateways_lose_the_planner_again_and_again(
    #[values(25, 68)] count: usize,
    #[values(4_200.0, 50_000.0)] per_s: f64,
) {
    for seed in SEEDS {
        let mut sim = FleetSim::open(seed, count, limit(per_s));
        let hot = hot_per_s(limit(per_s));
        sim.run(25_000, 0.1, &all(count));
        sim.run(2_000, hot, &all(count));
        for _ in 0..6 {
            sim.set_state(&all(count), GatewayState::CutOff);
            sim.run(2_200, hot, &all(count));
            sim.set_state(&all(count), GatewayState::Running);
            sim.run(700, hot, &all(count));
        }
        assert_bound(&sim, limit(per_s), 0, "again and again");
    }
}
