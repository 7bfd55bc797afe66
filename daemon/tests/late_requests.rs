//! Requests that arrive at a gateway late in its shutdown, on connections that were open before.

use std::path::Path;
use std::time::Duration;

use compio::io::{AsyncReadExt, AsyncWriteExt};
use compio::net::TcpStream;
use quetzalpin_platform_soak::{FleetConfig, FleetSize, SoakFleet, USUAL_PROMPT};
use rstest::rstest;

const SIZE: FleetSize = FleetSize {
    gateways: 1,
    engines: 1,
    plain_workers: 1,
};

/// Request ID, which is also the request body.
const ID: &str = "late-request";

/// Time after the signal at which the end of the request is sent; the gateway exits 5.6 s after the
/// signal.
const LATE: Duration = Duration::from_millis(3_300);

/// Time that the plain worker needs for a request, longer than the gateway still lives.
const SLOW_WORK: Duration = Duration::from_secs(5);

/// Time within which the gateway answers a request that it does not pass on.
const ANSWER_LIMIT: Duration = Duration::from_millis(800);

/// A request whose work takes longer than the gateway still lives.
fn request(path: &str) -> String {
    let is_stream = path.starts_with("/chat/") || path.starts_with("/notes/");
    let prompt = format!("model: m0\r\ntoken-counts: 100,300\r\nprompt-prefix: {USUAL_PROMPT}\r\n");
    format!(
        "POST {path} HTTP/1.1\r\nhost: {}\r\nrequest-id: {ID}\r\ndeadline-ms: 15000\r\n\
         {}content-length: {}\r\n\r\n{ID}",
        FleetConfig::HOST,
        if is_stream { prompt.as_str() } else { "" },
        ID.len()
    )
}

/// Guards against LOST: a request that arrives late in a planned shutdown is passed on, and cut when
/// the process exits, or ends with an unknown outcome although it may not be repeated.
#[rstest]
#[case::stream("/chat/x")]
#[case::resumable_stream("/notes/x")]
#[case::non_idempotent_call("/stamp/x")]
#[case::idempotent_call("/lookup/x")]
fn a_request_that_cannot_end_before_the_exit_is_refused_at_once(#[case] path: &str) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let daemon = Path::new(env!("CARGO_BIN_EXE_quetzalpind"));
        let spawning = SoakFleet::spawn_ready(daemon, SIZE);
        let mut fleet = spawning.await.expect("a ready fleet");
        for worker in &fleet.workers {
            worker.worker.state.work_time.set(SLOW_WORK);
        }
        let address = fleet.gateways[0].process.address;
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let request = request(path);
        let (first, last) = request.split_at(request.len() / 2);
        let sent = stream.write_all(first.as_bytes().to_vec()).await;
        sent.0.expect("a sent half");
        fleet.gateways[0].stop();
        compio::time::sleep(LATE).await;
        let sent = stream.write_all(last.as_bytes().to_vec()).await;
        sent.0.expect("a sent request");
        let reading = stream.read_to_end(Vec::new());
        let read = compio::time::timeout(ANSWER_LIMIT, reading).await;
        let read = read.expect("an answer in time");
        let answer = String::from_utf8_lossy(&read.1).into_owned();
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert_eq!(fleet.audit.runs(ID), 0);
    });
}
