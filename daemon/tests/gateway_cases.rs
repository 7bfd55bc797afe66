//! Real gateways among stand-ins of the platform: the way of requests, one fault at a time.

use std::path::Path;
use std::time::{Duration, Instant};

use quetzalpin_platform_soak::{
    CallKind, CallOutcome, FleetSize, SoakCall, SoakFleet, StoreFault, WorkerKind, call_gateway,
    expected_body,
};

/// Milliseconds for a fleet's start.
const READY_MS: u64 = 30_000;

/// Longest time that a case waits for something to happen.
const HAPPEN: Duration = Duration::from_secs(30);

/// Milliseconds between looks.
const LOOK_MS: u64 = 50;

/// A model that no worker holds at the start.
const COLD_MODEL: &str = "m9";

/// A model that a worker holds at the start.
const HELD_MODEL: &str = "m0";

const SHAPE: FleetSize = FleetSize {
    gateways: 2,
    engines: 2,
    plain_workers: 2,
};

fn run<F: Future<Output = ()>>(case: impl FnOnce(SoakFleet) -> F) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let daemon = Path::new(env!("CARGO_BIN_EXE_quetzalpind"));
        let fleet = SoakFleet::spawn(daemon, SHAPE).await.expect("a fleet");
        fleet.wait_ready(READY_MS).await.expect("a ready fleet");
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
    }
}

async fn send(fleet: &SoakFleet, gateway: usize, call: &SoakCall) -> CallOutcome {
    call_gateway(fleet.gateways[gateway].process.address, call).await
}

async fn answered(fleet: &SoakFleet, gateway: usize, call: &SoakCall) {
    let end = send(fleet, gateway, call).await;
    assert_eq!(end, CallOutcome::Answer(expected_body(call).into()));
}

/// Sends fresh requests until one is answered.
async fn answered_soon(fleet: &SoakFleet, gateway: usize, kind: &CallKind, model: &str) {
    let until = Instant::now() + HAPPEN;
    loop {
        let asked = call(kind.clone(), model, 3);
        let end = send(fleet, gateway, &asked).await;
        if matches!(end, CallOutcome::Answer(_)) {
            return;
        }
        assert!(
            Instant::now() < until,
            "{kind:?} of {model} ends as {end:?}"
        );
        compio::time::sleep(Duration::from_millis(LOOK_MS)).await;
    }
}

async fn happens(what: &str, mut has_happened: impl FnMut() -> bool) {
    let until = Instant::now() + HAPPEN;
    while !has_happened() {
        assert!(Instant::now() < until, "{what} never happened");
        compio::time::sleep(Duration::from_millis(LOOK_MS)).await;
    }
}

#[test]
fn each_kind_of_request_is_answered_whole() {
    run(async |fleet: SoakFleet| {
        for gateway in 0..SHAPE.gateways {
            answered(&fleet, gateway, &call(CallKind::Chat, HELD_MODEL, 20)).await;
            answered(&fleet, gateway, &call(CallKind::Notes, "m1", 20)).await;
            answered(&fleet, gateway, &call(CallKind::Stamp, "", 0)).await;
            answered(&fleet, gateway, &call(CallKind::Lookup, "", 0)).await;
        }
        let unknown = call(CallKind::Probe(99), "", 0);
        assert_eq!(send(&fleet, 0, &unknown).await, CallOutcome::Status(404));
        assert!(fleet.audit.violations.borrow().is_empty());
    });
}

#[test]
fn a_cold_model_and_its_adapter_are_brought_for_a_waiting_request() {
    run(async |fleet: SoakFleet| {
        answered_soon(&fleet, 0, &CallKind::Notes, COLD_MODEL).await;
        answered_soon(&fleet, 1, &CallKind::Notes, &format!("{COLD_MODEL}/a1")).await;
    });
}

#[test]
fn a_stamp_whose_answer_is_lost_is_not_sent_again() {
    run(async |fleet: SoakFleet| {
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
    run(async |fleet: SoakFleet| {
        let mut desks = fleet.workers.iter().map(|worker| &worker.worker.state);
        let desk = desks.find(|worker| worker.kind == WorkerKind::Plain);
        let desk = desk.expect("a worker of the plain service");
        desk.lose_answers.set(1);
        let mut lookup = call(CallKind::Lookup, "", 0);
        while desk.lose_answers.get() > 0 {
            lookup = call(CallKind::Lookup, "", 0);
            answered(&fleet, 0, &lookup).await;
        }
        assert_eq!(fleet.audit.runs(&lookup.id), 2);
    });
}

#[test]
fn requests_are_served_while_the_store_is_away() {
    run(async |fleet: SoakFleet| {
        for fault in [StoreFault::Busy, StoreFault::Silent, StoreFault::Reset] {
            fleet.store.state.fault.set(fault);
            answered(&fleet, 0, &call(CallKind::Chat, HELD_MODEL, 10)).await;
            answered(&fleet, 1, &call(CallKind::Stamp, "", 0)).await;
        }
    });
}

#[test]
fn workers_whose_entries_lapsed_in_an_outage_are_used_again() {
    run(async |mut fleet: SoakFleet| {
        fleet.store.state.fault.set(StoreFault::Reset);
        fleet.expire_entries();
        compio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        fleet.end_store_fault();
        answered_soon(&fleet, 0, &CallKind::Lookup, "").await;
        answered_soon(&fleet, 1, &CallKind::Chat, HELD_MODEL).await;
    });
}

#[test]
fn a_configuration_comes_into_force_although_the_history_is_forgotten() {
    run(async |fleet: SoakFleet| {
        fleet.change_catalog();
        fleet.store.state.rows.borrow_mut().compact_history();
        fleet.change_catalog();
        for gateway in 0..SHAPE.gateways {
            answered_soon(&fleet, gateway, &CallKind::Probe(3), "").await;
            answered(&fleet, gateway, &call(CallKind::Probe(2), "", 0)).await;
        }
    });
}

#[test]
fn a_shutdown_lets_an_open_stream_end() {
    run(async |mut fleet: SoakFleet| {
        let stream = call(CallKind::Chat, HELD_MODEL, 100);
        let address = fleet.gateways[0].process.address;
        let sent = stream.clone();
        let streaming = compio::runtime::spawn(async move { call_gateway(address, &sent).await });
        happens("the stream's run", || fleet.audit.runs(&stream.id) > 0).await;
        fleet.gateways[0].stop();
        let end = streaming.await.expect("an ended call");
        assert_eq!(end, CallOutcome::Answer(expected_body(&stream).into()));
        let status = fleet.gateways[0].process.wait(READY_MS).await;
        assert!(status.is_some_and(|status| status.success()), "{status:?}");
    });
}

#[test]
fn a_hang_up_ends_nothing() {
    run(async |mut fleet: SoakFleet| {
        fleet.gateways[0].process.hang_up();
        answered(&fleet, 0, &call(CallKind::Chat, HELD_MODEL, 20)).await;
        let ended = fleet.gateways[0].process.try_wait();
        assert!(ended.is_none(), "{ended:?}");
    });
}

#[test]
fn work_ends_when_its_caller_leaves() {
    run(async |fleet: SoakFleet| {
        let stream = call(CallKind::Chat, HELD_MODEL, 5_000);
        let address = fleet.gateways[0].process.address;
        let sent = stream.clone();
        let streaming = compio::runtime::spawn(async move { call_gateway(address, &sent).await });
        happens("the stream's run", || fleet.audit.runs(&stream.id) > 0).await;
        drop(streaming);
        happens("the end of the work", || {
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
fn another_gateway_plans_when_the_planner_is_gone() {
    run(async |mut fleet: SoakFleet| {
        let planner = fleet
            .gateways
            .iter()
            .position(|gateway| gateway.process.log().contains("planning begun"))
            .expect("a planner");
        fleet.gateways[planner].kill();
        answered_soon(&fleet, 1 - planner, &CallKind::Notes, COLD_MODEL).await;
        let orders = fleet
            .workers
            .iter()
            .map(|worker| worker.worker.state.orders.borrow());
        let broken: Vec<String> = orders.flat_map(|audit| audit.violations.clone()).collect();
        assert!(broken.is_empty(), "{broken:?}");
    });
}

#[test]
fn a_worker_that_crashed_and_is_back_under_its_name_is_used() {
    run(async |fleet: SoakFleet| {
        for worker in &fleet.workers {
            worker.worker.state.crash();
            worker.proxy.cut();
            worker.worker.state.is_down.set(false);
        }
        fleet.send_heartbeats();
        answered_soon(&fleet, 0, &CallKind::Chat, HELD_MODEL).await;
        answered_soon(&fleet, 1, &CallKind::Stamp, "").await;
    });
}
