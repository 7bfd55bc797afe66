//! Requests to upstreams that send broken, endless or no answers, through real gateways.

use std::path::Path;
use std::time::{Duration, Instant};

use quetzalpin_platform_soak::{
    CallKind, CallOutcome, FleetSize, RawAnswer, RawWorker, SoakCall, SoakFleet, USUAL_PROMPT,
    WorkerKind, call_gateway, encoded, expected_body,
};
use rstest::rstest;

/// Longest time that a test waits for an event.
const EVENT_LIMIT: Duration = Duration::from_secs(30);

/// Time between two checks of a condition.
const POLL: Duration = Duration::from_millis(50);

/// A model that only the worker in trouble has loaded.
const TROUBLED_MODEL: &str = "m7";

/// A model that a sound worker has loaded.
const SOUND_MODEL: &str = "m0";

/// Number of concurrent requests to a worker in trouble.
const CONCURRENT_CALLS: usize = 24;

/// Memory in kilobytes that a gateway may hold while many upstreams are in trouble; the smallest
/// instance has 160 MB.
const MAX_MEMORY_KB: u64 = 80_000;

const SIZE: FleetSize = FleetSize {
    gateways: 1,
    engines: 1,
    plain_workers: 1,
};

/// Runs a case on a fleet with a worker in trouble that the gateway knows.
fn with_trouble<F: Future<Output = ()>>(
    kind: WorkerKind,
    answer: RawAnswer,
    case: impl FnOnce(SoakFleet, RawWorker) -> F,
) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let daemon = Path::new(env!("CARGO_BIN_EXE_quetzalpind"));
        let spawning = SoakFleet::spawn_ready(daemon, SIZE);
        let fleet = spawning.await.expect("a ready fleet");
        let worker = RawWorker::spawn("i-raw", kind, answer)
            .await
            .expect("a worker");
        let store = &fleet.store.state;
        if kind == WorkerKind::Plain {
            // The worker in trouble is then the only one of its service.
            for sound in &fleet.workers {
                if sound.worker.state.kind == WorkerKind::Plain {
                    store.remove("servers", &sound.worker.state.id);
                }
            }
        }
        let entry = worker.entry(&[TROUBLED_MODEL]);
        store.put("servers", &worker.id, encoded(&entry));
        wait_until("the roster's update", || {
            let log = fleet.gateways[0].process.log();
            let is_joined = log.contains("\"upstream joined\",\"upstream\":\"i-raw\"");
            let is_alone = kind == WorkerKind::Engine || log.contains("upstream gone");
            is_joined && is_alone
        })
        .await;
        case(fleet, worker).await;
    });
}

async fn wait_until(event: &str, mut has_happened: impl FnMut() -> bool) {
    let deadline = Instant::now() + EVENT_LIMIT;
    while !has_happened() {
        assert!(Instant::now() < deadline, "{event} did not happen in time");
        compio::time::sleep(POLL).await;
    }
}

fn call(kind: CallKind, model: &str) -> SoakCall {
    SoakCall {
        id: format!("case-{:016x}", fastrand::u64(..)),
        kind,
        model: model.to_owned(),
        events: 5,
        gateway: 0,
        prompt: USUAL_PROMPT.to_owned(),
        resume: None,
    }
}

async fn send(fleet: &SoakFleet, call: &SoakCall) -> CallOutcome {
    call_gateway(fleet.gateways[0].process.address, call).await
}

async fn assert_sound_requests_are_served(fleet: &SoakFleet) {
    let chat = call(CallKind::Chat, SOUND_MODEL);
    let outcome = send(fleet, &chat).await;
    let log = fleet.gateways[0].process.log();
    let lines: Vec<&str> = log.lines().filter(|line| line.contains(&chat.id)).collect();
    let expected = CallOutcome::Answer(expected_body(&chat).into());
    assert_eq!(outcome, expected, "{lines:#?}");
}

#[test]
fn a_stream_lost_before_its_first_event_is_answered() {
    with_trouble(
        WorkerKind::Engine,
        RawAnswer::HeadOnly,
        async |fleet: SoakFleet, worker: RawWorker| {
            let chat = call(CallKind::Chat, TROUBLED_MODEL);
            assert_eq!(send(&fleet, &chat).await, CallOutcome::Status(502));
            assert_eq!(worker.requests(), 1);
        },
    );
}

#[test]
fn events_that_arrived_before_a_loss_are_delivered() {
    with_trouble(
        WorkerKind::Engine,
        RawAnswer::OneEvent,
        async |fleet: SoakFleet, _worker: RawWorker| {
            let chat = call(CallKind::Chat, TROUBLED_MODEL);
            assert_eq!(send(&fleet, &chat).await, CallOutcome::Cut);
        },
    );
}

/// Guards against a broken-off stream that looks complete: an answer with neither a length nor chunks
/// ends with its connection, and only the last event tells whether it was broken off.
#[rstest]
#[case::inside_an_event(RawAnswer::UnframedPartialEvent)]
#[case::before_the_first_event(RawAnswer::UnframedHeadOnly)]
fn an_unframed_stream_that_is_broken_off_does_not_look_complete(#[case] answer: RawAnswer) {
    with_trouble(
        WorkerKind::Engine,
        answer,
        async |fleet: SoakFleet, _worker: RawWorker| {
            let chat = call(CallKind::Chat, TROUBLED_MODEL);
            let outcome = send(&fleet, &chat).await;
            let is_true = matches!(outcome, CallOutcome::Cut | CallOutcome::Status(502));
            assert!(is_true, "{outcome:?}");
        },
    );
}

#[test]
fn an_unframed_stream_that_ends_after_an_event_is_complete() {
    with_trouble(
        WorkerKind::Engine,
        RawAnswer::UnframedEvent,
        async |fleet: SoakFleet, _worker: RawWorker| {
            let chat = call(CallKind::Chat, TROUBLED_MODEL);
            let expected = format!("id: 1\ndata: {}\n\n", chat.id);
            assert_eq!(
                send(&fleet, &chat).await,
                CallOutcome::Answer(expected.into())
            );
        },
    );
}

#[rstest]
#[case::noise(RawAnswer::EndlessNoise)]
#[case::head(RawAnswer::EndlessHead)]
#[case::interim(RawAnswer::EndlessInterim)]
#[case::body(RawAnswer::EndlessBody)]
#[case::events(RawAnswer::EndlessEvents)]
#[case::chunk_extension(RawAnswer::EndlessChunkExtension)]
#[case::trailer(RawAnswer::EndlessTrailer)]
#[case::trickle(RawAnswer::Trickle)]
#[case::silence(RawAnswer::Silence)]
fn a_stream_without_end_is_ended(#[case] answer: RawAnswer) {
    with_trouble(
        WorkerKind::Engine,
        answer,
        async |fleet: SoakFleet, worker: RawWorker| {
            assert_calls_end(&fleet, &worker, &CallKind::Chat).await;
        },
    );
}

#[rstest]
#[case::noise(RawAnswer::EndlessNoise)]
#[case::head(RawAnswer::EndlessHead)]
#[case::interim(RawAnswer::EndlessInterim)]
#[case::body(RawAnswer::EndlessBody)]
#[case::chunk_extension(RawAnswer::EndlessChunkExtension)]
#[case::trailer(RawAnswer::EndlessTrailer)]
#[case::trickle(RawAnswer::Trickle)]
fn a_plain_answer_without_end_is_refused(#[case] answer: RawAnswer) {
    with_trouble(
        WorkerKind::Plain,
        answer,
        async |fleet: SoakFleet, worker: RawWorker| {
            assert_calls_end(&fleet, &worker, &CallKind::Stamp).await;
        },
    );
}

/// Asserts that concurrent calls to the worker in trouble end with a true outcome, that the
/// gateway closes its connections to the worker and holds little memory, and that it goes on
/// serving other requests meanwhile.
async fn assert_calls_end(fleet: &SoakFleet, worker: &RawWorker, kind: &CallKind) {
    let address = fleet.gateways[0].process.address;
    let callers: Vec<_> = (0..CONCURRENT_CALLS)
        .map(|_| {
            let troubled = call(kind.clone(), TROUBLED_MODEL);
            compio::runtime::spawn(async move { call_gateway(address, &troubled).await })
        })
        .collect();
    wait_until("a request at the worker", || worker.requests() > 0).await;
    assert_sound_requests_are_served(fleet).await;
    for caller in callers {
        let outcome = caller.await.expect("an ended call");
        // A request that was sent has an unknown outcome; 503 is for those that were not.
        let is_true = matches!(outcome, CallOutcome::Cut | CallOutcome::Status(502..=504));
        assert!(is_true, "{outcome:?}");
    }
    wait_until("the end of the connections", || worker.open_count() == 0).await;
    let memory_kb = fleet.gateways[0].process.peak_memory_kb();
    let memory_kb = memory_kb.expect("a running gateway");
    assert!(memory_kb < MAX_MEMORY_KB, "{memory_kb} kB");
    assert_sound_requests_are_served(fleet).await;
}

#[test]
fn a_request_without_an_answer_is_refused_before_a_stopping_gateway_exits() {
    with_trouble(
        WorkerKind::Engine,
        RawAnswer::Silence,
        async |mut fleet: SoakFleet, worker: RawWorker| {
            let address = fleet.gateways[0].process.address;
            fleet.gateways[0].stop();
            // The load balancer still sends requests for two seconds.
            compio::time::sleep(Duration::from_millis(1_500)).await;
            let chat = call(CallKind::Chat, TROUBLED_MODEL);
            let outcome = call_gateway(address, &chat).await;
            assert_eq!(worker.requests(), 1);
            assert!(
                matches!(outcome, CallOutcome::Status(502 | 504)),
                "{outcome:?}"
            );
        },
    );
}

/// Guards against REFUSED and TWICE: a worker writes the refusal of an earlier request once more. The
/// caller is told that its request did not run, or the request runs at a second worker.
#[test]
fn a_refusal_of_another_request_does_not_say_that_this_one_did_not_run() {
    with_trouble(
        WorkerKind::Plain,
        RawAnswer::EarlierRefusal,
        async |fleet: SoakFleet, worker: RawWorker| {
            let stamp = call(CallKind::Stamp, TROUBLED_MODEL);
            assert_eq!(send(&fleet, &stamp).await, CallOutcome::Status(502));
            assert_eq!(worker.requests(), 1);
        },
    );
}

/// Guards against ORDER and MIXED: a stream has begun and broke off, and what the next worker answers
/// is no part of it. The caller finds it in the stream, or the stream ends as if it were complete.
#[rstest]
#[case::a_failure(RawAnswer::ErrorText)]
#[case::an_event_without_an_id(RawAnswer::EventWithoutId)]
fn a_stream_does_not_go_on_with_what_is_no_part_of_it(#[case] next: RawAnswer) {
    with_trouble(
        WorkerKind::Engine,
        RawAnswer::OneEvent,
        async |fleet: SoakFleet, worker: RawWorker| {
            let other = RawWorker::spawn("i-next", WorkerKind::Engine, next)
                .await
                .expect("a worker");
            let mut entry = other.entry(&[TROUBLED_MODEL]);
            // The near worker is chosen first.
            entry["zone"] = "zone-far".into();
            let store = &fleet.store.state;
            store.put("servers", &other.id, encoded(&entry));
            wait_until("the other worker", || {
                let log = fleet.gateways[0].process.log();
                log.contains("\"upstream joined\",\"upstream\":\"i-next\"")
            })
            .await;
            let notes = call(CallKind::Notes, TROUBLED_MODEL);
            assert_eq!(send(&fleet, &notes).await, CallOutcome::Cut);
            assert_eq!((worker.requests(), other.requests()), (1, 1));
        },
    );
}

/// Guards against MIXED and ORDER: a worker stops in the middle of its head and closes. The caller
/// gets a success with an empty body that is framed as whole.
#[rstest]
#[case::stream(WorkerKind::Engine, CallKind::Chat)]
#[case::plain(WorkerKind::Plain, CallKind::Stamp)]
fn a_head_that_is_cut_off_is_no_answer(#[case] worker_kind: WorkerKind, #[case] kind: CallKind) {
    with_trouble(
        worker_kind,
        RawAnswer::PartialHead,
        async |fleet: SoakFleet, worker: RawWorker| {
            let request = call(kind, TROUBLED_MODEL);
            assert_eq!(send(&fleet, &request).await, CallOutcome::Status(502));
            assert_eq!(worker.requests(), 1);
        },
    );
}
