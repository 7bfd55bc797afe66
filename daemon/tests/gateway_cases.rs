//! Requests through real gateways to stand-ins of the platform, with one fault at a time.

use std::path::Path;
use std::time::{Duration, Instant};

use quetzalpin_platform_soak::{
    CallKind, CallOutcome, FleetSize, SoakCall, SoakFleet, StoreFault, USUAL_PROMPT, WorkerKind,
    call_gateway, expected_body,
};

/// Time limit in milliseconds for a gateway to shut down.
const SHUTDOWN_TIMEOUT_MS: u64 = 30_000;

/// Longest time that a test waits for an event.
const EVENT_LIMIT: Duration = Duration::from_secs(30);

/// Milliseconds between two checks of a condition.
const POLL_MS: u64 = 50;

/// A model that no worker has loaded at the start.
const COLD_MODEL: &str = "m9";

/// A model that a worker has loaded at the start.
const LOADED_MODEL: &str = "m0";

/// How long a gateway is paused; longer than its calls to other processes may take.
const PAUSE: Duration = Duration::from_millis(2_500);

/// Number of pauses of each gateway.
const PAUSE_ROUNDS: usize = 4;

/// Number of requests that are sent to a paused gateway.
const QUEUED_CALLS: usize = 24;

const SIZE: FleetSize = FleetSize {
    gateways: 2,
    engines: 2,
    plain_workers: 2,
};

fn with_fleet<F: Future<Output = ()>>(case: impl FnOnce(SoakFleet) -> F) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let daemon = Path::new(env!("CARGO_BIN_EXE_quetzalpind"));
        let spawning = SoakFleet::spawn_ready(daemon, SIZE);
        let fleet = spawning.await.expect("a ready fleet");
        case(fleet).await;
    });
}

fn call(kind: CallKind, model: &str, events: u32) -> SoakCall {
    SoakCall {
        id: format!("case-{:016x}", fastrand::u64(..)),
        kind,
        model: model.to_owned(),
        events,
        gateway: 0,
        prompt: USUAL_PROMPT.to_owned(),
        resume: None,
    }
}

async fn send(fleet: &SoakFleet, gateway: usize, call: &SoakCall) -> CallOutcome {
    call_gateway(fleet.gateways[gateway].process.address, call).await
}

async fn assert_answered(fleet: &SoakFleet, gateway: usize, call: &SoakCall) {
    let outcome = send(fleet, gateway, call).await;
    assert_eq!(outcome, CallOutcome::Answer(expected_body(call).into()));
}

/// Sends new requests until one is answered.
async fn wait_answered(fleet: &SoakFleet, gateway: usize, kind: &CallKind, model: &str) {
    let deadline = Instant::now() + EVENT_LIMIT;
    loop {
        let request = call(kind.clone(), model, 3);
        let outcome = send(fleet, gateway, &request).await;
        if matches!(outcome, CallOutcome::Answer(_)) {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "{kind:?} of {model} ends as {outcome:?}"
        );
        compio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
}

async fn wait_until(event: &str, mut has_happened: impl FnMut() -> bool) {
    let deadline = Instant::now() + EVENT_LIMIT;
    while !has_happened() {
        assert!(Instant::now() < deadline, "{event} did not happen in time");
        compio::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
}

#[test]
fn each_kind_of_request_is_answered_completely() {
    with_fleet(async |fleet: SoakFleet| {
        for gateway in 0..SIZE.gateways {
            assert_answered(&fleet, gateway, &call(CallKind::Chat, LOADED_MODEL, 20)).await;
            assert_answered(&fleet, gateway, &call(CallKind::Notes, "m1", 20)).await;
            assert_answered(&fleet, gateway, &call(CallKind::Stamp, "", 0)).await;
            assert_answered(&fleet, gateway, &call(CallKind::Lookup, "", 0)).await;
        }
        let unknown = call(CallKind::Probe(99), "", 0);
        assert_eq!(send(&fleet, 0, &unknown).await, CallOutcome::Status(404));
        assert!(fleet.audit.violations.borrow().is_empty());
    });
}

#[test]
fn a_cold_model_and_its_adapter_are_loaded_for_a_waiting_request() {
    with_fleet(async |fleet: SoakFleet| {
        wait_answered(&fleet, 0, &CallKind::Notes, COLD_MODEL).await;
        wait_answered(&fleet, 1, &CallKind::Notes, &format!("{COLD_MODEL}/a1")).await;
    });
}

#[test]
fn a_stamp_whose_answer_is_lost_is_not_sent_again() {
    with_fleet(async |fleet: SoakFleet| {
        for worker in &fleet.workers {
            worker.worker.state.lose_answers.set(1);
        }
        let stamp = call(CallKind::Stamp, "", 0);
        assert_eq!(send(&fleet, 0, &stamp).await, CallOutcome::Status(502));
        assert_eq!(fleet.audit.runs(&stamp.id), 1);
    });
}

#[test]
fn a_lookup_whose_answer_is_lost_is_answered_by_another_worker() {
    with_fleet(async |fleet: SoakFleet| {
        let mut workers = fleet.workers.iter().map(|worker| &worker.worker.state);
        let plain_worker = workers.find(|worker| worker.kind == WorkerKind::Plain);
        let plain_worker = plain_worker.expect("a worker of the plain service");
        plain_worker.lose_answers.set(1);
        let mut lookup = call(CallKind::Lookup, "", 0);
        while plain_worker.lose_answers.get() > 0 {
            lookup = call(CallKind::Lookup, "", 0);
            assert_answered(&fleet, 0, &lookup).await;
        }
        assert_eq!(fleet.audit.runs(&lookup.id), 2);
    });
}

#[test]
fn requests_are_served_while_the_store_is_unavailable() {
    with_fleet(async |fleet: SoakFleet| {
        for fault in [StoreFault::Busy, StoreFault::Silent, StoreFault::Reset] {
            fleet.store.state.fault.set(fault);
            assert_answered(&fleet, 0, &call(CallKind::Chat, LOADED_MODEL, 10)).await;
            assert_answered(&fleet, 1, &call(CallKind::Stamp, "", 0)).await;
        }
    });
}

#[test]
fn workers_whose_entries_expired_in_an_outage_are_used_again() {
    with_fleet(async |mut fleet: SoakFleet| {
        fleet.store.state.fault.set(StoreFault::Reset);
        fleet.expire_entries();
        compio::time::sleep(Duration::from_millis(POLL_MS)).await;
        fleet.end_store_fault();
        wait_answered(&fleet, 0, &CallKind::Lookup, "").await;
        wait_answered(&fleet, 1, &CallKind::Chat, LOADED_MODEL).await;
    });
}

#[test]
fn a_configuration_comes_into_force_after_the_store_discards_its_history() {
    with_fleet(async |fleet: SoakFleet| {
        fleet.change_catalog();
        fleet.store.state.rows.borrow_mut().compact_history();
        fleet.change_catalog();
        for gateway in 0..SIZE.gateways {
            wait_answered(&fleet, gateway, &CallKind::Probe(3), "").await;
            assert_answered(&fleet, gateway, &call(CallKind::Probe(2), "", 0)).await;
        }
    });
}

#[test]
fn a_shutdown_waits_for_an_open_stream() {
    with_fleet(async |mut fleet: SoakFleet| {
        let stream = call(CallKind::Chat, LOADED_MODEL, 100);
        let address = fleet.gateways[0].process.address;
        let sent = stream.clone();
        let streaming = compio::runtime::spawn(async move { call_gateway(address, &sent).await });
        wait_until("the stream's run", || fleet.audit.runs(&stream.id) > 0).await;
        fleet.gateways[0].stop();
        let outcome = streaming.await.expect("an ended call");
        assert_eq!(outcome, CallOutcome::Answer(expected_body(&stream).into()));
        let status = fleet.gateways[0].process.wait(SHUTDOWN_TIMEOUT_MS).await;
        assert!(status.is_some_and(|status| status.success()), "{status:?}");
    });
}

#[test]
fn a_hangup_signal_does_not_stop_the_gateway() {
    with_fleet(async |mut fleet: SoakFleet| {
        fleet.gateways[0].process.hang_up();
        assert_answered(&fleet, 0, &call(CallKind::Chat, LOADED_MODEL, 20)).await;
        let ended = fleet.gateways[0].process.try_wait();
        assert!(ended.is_none(), "{ended:?}");
    });
}

#[test]
fn a_run_ends_when_its_caller_disconnects() {
    with_fleet(async |fleet: SoakFleet| {
        let stream = call(CallKind::Chat, LOADED_MODEL, 5_000);
        let address = fleet.gateways[0].process.address;
        let sent = stream.clone();
        let streaming = compio::runtime::spawn(async move { call_gateway(address, &sent).await });
        wait_until("the stream's run", || fleet.audit.runs(&stream.id) > 0).await;
        drop(streaming);
        wait_until("the end of the run", || {
            let workers = fleet.workers.iter();
            workers
                .map(|worker| worker.worker.state.running())
                .sum::<u32>()
                == 0
        })
        .await;
    });
}

#[test]
fn another_gateway_plans_after_the_planner_is_killed() {
    with_fleet(async |mut fleet: SoakFleet| {
        let planner = fleet
            .gateways
            .iter()
            .position(|gateway| gateway.process.log().contains("planning begun"))
            .expect("a planner");
        fleet.gateways[planner].kill();
        wait_answered(&fleet, 1 - planner, &CallKind::Notes, COLD_MODEL).await;
        let orders = fleet
            .workers
            .iter()
            .map(|worker| worker.worker.state.orders.borrow());
        let violations: Vec<String> = orders.flat_map(|audit| audit.violations.clone()).collect();
        assert!(violations.is_empty(), "{violations:?}");
    });
}

#[test]
fn a_worker_that_restarts_under_its_old_id_is_used() {
    with_fleet(async |fleet: SoakFleet| {
        for worker in &fleet.workers {
            worker.worker.state.crash();
            worker.proxy.close_connections();
            worker.worker.state.is_down.set(false);
        }
        fleet.send_heartbeats();
        wait_answered(&fleet, 0, &CallKind::Chat, LOADED_MODEL).await;
        wait_answered(&fleet, 1, &CallKind::Stamp, "").await;
    });
}

#[test]
fn a_resumable_stream_goes_on_at_another_worker() {
    with_fleet(async |mut fleet: SoakFleet| {
        let models = vec![LOADED_MODEL.to_owned()];
        let spawning = fleet.spawn_worker(WorkerKind::Engine, models);
        let worker = spawning.await.expect("a worker");
        fleet.workers.push(worker);
        fleet.send_heartbeats();
        let log = || fleet.gateways[0].process.log();
        let joined = format!("\"upstream\":\"i-{}\"", SIZE.engines + SIZE.plain_workers);
        wait_until("the roster's update", || log().contains(&joined)).await;
        let stream = call(CallKind::Notes, LOADED_MODEL, 100);
        let address = fleet.gateways[0].process.address;
        let sent = stream.clone();
        let streaming = compio::runtime::spawn(async move { call_gateway(address, &sent).await });
        let mut workers = fleet.workers.iter().map(|worker| &worker.worker.state);
        wait_until("the stream's run", || fleet.audit.runs(&stream.id) > 0).await;
        let running = workers.find(|worker| worker.running() > 0);
        running.expect("the worker that runs the stream").crash();
        let outcome = streaming.await.expect("an ended call");
        assert_eq!(outcome, CallOutcome::Answer(expected_body(&stream).into()));
        assert_eq!(fleet.audit.runs(&stream.id), 2);
    });
}

#[test]
fn a_stream_that_may_not_be_resumed_is_cut_when_its_worker_crashes() {
    with_fleet(async |fleet: SoakFleet| {
        let stream = call(CallKind::Chat, LOADED_MODEL, 100);
        let address = fleet.gateways[0].process.address;
        let sent = stream.clone();
        let streaming = compio::runtime::spawn(async move { call_gateway(address, &sent).await });
        wait_until("the stream's run", || fleet.audit.runs(&stream.id) > 0).await;
        fleet.workers[0].worker.state.crash();
        let outcome = streaming.await.expect("an ended call");
        assert!(
            matches!(outcome, CallOutcome::Cut | CallOutcome::Status(502)),
            "{outcome:?}"
        );
        assert_eq!(fleet.audit.runs(&stream.id), 1);
    });
}

#[test]
fn requests_that_queue_at_a_paused_gateway_are_answered() {
    with_fleet(async |fleet: SoakFleet| {
        for _round in 0..PAUSE_ROUNDS {
            for gateway in 0..SIZE.gateways {
                fleet.gateways[gateway].process.pause();
                let address = fleet.gateways[gateway].process.address;
                let queued: Vec<_> = (0..QUEUED_CALLS)
                    .map(|_| {
                        let lookup = call(CallKind::Lookup, "", 0);
                        compio::runtime::spawn(async move {
                            (call_gateway(address, &lookup).await, lookup)
                        })
                    })
                    .collect();
                compio::time::sleep(PAUSE).await;
                fleet.gateways[gateway].process.resume();
                for caller in queued {
                    let (outcome, lookup) = caller.await.expect("an ended call");
                    assert_eq!(
                        outcome,
                        CallOutcome::Answer(expected_body(&lookup).into()),
                        "gateway {gateway}: {}",
                        fleet.gateways[gateway].process.log()
                    );
                }
            }
        }
    });
}
