//! An account at its usual rate is served, however its requests are spread.

use rstest::rstest;

use super::fleet_sim::{FleetSim, MEAN_COST, limit};

/// The limit as a multiple of the usual rate, and its least value.
const LIMIT: f64 = 1.8;
const LEAST_LIMIT: f64 = 4_200.0;

fn usual_limit(per_s: f64) -> f64 {
    (per_s * MEAN_COST * LIMIT).max(LEAST_LIMIT)
}

/// Requests sent and refused of an account that keeps to its usual rate, without a planner for
/// `gap_ms`, which is 0 or more.
fn run_usual(per_s: f64, used: usize, count: usize, gap_ms: u64) -> (u32, u32) {
    let targets: Vec<usize> = (0..used).collect();
    let (mut sent, mut refused, mut waited_ms, mut reports) = (0, 0, 0, 0);
    for seed in 1..6 {
        let mut sim = FleetSim::open(seed, count, limit(usual_limit(per_s)));
        sim.run(15_000, per_s, &targets);
        if gap_ms > 0 {
            sim.stop_planner();
            sim.run(gap_ms, per_s, &targets);
            sim.start_planner();
        }
        sim.run(25_000, per_s, &targets);
        sent += sim.totals.sent;
        refused += sim.totals.refused;
        waited_ms += sim.totals.waited_ms;
        reports += sim.totals.reports;
    }
    println!(
        "{per_s}/s at {used} of {count}, gap {gap_ms} ms: {sent} sent, {refused} refused, waits of {} ms, {reports} reports",
        waited_ms / u64::from(sent)
    );
    (sent, refused)
}

/// Guards against requests that are refused below the limit, with a planner and without one for 4 s.
#[rstest]
#[case::one_gateway(2.0, 1, 25, 0)]
#[case::few_gateways(2.0, 5, 25, 0)]
#[case::all_gateways(2.0, 25, 25, 0)]
#[case::large_account(40.0, 25, 25, 0)]
#[case::large_account_at_one(40.0, 1, 25, 0)]
#[case::more_gateways(40.0, 68, 68, 0)]
#[case::one_gateway_alone(2.0, 1, 25, 4_000)]
#[case::large_account_alone(40.0, 25, 25, 4_000)]
#[case::large_account_at_one_alone(40.0, 1, 25, 4_000)]
fn usual_rate_is_served(
    #[case] per_s: f64,
    #[case] used: usize,
    #[case] count: usize,
    #[case] gap_ms: u64,
) {
    let (sent, refused) = run_usual(per_s, used, count, gap_ms);
    // One request in 500 at most.
    assert!(refused * 500 <= sent, "{refused} of {sent}");
}

/// Guards against an account that is refused as a whole without a planner because each gateway has only
/// a few of its requests. Each gateway then knows little of its need, and the requests of this test wait
/// for 2 s only, half of the time without a planner.
#[rstest]
#[case::few_gateways(2.0, 5, 25)]
#[case::all_gateways(2.0, 25, 25)]
#[case::more_gateways(40.0, 68, 68)]
fn thinly_spread_account_goes_on_without_a_planner(
    #[case] per_s: f64,
    #[case] used: usize,
    #[case] count: usize,
) {
    let (sent, refused) = run_usual(per_s, used, count, 4_000);
    // Requests that arrived while there was no planner; four seconds of forty-four.
    let arrived_alone = (sent + refused) / 11;
    assert!(refused * 2 <= arrived_alone, "{refused} of {arrived_alone}");
}

/// Guards against a second burst of one account that leaves nothing to its usual rate afterwards.
#[test]
fn account_recovers_after_a_hot_time() {
    let targets: Vec<usize> = (0..25).collect();
    let per_s = 40.0;
    let mut sim = FleetSim::open(7, 25, limit(usual_limit(per_s)));
    sim.run(10_000, per_s, &targets);
    sim.run(8_000, per_s * 7.5, &targets);
    let hot = sim.totals;
    assert!(hot.refused > 0, "{hot:?}");
    // The requests that waited are served within a few seconds.
    sim.run(4_000, per_s, &targets);
    let before = sim.totals.refused;
    sim.run(10_000, per_s, &targets);
    assert_eq!(sim.totals.refused, before);
}

/// Guards against a queue that keeps an account above its limit from using it in full.
#[test]
fn hot_account_gets_its_limit() {
    let targets: Vec<usize> = (0..25).collect();
    let per_s = 40.0;
    let mut sim = FleetSim::open(9, 25, limit(usual_limit(per_s)));
    sim.run(10_000, per_s, &targets);
    let before = sim.totals.sent;
    sim.run(10_000, per_s * 7.5, &targets);
    let sent = f64::from(sim.totals.sent - before) / 10.0;
    println!(
        "hot account: {sent} of {} requests per second",
        per_s * LIMIT
    );
    assert!(sent >= per_s * LIMIT * 0.95, "{sent}");
}

/// Shows that the simulation's load finds a fixed share for each gateway too small.
#[test]
fn fixed_share_refuses_the_usual_rate() {
    let mut rng = fastrand::Rng::with_seed(3);
    let per_s = usual_limit(2.0);
    let share = per_s / 25.0;
    // The account's two requests per second arrive at one gateway.
    let (mut saved, mut sent, mut refused) = (share, 0, 0);
    for _ in 0..200 {
        saved = (saved + share / 2.0).min(share);
        let cost = f64::from(rng.u32(200..1_500));
        if saved >= cost {
            saved -= cost;
            sent += 1;
        } else {
            refused += 1;
        }
    }
    assert!(refused > sent, "{refused} refused, {sent} sent");
}

/// Guards against messages that grow with the number of gateways or requests. The figures are those of
/// the design note.
#[rstest]
#[case::thin(40.0, 68, 40)]
#[case::wide(40.0, 300, 40)]
#[case::hot(300.0, 68, 300)]
fn messages_follow_the_requests(
    #[case] per_s: f64,
    #[case] count: usize,
    #[case] most_extra_per_s: u32,
) {
    let targets: Vec<usize> = (0..count).collect();
    let mut idle = FleetSim::open(1, count, limit(usual_limit(40.0)));
    idle.run(20_000, 0.0, &targets);
    assert_eq!(idle.totals.bytes, 0);
    let mut sim = FleetSim::open(1, count, limit(usual_limit(40.0)));
    sim.run(20_000, per_s, &targets);
    let extra = sim.totals.reports.saturating_sub(idle.totals.reports) / 20;
    println!(
        "{per_s}/s over {count}: {} bytes/s, {extra} extra reports/s besides {}",
        sim.totals.bytes / 20,
        idle.totals.reports / 20
    );
    assert!(extra <= most_extra_per_s, "{extra}");
}
