//! Request rate limits of upstreams, kept by several gateways together.

use std::path::Path;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use quetzalpin_platform_soak::{
    CallKind, CallOutcome, FleetSize, SoakCall, SoakFleet, USUAL_PROMPT, WorkerKind, call_gateway,
    expected_body,
};

const SIZE: FleetSize = FleetSize {
    gateways: 3,
    engines: 1,
    plain_workers: 1,
};

/// Limit that the only engine names, in requests per second.
const LIMIT_PER_S: f64 = 2.0;

/// Time between two requests of the callers together.
const CALL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of requests, so that the callers go on well past the time from which the limit counts.
const CALLS: usize = 200;

/// Time after the first naming of a limit from which it counts.
const LIMIT_DELAY: Duration = Duration::from_secs(4);

/// Number of requests after which all upstreams have named their limits.
const CALLS_TO_REACH_ALL: usize = 8;

/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests that a limit allows in a window: one and a half times the rate, and five.
fn allowed_requests(per_s: f64) -> usize {
    let rate_share = per_s * WINDOW.as_secs_f64() * 1.5;
    // The share is small and positive.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let rate_share = rate_share as usize;
    rate_share + 5
}

fn busiest_window(arrivals: &[Instant], from: Instant) -> usize {
    let counted: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
    let in_window = |start: &Instant| {
        let end = *start + WINDOW;
        counted
            .iter()
            .filter(|at| **at >= *start && **at < end)
            .count()
    };
    counted.iter().map(in_window).max().unwrap_or(0)
}

/// Guards against LIMIT: an upstream that names a request rate limit gets more requests than that
/// from all gateways together.
#[test]
fn an_upstream_gets_no_more_requests_than_its_limit_from_all_gateways() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let daemon = Path::new(env!("CARGO_BIN_EXE_quetzalpind"));
        let spawning = SoakFleet::spawn_ready(daemon, SIZE);
        let fleet = spawning.await.expect("a ready fleet");
        let engines = fleet.workers.iter().map(|worker| &worker.worker.state);
        let engine = engines
            .into_iter()
            .find(|worker| worker.kind == WorkerKind::Engine)
            .expect("an engine");
        engine.rate_limit.set(Some(LIMIT_PER_S));
        let started_at = Instant::now();
        let calls = (0..CALLS).map(|number| {
            let gateway = number % SIZE.gateways;
            let address = fleet.gateways[gateway].process.address;
            let call = SoakCall {
                id: format!("limit-{number:04}"),
                kind: CallKind::Chat,
                model: "m0".to_owned(),
                events: 2,
                gateway,
                prompt: USUAL_PROMPT.to_owned(),
                resume: None,
            };
            let start_after = CALL_INTERVAL * u32::try_from(number).unwrap_or(u32::MAX);
            async move {
                compio::time::sleep(start_after).await;
                call_gateway(address, &call).await
            }
        });
        let outcomes = join_all(calls).await;
        let arrivals = engine.arrivals.borrow();
        let most = busiest_window(&arrivals, started_at + LIMIT_DELAY);
        let allowed = allowed_requests(LIMIT_PER_S);
        assert!(most <= allowed, "{most} requests in 4 s, {allowed} allowed");
        let is_honest = |outcome: &CallOutcome| {
            matches!(outcome, CallOutcome::Answer(_) | CallOutcome::Status(503))
        };
        let dishonest = outcomes.iter().find(|outcome| !is_honest(outcome));
        assert_eq!(dishonest, None);
    });
}

/// Events of a stream that lasts beyond the time that a request may wait for its first event.
const LONG_STREAM_EVENTS: u32 = 250;

/// Time after which the upstream of a long stream fails.
const STREAM_TIME: Duration = Duration::from_millis(2_500);

fn notes(number: usize, events: u32) -> SoakCall {
    SoakCall {
        id: format!("notes-{number:04}"),
        kind: CallKind::Notes,
        model: "m0".to_owned(),
        events,
        gateway: 0,
        prompt: USUAL_PROMPT.to_owned(),
        resume: None,
    }
}

/// Guards against a stream that is cut although a limited upstream would go on with it in time: the
/// wait for a token counted against the time for the first event, which had long arrived.
#[test]
fn a_stream_goes_on_at_a_limited_upstream_after_its_first_event() {
    let size = FleetSize {
        gateways: 1,
        ..SIZE
    };
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let daemon = Path::new(env!("CARGO_BIN_EXE_quetzalpind"));
        let spawning = SoakFleet::spawn_ready(daemon, size);
        let mut fleet = spawning.await.expect("a ready fleet");
        let address = fleet.gateways[0].process.address;
        let spawning = fleet.spawn_worker(WorkerKind::Engine, vec!["m0".to_owned()]);
        let second = spawning.await.expect("a second engine");
        let second_id = second.worker.state.id.clone();
        fleet.workers.push(second);
        fleet.send_heartbeats();
        let joined = format!("\"upstream joined\",\"upstream\":\"{second_id}\"");
        while !fleet.gateways[0].process.log().contains(&joined) {
            compio::time::sleep(CALL_INTERVAL).await;
        }
        let workers = fleet.workers.iter().map(|worker| &worker.worker.state);
        let engines: Vec<_> = workers
            .filter(|worker| worker.kind == WorkerKind::Engine)
            .collect();
        // Both engines name their limit in an answer.
        for engine in &engines {
            engine.rate_limit.set(Some(LIMIT_PER_S));
        }
        for number in 0..CALLS_TO_REACH_ALL {
            call_gateway(address, &notes(number, 1)).await;
        }
        let long = notes(CALLS, LONG_STREAM_EVENTS);
        let streaming = compio::runtime::spawn({
            let long = long.clone();
            async move { call_gateway(address, &long).await }
        });
        compio::time::sleep(STREAM_TIME).await;
        let failing = engines.iter().find(|engine| engine.running() > 0);
        failing.expect("a running stream").crash();
        let outcome = streaming.await.expect("an ended call");
        assert_eq!(outcome, CallOutcome::Answer(expected_body(&long).into()));
    });
}
