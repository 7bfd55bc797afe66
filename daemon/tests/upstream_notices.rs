//! What upstreams say of themselves in answers: that they leave, or for how long they want no
//! requests.

use std::path::Path;

use quetzalpin_platform_soak::{
    CallKind, CallOutcome, FleetSize, SoakCall, SoakFleet, USUAL_PROMPT, WorkerKind, WorkerStandin,
    call_gateway,
};

const SIZE: FleetSize = FleetSize {
    gateways: 1,
    engines: 1,
    plain_workers: 2,
};

/// Largest number of requests after which each of the workers has got one.
const CALLS_TO_REACH_ALL: usize = 60;

/// Seconds for which a worker wants no requests.
const REFUSE_FOR_S: f64 = 120.0;

async fn lookup(fleet: &SoakFleet, number: usize) -> CallOutcome {
    let call = SoakCall {
        id: format!("notice-{number:04}-{:08x}", fastrand::u32(..)),
        kind: CallKind::Lookup,
        model: String::new(),
        events: 0,
        gateway: 0,
        prompt: USUAL_PROMPT.to_owned(),
        resume: None,
    };
    call_gateway(fleet.gateways[0].process.address, &call).await
}

/// Runs a case on a fleet with two workers of the plain service.
fn with_plain_workers(case: impl AsyncFnOnce(&SoakFleet, &[&WorkerStandin])) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let daemon = Path::new(env!("CARGO_BIN_EXE_quetzalpind"));
        let spawning = SoakFleet::spawn_ready(daemon, SIZE);
        let fleet = spawning.await.expect("a ready fleet");
        let workers: Vec<&WorkerStandin> = fleet
            .workers
            .iter()
            .map(|worker| worker.worker.state.as_ref())
            .filter(|worker| worker.kind == WorkerKind::Plain)
            .collect();
        case(&fleet, &workers).await;
    });
}

/// Sends requests until the worker has got another one.
async fn reach(fleet: &SoakFleet, worker: &WorkerStandin) {
    let known = worker.arrivals.borrow().len();
    for number in 0..CALLS_TO_REACH_ALL {
        if worker.arrivals.borrow().len() > known {
            return;
        }
        lookup(fleet, number).await;
    }
    panic!("no request reached {}", worker.id);
}

/// Asserts that all requests are served, and none by the worker.
async fn assert_others_serve(fleet: &SoakFleet, worker: &WorkerStandin) {
    let known = worker.arrivals.borrow().len();
    for number in 100..140 {
        let outcome = lookup(fleet, number).await;
        assert!(matches!(outcome, CallOutcome::Answer(_)), "{outcome:?}");
    }
    assert_eq!(worker.arrivals.borrow().len(), known);
}

fn arrivals(workers: &[&WorkerStandin]) -> usize {
    let counts = workers.iter().map(|worker| worker.arrivals.borrow().len());
    counts.sum()
}

/// Guards against DRAIN: an upstream that said in an answer that it leaves gets more requests from
/// the gateway that passed the answer on, because its entry in the list still says that it is ready.
#[test]
fn an_upstream_that_says_that_it_leaves_gets_no_more_requests() {
    with_plain_workers(async |fleet, workers| {
        workers[0].is_leaving.set(true);
        reach(fleet, workers[0]).await;
        assert_others_serve(fleet, workers[0]).await;
    });
}

/// Guards against BUDGET: an upstream that answered 503 with `Retry-After` gets requests from the
/// same gateway before that time has passed.
#[test]
fn an_upstream_gets_no_requests_for_the_time_that_its_refusal_names() {
    with_plain_workers(async |fleet, workers| {
        workers[0].refuse_for_s.set(Some(REFUSE_FOR_S));
        reach(fleet, workers[0]).await;
        assert_others_serve(fleet, workers[0]).await;
    });
}

/// Guards against callers that wait in vain: if every upstream of a service wants no requests, a
/// request is refused at once.
#[test]
fn a_request_is_refused_at_once_if_all_upstreams_want_none_for_long() {
    with_plain_workers(async |fleet, workers| {
        for worker in workers {
            worker.refuse_for_s.set(Some(REFUSE_FOR_S));
            reach(fleet, worker).await;
        }
        let known = arrivals(workers);
        assert_eq!(lookup(fleet, 100).await, CallOutcome::Status(503));
        assert_eq!(arrivals(workers), known);
    });
}

/// Guards against BUDGET: an upstream whose entry in the list lapses and comes back gets requests
/// before the time has passed that its refusal named.
#[test]
fn a_refusal_with_a_time_outlives_a_lapse_of_the_entry() {
    with_plain_workers(async |fleet, workers| {
        workers[0].refuse_for_s.set(Some(REFUSE_FOR_S));
        reach(fleet, workers[0]).await;
        let gone = format!("\"upstream gone\",\"upstream\":\"{}\"", workers[0].id);
        let joined = format!("\"upstream joined\",\"upstream\":\"{}\"", workers[0].id);
        fleet.store.state.remove("servers", &workers[0].id);
        fleet.wait_for_log(&gone, 1).await;
        fleet.send_heartbeats();
        fleet.wait_for_log(&joined, 2).await;
        assert_others_serve(fleet, workers[0]).await;
    });
}
