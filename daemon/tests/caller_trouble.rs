//! Callers that send requests without end to a real gateway.

use std::path::Path;
use std::time::{Duration, Instant};

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use quetzalpin_platform_soak::{
    CallKind, CallOutcome, FleetSize, SoakCall, SoakFleet, USUAL_PROMPT, call_gateway,
    expected_body,
};
use rstest::rstest;

/// Longest time for which a gateway may read a request without end.
const READ_LIMIT: Duration = Duration::from_secs(30);

/// Number of concurrent callers in trouble.
const CALLERS: usize = 24;

/// Size of a write in bytes.
const WRITE_BYTES: usize = 16 * 1024;

/// Memory in kilobytes that the gateway may hold; the smallest instance has 160 MB.
const MAX_MEMORY_KB: u64 = 80_000;

const SIZE: FleetSize = FleetSize {
    gateways: 1,
    engines: 1,
    plain_workers: 1,
};

/// Number of lines in a head within the limit of 16,384 bytes.
const HEAD_LINES: usize = 120;

/// Part of a request that has no end.
#[derive(Debug, Clone, Copy)]
enum Endless {
    Head,
    Body,
    ChunkExtension,
    Trailer,
}

impl Endless {
    /// The bytes that a caller sends first, and those that it then repeats.
    fn script(self) -> (String, String) {
        let head = "POST /stamp/x HTTP/1.1\r\nhost: soak.example\r\nrequest-id: r1\r\n";
        let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
        let line = "x-more: 1\r\n";
        match self {
            Self::Head => (head.to_owned(), line.repeat(WRITE_BYTES / line.len())),
            Self::Body => (
                chunked,
                format!("{WRITE_BYTES:x}\r\n{}\r\n", "x".repeat(WRITE_BYTES)),
            ),
            Self::ChunkExtension => (format!("{chunked}1;"), "x".repeat(WRITE_BYTES)),
            Self::Trailer => (
                format!("{chunked}1\r\nx\r\n0\r\n"),
                line.repeat(WRITE_BYTES / line.len()),
            ),
        }
    }
}

/// Sends a request until the gateway closes the connection.
async fn send_endlessly(address: std::net::SocketAddr, part: Endless) {
    let (first, repeated) = part.script();
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let mut is_open = stream.write_all(first.into_bytes()).await.0.is_ok();
    while is_open {
        let bytes = repeated.clone().into_bytes();
        is_open = stream.write_all(bytes).await.0.is_ok();
    }
}

#[rstest]
#[case::head(Endless::Head)]
#[case::body(Endless::Body)]
#[case::chunk_extension(Endless::ChunkExtension)]
#[case::trailer(Endless::Trailer)]
fn a_request_without_end_is_ended(#[case] part: Endless) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let daemon = Path::new(env!("CARGO_BIN_EXE_quetzalpind"));
        let spawning = SoakFleet::spawn_ready(daemon, SIZE);
        let fleet = spawning.await.expect("a ready fleet");
        let address = fleet.gateways[0].process.address;
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| compio::runtime::spawn(send_endlessly(address, part)))
            .collect();
        let lookup = SoakCall {
            id: "sound".to_owned(),
            kind: CallKind::Lookup,
            model: String::new(),
            events: 0,
            gateway: 0,
            prompt: USUAL_PROMPT.to_owned(),
            resume: None,
        };
        let outcome = call_gateway(address, &lookup).await;
        assert_eq!(outcome, CallOutcome::Answer(expected_body(&lookup).into()));
        let deadline = Instant::now() + READ_LIMIT;
        for caller in callers {
            let left = deadline.saturating_duration_since(Instant::now());
            let ended = compio::time::timeout(left, caller).await;
            assert!(ended.is_ok(), "the gateway still reads");
        }
        let memory_kb = fleet.gateways[0].process.peak_memory_kb();
        let memory_kb = memory_kb.expect("a running gateway");
        assert!(memory_kb < MAX_MEMORY_KB, "{memory_kb} kB");
        assert_eq!(fleet.audit.runs("r1"), 0);
    });
}

/// Guards against 431 for a head that has many lines and is far smaller than the limit in bytes.
#[test]
fn a_head_of_many_short_lines_is_served() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let daemon = Path::new(env!("CARGO_BIN_EXE_quetzalpind"));
        let spawning = SoakFleet::spawn_ready(daemon, SIZE);
        let fleet = spawning.await.expect("a ready fleet");
        let address = fleet.gateways[0].process.address;
        let lines: Vec<String> = (0..HEAD_LINES)
            .map(|number| format!("x-{number}: 1\r\n"))
            .collect();
        let lines = lines.concat();
        let request = format!(
            "POST /lookup/x HTTP/1.1\r\nhost: soak.example\r\nrequest-id: many-lines\r\n{lines}\
             content-length: 0\r\n\r\n"
        );
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let sending = stream.write_all(request.into_bytes());
        sending.await.0.expect("a sent request");
        let reading = stream.read(Vec::with_capacity(4_096));
        let compio::BufResult(read, bytes) = reading.await;
        read.expect("an answer");
        let answer = String::from_utf8_lossy(&bytes).into_owned();
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    });
}
