//! Learned and reported speeds of upstreams.

use quetzalpin::fleet::{UpstreamKey, UpstreamRoster};
use quetzalpin::prelude::*;
use quetzalpin::upstream_speed::{
    DurationFactor, DurationFigure, PaceMeter, SpeedBoard, SpeedReport, SpeedTracker, WorkClass,
    WorkSample,
};
use rstest::rstest;
use slotmap::SlotMap;

const SERVICE: &str = "engines";

fn keys(count: usize) -> Vec<UpstreamKey> {
    let mut slots: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
    (0..count).map(|_| slots.insert(())).collect()
}

fn class(model: usize) -> WorkClass {
    WorkClass {
        service: ServiceName::from(SERVICE),
        model: Some(ModelName::from(format!("m{model}").as_str())),
        is_stream: true,
    }
}

/// Records one sample per second.
fn learn(tracker: &mut SpeedTracker, second: u64, key: UpstreamKey, sample: (usize, u32, f64)) {
    let (model, load, work_ms) = sample;
    let class = class(model);
    let sample = WorkSample {
        class: &class,
        load,
        work_ms,
    };
    tracker.record_work(MonoTime::from_millis(second * 1_000), key, sample);
}

fn lasting(tracker: &SpeedTracker, key: UpstreamKey) -> f64 {
    let now = MonoTime::from_millis(10_000_000);
    tracker.speed(now, key).lasting.value()
}

/// Guards against a model's own pace that counts as the speed of the upstreams that run it: here one
/// of two equal upstreams mostly runs a model that takes 9 times as long.
#[test]
fn the_pace_of_a_model_is_not_the_speed_of_its_upstream() {
    let keys = keys(3);
    let mut tracker = SpeedTracker::open();
    for second in 0..300 {
        let slow_model = usize::from(second % 10 != 0);
        let time = [20.0, 180.0];
        learn(
            &mut tracker,
            second,
            keys[0],
            (slow_model, 3, time[slow_model]),
        );
        learn(&mut tracker, second, keys[1], (0, 3, time[0]));
        learn(&mut tracker, second, keys[2], (1, 3, time[1]));
    }
    for key in keys {
        assert!((lasting(&tracker, key) - 1.0).abs() < f64::EPSILON);
    }
}

/// Guards against a batch that counts as slowness: the busy upstream takes as much longer for each
/// event as its batch explains.
#[test]
fn a_large_batch_is_not_slowness() {
    let keys = keys(3);
    let mut tracker = SpeedTracker::open();
    let mut random = fastrand::Rng::with_seed(3);
    for second in 0..600 {
        for (number, key) in keys.iter().enumerate() {
            let is_busy = random.usize(..10) < [8, 2, 2][number];
            let load = if is_busy { 20 } else { 2 };
            let work_ms = 20.0 * (1.0 + 0.06 * f64::from(load));
            learn(&mut tracker, second, *key, (0, load, work_ms));
        }
    }
    for key in keys {
        assert!((lasting(&tracker, key) - 1.0).abs() < f64::EPSILON);
    }
}

/// Guards against a lasting difference that is not found: engines at 0.7, 0.7 and 1.7 of the usual
/// speed, which share some models.
#[test]
fn lasting_speeds_are_learned() {
    let keys = keys(3);
    let mut tracker = SpeedTracker::open();
    for second in 0..200 {
        for (key, speed) in keys.iter().zip([0.7, 0.7, 1.7]) {
            let model = usize::try_from(second % 3).expect("a small number");
            let usual_ms = [20.0, 60.0, 180.0][model];
            learn(&mut tracker, second, *key, (model, 2, usual_ms / speed));
        }
    }
    assert!((lasting(&tracker, keys[0]) - 1.0).abs() < f64::EPSILON);
    assert!((lasting(&tracker, keys[1]) - 1.0).abs() < f64::EPSILON);
    let fast = lasting(&tracker, keys[2]);
    assert!((0.35..0.55).contains(&fast), "{fast}");
    assert_eq!(tracker.uneven().count(), 1);
}

/// Guards against a few samples that swing the choice: one stream with a pause of three seconds.
#[test]
fn few_samples_change_nothing() {
    let keys = keys(2);
    let mut tracker = SpeedTracker::open();
    for second in 0..30 {
        learn(&mut tracker, second, keys[0], (0, 2, 20.0));
    }
    learn(&mut tracker, 31, keys[1], (0, 2, 3_000.0));
    learn(&mut tracker, 32, keys[0], (0, 2, 20.0));
    assert_eq!(lasting(&tracker, keys[1]).to_bits(), 1.0_f64.to_bits());
}

/// Guards against a report that counts after its moment: it decays within a second.
#[test]
fn a_reported_slow_moment_decays_within_a_second() {
    let key = keys(1)[0];
    let mut tracker = SpeedTracker::open();
    let at = MonoTime::from_millis(5_000);
    let figure = DurationFigure::of_percent(Some(250.0));
    let service = ServiceName::from(SERVICE);
    assert!(!tracker.record_figure(at, key, &service, Some(figure)));
    let present = |ms| tracker.speed(at + ms, key).present.value();
    assert!(present(0) > 2.4);
    assert!(present(500) < present(0) && present(500) > 1.25);
    assert!((present(1_000) - 1.0).abs() < f64::EPSILON);
}

/// Guards against a figure that counts twice: an upstream that always reports 170 is lastingly slow,
/// which its work shows, and a neighbour beside it still counts.
#[test]
fn a_figure_that_never_changes_becomes_the_usual_one() {
    let key = keys(1)[0];
    let mut tracker = SpeedTracker::open();
    let service = ServiceName::from(SERVICE);
    let mut now = MonoTime::from_millis(1_000);
    for step in 0..600 {
        now = now + 100;
        let percent = if step % 20 < 3 { 425.0 } else { 170.0 };
        let figure = DurationFigure::of_percent(Some(percent));
        tracker.record_figure(now, key, &service, Some(figure));
    }
    assert!((tracker.speed(now, key).present.value() - 1.0).abs() < f64::EPSILON);
    let figure = DurationFigure::of_percent(Some(425.0));
    tracker.record_figure(now + 1, key, &service, Some(figure));
    assert!(tracker.speed(now + 1, key).present.value() > 2.0);
}

#[rstest]
#[case::zero(Some(0.0), None)]
#[case::negative(Some(-250.0), None)]
#[case::text(None, None)]
#[case::not_a_number(Some(f64::NAN), None)]
#[case::infinite(Some(f64::INFINITY), None)]
#[case::huge(Some(1e300), Some(8.0))]
#[case::tiny(Some(1e-300), Some(0.25))]
fn odd_figures_have_a_bounded_effect(#[case] percent: Option<f64>, #[case] factor: Option<f64>) {
    let figure = DurationFigure::of_percent(percent);
    assert_eq!(figure.factor().map(DurationFactor::value), factor);
    let key = keys(1)[0];
    let mut tracker = SpeedTracker::open();
    let now = MonoTime::from_millis(1_000);
    let service = ServiceName::from(SERVICE);
    assert!(tracker.record_figure(now, key, &service, Some(figure)));
    let present = tracker.speed(now, key).present.value();
    assert!((1.0..=8.0).contains(&present));
    // One log line for many odd figures.
    assert_eq!(tracker.take_odd_figures(now), Some(1));
    assert!(tracker.record_figure(now + 1, key, &service, Some(figure)));
    assert_eq!(tracker.take_odd_figures(now + 1), None);
    assert_eq!(tracker.take_odd_figures(now + 20_000), Some(1));
}

/// A figure that is missing now and then is counted, and the last one decays as usual. An upstream
/// that never sends one is sound.
#[test]
fn a_missing_figure_is_odd_only_after_one_that_was_sent() {
    let key = keys(1)[0];
    let mut tracker = SpeedTracker::open();
    let now = MonoTime::from_millis(1_000);
    let service = ServiceName::from(SERVICE);
    assert!(!tracker.record_figure(now, key, &service, None));
    let figure = DurationFigure::of_percent(Some(200.0));
    tracker.record_figure(now, key, &service, Some(figure));
    assert!(tracker.record_figure(now + 100, key, &service, None));
    assert!(tracker.speed(now + 100, key).present.value() > 1.5);
}

/// Guards against a caller that reads slowly and makes its upstream look slow.
#[test]
fn a_slow_reader_is_no_slow_upstream() {
    let mut meter = PaceMeter::default();
    let mut slow = PaceMeter::default();
    let mut sample = None;
    for step in 1..=20 {
        let now = MonoTime::from_millis(step * 100);
        sample = sample.or(meter.record_events(now - 100, now, 1));
        assert_eq!(slow.record_events(now - 5, now, 1), None);
    }
    assert_eq!(sample, Some(100.0));
}

/// Guards against state that grows with upstreams that have left.
#[test]
fn removed_upstreams_are_forgotten() {
    let keys = keys(2);
    let mut tracker = SpeedTracker::open();
    let roster = UpstreamRoster::open();
    for second in 0..200 {
        learn(&mut tracker, second, keys[0], (0, 2, 20.0));
        learn(&mut tracker, second, keys[1], (0, 2, 90.0));
    }
    assert!(tracker.uneven().count() > 0);
    tracker.retain(|key| roster.get(key).is_some());
    assert_eq!(tracker.uneven().count(), 0);
}

/// Guards against a gateway that is wrong by itself and moves the planner: a quarter of the gateways
/// must speak of an upstream, and the median of what they say counts.
#[test]
fn one_gateway_alone_does_not_decide_on_a_speed() {
    let mut board = SpeedBoard::open();
    let now = MonoTime::from_millis(1_000);
    let slow = UpstreamId::from("i-slow");
    let rumoured = UpstreamId::from("i-rumoured");
    for number in 0..12 {
        let entry = InstanceName::from(format!("gateway-{number}").as_str());
        let mut reports = Vec::new();
        if number < 5 {
            let duration = [2.0, 2.1, 2.2, 2.3, 8.0][number];
            let duration = DurationFactor::clamped(duration);
            reports.push(SpeedReport::of(slow.clone(), duration));
        }
        if number == 0 {
            reports.push(SpeedReport::of(
                rumoured.clone(),
                DurationFactor::clamped(8.0),
            ));
        }
        assert!(board.record(now, &entry, reports.clone()));
        assert!(!board.record(now, &entry, reports));
    }
    let durations = board.durations();
    assert_eq!(durations.get(&slow), Some(&DurationFactor::clamped(2.2)));
    assert_eq!(durations.get(&rumoured), None);
}

/// Guards against a gateway that has ended and whose reports count on.
#[test]
fn reports_of_an_ended_gateway_expire() {
    let mut board = SpeedBoard::open();
    let now = MonoTime::from_millis(1_000);
    let report = SpeedReport::of(UpstreamId::from("i-1"), DurationFactor::clamped(2.0));
    board.record(now, &InstanceName::from("ended"), vec![report]);
    assert!(board.record(now + 6_000, &InstanceName::from("live"), Vec::new()));
    assert!(board.durations().is_empty());
}
