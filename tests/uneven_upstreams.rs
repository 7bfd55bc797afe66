//! Choice among engines of different speeds, under the loads that it is made for.
#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]

mod uneven_sim;

use quetzalpin::prelude::*;
use quetzalpin::upstream_speed::{WorkClass, WorkSample};
use uneven_sim::{BusyNeighbour, MODEL, SimEngine, SimFleet, SimGateway, roster_of, stream_plan};

const SPEEDS_OF_B: [f64; 3] = [0.7, 0.7, 1.7];

/// Largest share of an engine relative to the one that its speed calls for: a draw of two gives it at
/// most twice that, and the rest is chance.
const MAX_SHARE_RATIO: f64 = 2.1;

fn engines(speeds: impl IntoIterator<Item = f64>) -> Vec<SimEngine> {
    speeds.into_iter().map(SimEngine::open).collect()
}

/// Load: 25 gateways, three engines at 0.7, 0.7 and 1.7 of the usual speed, 24 streams a second.
/// Guards against choosing by count, which gives each engine the same number of streams.
#[test]
fn streams_end_earlier_where_the_fast_engine_gets_more_of_them() {
    let run = |learns| SimFleet::open(engines(SPEEDS_OF_B), 25, learns).run(60_000, 24.0, 20_000);
    let (even, uneven) = (run(false), run(true));
    assert!(
        uneven.mean_ms() < even.mean_ms() * 0.9,
        "{} ms instead of {} ms",
        uneven.mean_ms(),
        even.mean_ms()
    );
    assert!(
        uneven.share(2) > even.share(2) + 0.03,
        "{uneven:?} {even:?}"
    );
}

/// Load: as above, on twelve engines. Guards against a herd at the fast engines, and against slow ones
/// that get nothing.
#[test]
fn each_engine_gets_work_and_none_much_more_than_its_speed_calls_for() {
    let speeds = || SPEEDS_OF_B.into_iter().cycle().take(12);
    let total: f64 = speeds().sum();
    let result = SimFleet::open(engines(speeds()), 25, true).run(60_000, 80.0, 20_000);
    for (engine, speed) in speeds().enumerate() {
        let ratio = result.share(engine) / (speed / total);
        assert!(
            ratio < MAX_SHARE_RATIO,
            "engine {engine}: {ratio} {result:?}"
        );
        assert!(result.sent[engine] > 0, "engine {engine} gets no work");
    }
}

/// Load: 25 gateways, 600 short streams a second, twelve engines beside neighbours that make work take 2.5 times as long for
/// 600 ms, 15 of 100 of the time, known only from the heads of answers. Guards against requests that
/// go to an engine in a slow moment although its report of it is fresh, and against a choice that is
/// worse than without the reports.
#[test]
fn fewer_requests_go_to_an_engine_in_a_slow_moment() {
    let run = |learns| {
        let beside_neighbour = |number: u64| {
            SimEngine::open(1.0).beside(BusyNeighbour {
                period_ms: 4_000,
                busy_ms: 600,
                phase_ms: number * 1_371,
                factor: 2.5,
            })
        };
        let mut fleet = SimFleet::open((0..12).map(beside_neighbour).collect(), 25, learns);
        fleet.events_per_stream = 6.0;
        fleet.run(60_000, 600.0, 10_000)
    };
    let (blind, informed) = (run(false), run(true));
    let slow_share = |result: &uneven_sim::SimResult| {
        f64::from(result.sent_in_slow_moment) / f64::from(result.sent.iter().sum::<u32>())
    };
    assert!(slow_share(&informed) < slow_share(&blind));
    assert!(informed.mean_ms() < blind.mean_ms() * 0.97);
    for engine in 0..12 {
        assert!(informed.share(engine) * 12.0 < MAX_SHARE_RATIO);
    }
}

/// Makes a gateway learn that engines take longer, by the samples of many streams.
fn teach(gateway: &mut SimGateway, now: MonoTime, durations: &[f64]) {
    let class = WorkClass {
        service: ServiceName::from("engines"),
        model: Some(ModelName::from(MODEL)),
        is_stream: true,
    };
    for round in 0..200 {
        for (engine, duration) in durations.iter().enumerate() {
            let sample = WorkSample {
                class: &class,
                load: 1,
                work_ms: 40.0 * duration,
            };
            let key = gateway.key(engine);
            let at = now - 200_000 + round * 1_000;
            gateway.speeds.record_work(at, key, sample);
        }
    }
}

/// Load: 68 gateways that have all heard 300 ms ago that one engine is idle and fast while the others
/// are two fifths full. Guards against a herd: each sends its next five requests before it hears
/// anything new.
#[test]
fn stale_reports_of_an_idle_engine_draw_no_herd() {
    const ENGINES: usize = 9;
    let now = MonoTime::from_millis(300_000);
    let durations: Vec<f64> = (0..ENGINES)
        .map(|engine| 1.0 / SPEEDS_OF_B[engine % 3])
        .collect();
    let speed_sum: f64 = durations.iter().map(|duration| 1.0 / duration).sum();
    let mut sent = [0_u32; ENGINES];
    for number in 0..68 {
        let mut gateway = SimGateway::open(roster_of(ENGINES), ENGINES, true);
        teach(&mut gateway, now - 300, &durations);
        for engine in 0..ENGINES {
            let load = if engine == 2 { 0 } else { 13 };
            gateway.record_head(now - 300, engine, load, None, 0);
        }
        for request in 0..5 {
            let plan = stream_plan(now, &format!("r-{number}-{request}"), 300);
            let engine = gateway.choose(now, &plan).expect("an engine");
            gateway.begin(engine, 300);
            sent[engine] += 1;
        }
    }
    let share = f64::from(sent[2]) / f64::from(sent.iter().sum::<u32>());
    let speed_share = SPEEDS_OF_B[2] / speed_sum;
    assert!(
        share < MAX_SHARE_RATIO * speed_share,
        "{share} of the requests for {speed_share} of the speed: {sent:?}"
    );
}

/// Load: 68 gateways that have heard that one engine works four times as fast as usual right now.
/// Guards against a herd towards it: a fast moment is over before the requests arrive.
#[test]
fn a_fast_moment_draws_no_requests() {
    let now = MonoTime::from_millis(10_000);
    let choices = |figure: Option<f64>| -> Vec<Option<usize>> {
        let gateway_choice = |number| {
            let mut gateway = SimGateway::open(roster_of(6), 6, true);
            for engine in 0..6 {
                gateway.record_head(now, engine, 4, figure.filter(|_| engine == 0), 0);
            }
            gateway.choose(now, &stream_plan(now, &format!("r-{number}"), 300))
        };
        (0..68).map(gateway_choice).collect()
    };
    assert_eq!(choices(Some(25.0)), choices(None));
}

/// Guards against a slow engine that counts as an unhealthy one: it serves where it is the only one,
/// and takes requests when the faster ones are full.
#[test]
fn a_slow_engine_is_used_when_the_others_are_full() {
    let now = MonoTime::from_millis(300_000);
    let mut alone = SimGateway::open(roster_of(1), 1, true);
    alone.record_head(now, 0, 0, Some(800.0), 0);
    assert_eq!(alone.choose(now, &stream_plan(now, "r1", 2_400)), Some(0));
    assert!(!alone.loads.is_unreachable(now, alone.key(0)));
    assert!(!alone.loads.is_suspect(now, alone.key(0)));

    let mut pair = SimGateway::open(roster_of(2), 2, true);
    teach(&mut pair, now, &[1.0, 4.0]);
    assert_eq!(pair.choose(now, &stream_plan(now, "r2", 300)), Some(0));
    for _ in 0..64 {
        pair.begin(0, 0);
    }
    assert_eq!(pair.choose(now, &stream_plan(now, "r3", 300)), Some(1));
}

/// Guards against a long prompt that pauses the streams at an engine that cannot read it within the
/// longest pause, while another engine can.
#[test]
fn a_long_prompt_goes_to_an_engine_that_keeps_the_pace() {
    let now = MonoTime::from_millis(10_000);
    let mut gateway = SimGateway::open(roster_of(2), 2, true);
    gateway.record_head(now, 0, 3, Some(400.0), 0);
    gateway.record_head(now, 1, 20, Some(100.0), 0);
    let speed = gateway.speeds.speed(now, gateway.key(0));
    assert!(speed.present.value() > 3.9, "{speed:?}");
    assert_eq!(gateway.choose(now, &stream_plan(now, "r1", 6_000)), Some(1));
    // The slow moment has passed a second later.
    let later = now + 1_000;
    let plan = stream_plan(later, "r2", 100);
    let blind = SimGateway::open(roster_of(2), 2, false);
    assert_eq!(gateway.choose(later, &plan), blind.choose(later, &plan));
}
