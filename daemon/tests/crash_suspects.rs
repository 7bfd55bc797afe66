//! Requests and parts of prompts that crash engines, at real gateways.

use std::path::Path;
use std::time::{Duration, Instant};

use quetzalpin_platform_soak::{
    CallKind, CallOutcome, FleetSize, RawAnswer, RawWorker, SoakCall, SoakFleet, USUAL_PROMPT,
    WorkerKind, call_gateway, encoded,
};
use rstest::rstest;

const SIZE: FleetSize = FleetSize {
    gateways: 2,
    engines: 2,
    plain_workers: 1,
};

/// Time limit for an event that a test waits for.
const EVENT_LIMIT: Duration = Duration::from_secs(30);

/// Line that a gateway writes when it begins to hold a suspect back.
const HELD_BACK: &str = "suspect of crashes held back";

/// Line that the planner writes when the table holds its records.
const STORED: &str = "records of crashes stored";

const POLL: Duration = Duration::from_millis(50);

/// A model that a sound engine has loaded.
const SOUND_MODEL: &str = "m0";

/// Models that only the engines in trouble have loaded.
const TROUBLED_MODELS: [&str; 2] = ["m7", "m8"];

/// What crashes each engine that runs it.
#[derive(Debug, Clone, Copy)]
enum Deadly {
    /// A part of a prompt, in requests that differ; the engine ends after the head of its answer.
    Part,
    /// The same, but the engine ends after an event.
    PartInAnswer,
    /// The same, in an answer that ends with its connection.
    PartInUnframedAnswer,
    /// Copies of one request; the engine ends before the head of its answer.
    Request,
}

impl Deadly {
    /// A request that crashes the engine that runs it.
    fn call(self, gateway: usize, model: &str) -> SoakCall {
        let own_part = fastrand::u32(..);
        match self {
            Self::Part | Self::PartInAnswer | Self::PartInUnframedAnswer => {
                stream(gateway, model, &format!("aa:80,dead:30,{own_part:x}:20"))
            }
            Self::Request => SoakCall {
                id: "deadly".to_owned(),
                ..stream(gateway, model, "aa:80,bb:30,cc:20")
            },
        }
    }

    /// Whether the caller gets what it must get.
    const fn is_outcome(self, outcome: &CallOutcome) -> bool {
        match self {
            Self::Part | Self::Request => matches!(outcome, CallOutcome::Status(502)),
            Self::PartInAnswer => matches!(outcome, CallOutcome::Cut),
            // Nothing tells the end of such a stream from the end of its engine.
            Self::PartInUnframedAnswer => matches!(outcome, CallOutcome::Answer(_)),
        }
    }

    /// How an engine answers such a request.
    const fn answer(self) -> RawAnswer {
        match self {
            Self::Part => RawAnswer::CrashAtHead,
            Self::PartInAnswer => RawAnswer::CrashAfterEvent,
            Self::PartInUnframedAnswer => RawAnswer::CrashUnframed,
            Self::Request => RawAnswer::CrashBeforeHead,
        }
    }
}

fn stream(gateway: usize, model: &str, prompt: &str) -> SoakCall {
    SoakCall {
        id: format!("case-{:016x}", fastrand::u64(..)),
        kind: CallKind::Chat,
        model: model.to_owned(),
        events: 3,
        gateway,
        prompt: prompt.to_owned(),
        resume: None,
    }
}

async fn send(fleet: &SoakFleet, call: &SoakCall) -> CallOutcome {
    call_gateway(fleet.gateways[call.gateway].process.address, call).await
}

/// Waits until a gateway has written a line `count` times. A restarted one appends to its log.
async fn wait_for_lines(fleet: &SoakFleet, gateway: usize, text: &str, count: usize) {
    let deadline = Instant::now() + EVENT_LIMIT;
    while fleet.gateways[gateway].process.log().matches(text).count() < count {
        assert!(Instant::now() < deadline, "no line {text} at {gateway}");
        compio::time::sleep(POLL).await;
    }
}

async fn wait_until_answered(fleet: &SoakFleet, gateway: usize) {
    let deadline = Instant::now() + EVENT_LIMIT;
    loop {
        let sound = stream(gateway, SOUND_MODEL, USUAL_PROMPT);
        if matches!(send(fleet, &sound).await, CallOutcome::Answer(_)) {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "gateway {gateway} does not serve"
        );
        compio::time::sleep(POLL).await;
    }
}

async fn assert_held_back(fleet: &SoakFleet, gateway: usize, deadly: Deadly) {
    let call = deadly.call(gateway, SOUND_MODEL);
    assert_eq!(send(fleet, &call).await, CallOutcome::Status(503));
    let sound = stream(gateway, SOUND_MODEL, "aa:80,bb:30,c4:20");
    let outcome = send(fleet, &sound).await;
    assert!(matches!(outcome, CallOutcome::Answer(_)), "{outcome:?}");
}

/// Guards against requests, or requests with one part, that crash engine after engine (BUDGET) because
/// each gateway sees only one of the crashes, or has just started; and against sound requests with the
/// other parts that are refused beside them (LOST).
#[rstest]
#[case::part(Deadly::Part)]
#[case::part_in_answer(Deadly::PartInAnswer)]
#[case::part_in_unframed_answer(Deadly::PartInUnframedAnswer)]
#[case::request(Deadly::Request)]
fn what_crashed_engines_of_two_gateways_is_held_back_at_all(#[case] deadly: Deadly) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let mut fleet = fleet_with_a_held_suspect(deadly).await;
        for gateway in 0..SIZE.gateways {
            assert_held_back(&fleet, gateway, deadly).await;
        }
        fleet.gateways[1].kill();
        let restarted = fleet.gateways[1].start_if_ended();
        restarted.expect("a started gateway");
        wait_until_answered(&fleet, 1).await;
        wait_for_lines(&fleet, 1, HELD_BACK, 2).await;
        assert_held_back(&fleet, 1, deadly).await;
    });
}

/// Guards against engines that crash again after each deployment (BUDGET), because the gateways are
/// restarted one after the other, or all at once, and the one that plans next knows nothing.
#[rstest]
#[case::part(Deadly::Part)]
#[case::part_in_answer(Deadly::PartInAnswer)]
#[case::part_in_unframed_answer(Deadly::PartInUnframedAnswer)]
#[case::request(Deadly::Request)]
fn a_suspect_stays_held_back_after_all_gateways_were_ended(#[case] deadly: Deadly) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let mut fleet = fleet_with_a_held_suspect(deadly).await;
        let deadline = Instant::now() + EVENT_LIMIT;
        while !fleet
            .gateways
            .iter()
            .any(|gateway| gateway.process.log().contains(STORED))
        {
            assert!(Instant::now() < deadline, "the records are not stored");
            compio::time::sleep(POLL).await;
        }
        for gateway in &mut fleet.gateways {
            gateway.kill();
        }
        for gateway in &mut fleet.gateways {
            gateway.start_if_ended().expect("a started gateway");
        }
        for gateway in 0..SIZE.gateways {
            wait_until_answered(&fleet, gateway).await;
            wait_for_lines(&fleet, gateway, HELD_BACK, 2).await;
            assert_held_back(&fleet, gateway, deadly).await;
        }
    });
}

/// Adds a worker in trouble.
async fn spawn_raw(
    fleet: &SoakFleet,
    number: usize,
    kind: WorkerKind,
    answer: RawAnswer,
    models: &[&str],
) -> RawWorker {
    let id = format!("i-raw-{number}");
    let spawning = RawWorker::spawn(&id, kind, answer);
    let worker = spawning.await.expect("a worker");
    let entry = encoded(&worker.entry(models));
    fleet.store.state.put("servers", &id, entry);
    worker
}

/// Waits until all gateways know the workers in trouble.
async fn wait_for_raw(fleet: &SoakFleet) {
    for gateway in 0..SIZE.gateways {
        for number in 0..TROUBLED_MODELS.len() {
            let joined = format!("\"upstream joined\",\"upstream\":\"i-raw-{number}\"");
            wait_for_lines(fleet, gateway, &joined, 1).await;
        }
    }
}

/// A fleet at whose gateways deadly requests have crashed one engine each.
async fn fleet_with_a_held_suspect(deadly: Deadly) -> SoakFleet {
    let daemon = Path::new(env!("CARGO_BIN_EXE_quetzalpind"));
    let spawning = SoakFleet::spawn_ready(daemon, SIZE);
    let fleet = spawning.await.expect("a ready fleet");
    let mut engines = Vec::new();
    for (number, model) in TROUBLED_MODELS.into_iter().enumerate() {
        let (answer, models) = (deadly.answer(), [model]);
        let engine = spawn_raw(&fleet, number, WorkerKind::Engine, answer, &models);
        engines.push(engine.await);
    }
    wait_for_raw(&fleet).await;
    for gateway in 0..SIZE.gateways {
        wait_until_answered(&fleet, gateway).await;
    }
    for (gateway, model) in TROUBLED_MODELS.into_iter().enumerate() {
        let call = deadly.call(gateway, model);
        let outcome = send(&fleet, &call).await;
        assert!(deadly.is_outcome(&outcome), "{outcome:?}");
        assert_eq!(engines[gateway].requests(), 1);
    }
    for gateway in 0..SIZE.gateways {
        wait_for_lines(&fleet, gateway, HELD_BACK, 1).await;
    }
    fleet
}

/// Guards against a request that crashes worker after worker (BUDGET) once a part of its answer is out,
/// where the answer is no stream.
#[test]
fn a_request_that_crashes_workers_in_a_whole_answer_is_held_back_at_all() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let daemon = Path::new(env!("CARGO_BIN_EXE_quetzalpind"));
        let spawning = SoakFleet::spawn_ready(daemon, SIZE);
        let fleet = spawning.await.expect("a ready fleet");
        let sound = fleet
            .workers
            .iter()
            .find(|it| it.worker.state.kind == WorkerKind::Plain);
        let sound_id = sound.expect("a plain worker").worker.state.id.clone();
        fleet.store.state.remove("servers", &sound_id);
        let answer = RawAnswer::CrashInAnswer;
        let _first = spawn_raw(&fleet, 0, WorkerKind::Plain, answer, &[]).await;
        let _second = spawn_raw(&fleet, 1, WorkerKind::Plain, answer, &[]).await;
        wait_for_raw(&fleet).await;
        for gateway in 0..SIZE.gateways {
            wait_for_lines(&fleet, gateway, "\"upstream gone\"", 1).await;
        }
        let deadly = |gateway| SoakCall {
            id: "deadly".to_owned(),
            kind: CallKind::Lookup,
            ..stream(gateway, SOUND_MODEL, USUAL_PROMPT)
        };
        assert_eq!(send(&fleet, &deadly(0)).await, CallOutcome::Status(502));
        fleet.send_heartbeats();
        let joined = format!("\"upstream joined\",\"upstream\":\"{sound_id}\"");
        for gateway in 0..SIZE.gateways {
            wait_for_lines(&fleet, gateway, &joined, 2).await;
            let lookup = SoakCall {
                kind: CallKind::Lookup,
                ..stream(gateway, SOUND_MODEL, USUAL_PROMPT)
            };
            let outcome = send(&fleet, &lookup).await;
            assert!(matches!(outcome, CallOutcome::Answer(_)), "{outcome:?}");
            assert_eq!(
                send(&fleet, &deadly(gateway)).await,
                CallOutcome::Status(503)
            );
        }
    });
}

/// Guards against sound requests that are refused because an engine broke off two answers without
/// having crashed.
#[test]
fn answers_broken_off_by_a_living_engine_hold_no_part_back() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let daemon = Path::new(env!("CARGO_BIN_EXE_quetzalpind"));
        let spawning = SoakFleet::spawn_ready(daemon, SIZE);
        let fleet = spawning.await.expect("a ready fleet");
        let mut engines = Vec::new();
        for (number, model) in TROUBLED_MODELS.into_iter().enumerate() {
            let (kind, answer) = (WorkerKind::Engine, RawAnswer::HeadOnly);
            engines.push(spawn_raw(&fleet, number, kind, answer, &[model]).await);
        }
        wait_for_raw(&fleet).await;
        for (number, model) in TROUBLED_MODELS.into_iter().enumerate() {
            let broken = stream(0, model, &format!("aa:80,dd:30,c{number}:20"));
            assert_eq!(send(&fleet, &broken).await, CallOutcome::Status(502));
            assert_eq!(engines[number].requests(), 1);
        }
        let sound = stream(0, SOUND_MODEL, "aa:80,dd:30,c3:20");
        let outcome = send(&fleet, &sound).await;
        assert!(matches!(outcome, CallOutcome::Answer(_)), "{outcome:?}");
    });
}
