//! Whole answers that are large, and callers that do not read them.

mod limited;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compio::BufResult;
use compio::io::{AsyncReadExt, AsyncWriteExt};
use compio::net::TcpStream;
use limited::{LimitedDaemon, MEMORY_MB, take_turn};
use quetzalpin_platform_soak::{
    FleetConfig, FleetSize, LARGE_ANSWER_BYTES, RawAnswer, RawWorker, SoakFleet, WorkerKind,
    encoded,
};
use rstest::rstest;

const SIZE: FleetSize = FleetSize {
    gateways: 1,
    engines: 1,
    plain_workers: 1,
};

/// Number of callers that do not read their answers: together more than the memory of the process.
const UNREAD_ANSWERS: usize = 60;

/// Time for which the callers do not read.
const UNREAD_TIME: Duration = Duration::from_secs(3);

/// Longest time for an answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);

/// Runs a case on a small gateway whose only plain worker sends a prepared answer.
fn with_worker(answer: RawAnswer, case: impl AsyncFnOnce(SoakFleet)) {
    let _turn = take_turn();
    let daemon = LimitedDaemon::open();
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let fleet = SoakFleet::spawn_ready(&daemon.path, SIZE);
        let fleet = fleet.await.expect("a ready fleet");
        for worker in &fleet.workers {
            let worker = &worker.worker.state;
            if worker.kind == WorkerKind::Plain {
                fleet.store.state.remove("servers", &worker.id);
                let gone = format!("\"upstream gone\",\"upstream\":\"{}\"", worker.id);
                fleet.wait_for_log(&gone, 1).await;
            }
        }
        let spawning = RawWorker::spawn("i-raw", WorkerKind::Plain, answer);
        let worker = spawning.await.expect("a worker");
        let entry = encoded(&worker.entry(&[]));
        fleet.store.state.put("servers", "i-raw", entry);
        let joined = "\"upstream joined\",\"upstream\":\"i-raw\"";
        fleet.wait_for_log(joined, 1).await;
        case(fleet).await;
    });
}

async fn send_lookup(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let request = format!(
        "POST /lookup/x HTTP/1.1\r\nhost: {}\r\nrequest-id: large-{:016x}\r\n\
         connection: close\r\ncontent-length: 0\r\n\r\n",
        FleetConfig::HOST,
        fastrand::u64(..)
    );
    let sending = stream.write_all(request.into_bytes());
    sending.await.0.expect("a sent request");
    stream
}

/// Sends a request and returns the status line and the number of `x` in the body.
async fn read_answer(address: SocketAddr) -> (String, usize) {
    let mut stream = send_lookup(address).await;
    let reading = stream.read_to_end(Vec::new());
    let read = compio::time::timeout(ANSWER_LIMIT, reading).await;
    let Ok(BufResult(_, bytes)) = read else {
        return ("no end of the answer".to_owned(), 0);
    };
    let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    let (head, body) = bytes.split_at(head_end.unwrap_or_default());
    let status = String::from_utf8_lossy(head);
    let status = status.lines().next().unwrap_or_default().to_owned();
    let parts = body.split(|byte| *byte == b'x');
    (status, parts.count() - 1)
}

/// Guards against the loss of work that has been done: a whole answer of more than 256 KB to a request
/// that ran was replaced by 502.
#[rstest]
#[case::with_length(RawAnswer::LargeAnswer)]
#[case::in_chunks(RawAnswer::LargeChunks)]
fn a_large_whole_answer_is_delivered(#[case] answer: RawAnswer) {
    with_worker(answer, async |fleet: SoakFleet| {
        let address = fleet.gateways[0].process.address;
        let (status, body_bytes) = read_answer(address).await;
        assert_eq!(status, "HTTP/1.1 200 OK");
        assert_eq!(body_bytes, LARGE_ANSWER_BYTES);
    });
}

/// Guards against LOST: large answers that nobody reads take a gateway over its memory.
#[rstest]
#[case::with_length(RawAnswer::LargeAnswer)]
#[case::in_chunks(RawAnswer::LargeChunks)]
fn large_answers_that_are_not_read_leave_a_gateway_its_memory(#[case] answer: RawAnswer) {
    with_worker(answer, async |fleet: SoakFleet| {
        let process = &fleet.gateways[0].process;
        let mut callers = Vec::new();
        for _ in 0..UNREAD_ANSWERS {
            callers.push(send_lookup(process.address).await);
        }
        compio::time::sleep(UNREAD_TIME).await;
        let memory_kb = process.peak_memory_kb().expect("a running gateway");
        drop(callers);
        let deadline = Instant::now() + ANSWER_LIMIT;
        while read_answer(process.address).await.1 != LARGE_ANSWER_BYTES {
            assert!(Instant::now() < deadline, "not served; {memory_kb} kB");
        }
        eprintln!("{answer:?}: {memory_kb} kB");
        assert!(memory_kb < MEMORY_MB * 1_000, "{memory_kb} kB");
    });
}
