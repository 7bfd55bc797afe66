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

async fn lookup(fleet: &SoakFleet, number: usize) -> CallOutcome {
    let call = SoakCall {
        id: format!("notice-{number:04}"),
        kind: CallKind::Lookup,
        model: String::new(),
        events: 0,
        gateway: 0,
        prompt: USUAL_PROMPT.to_owned(),
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

/// Sends requests until the worker has got one.
async fn reach(fleet: &SoakFleet, worker: &WorkerStandin) {
    for number in 0..CALLS_TO_REACH_ALL {
        if !worker.arrivals.borrow().is_empty() {
            return;
        }
        lookup(fleet, number).await;
    }
    panic!("no request reached {}", worker.id);
}

/// Guards against DRAIN: an upstream that said in an answer that it leaves gets more requests from
/// the gateway that passed the answer on, because its entry in the list still says that it is ready.
#[test]
fn an_upstream_that_says_that_it_leaves_gets_no_more_requests() {
    with_plain_workers(async |fleet, workers| {
        workers[0].is_leaving.set(true);
        reach(fleet, workers[0]).await;
        let known = workers[0].arrivals.borrow().len();
        for number in 100..140 {
            let outcome = lookup(fleet, number).await;
            assert!(matches!(outcome, CallOutcome::Answer(_)), "{outcome:?}");
        }
        assert_eq!(workers[0].arrivals.borrow().len(), known);
    });
}
