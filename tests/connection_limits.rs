//! Limits of the HTTP server on connections that make no progress.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use hyper::body::Incoming;
use hyper::{Request, Response};
use quetzalpin::net::{
    ConnectionLimits, HttpBody, HttpHandler, HttpServer, ServerLimits, full_body,
};

/// Size in bytes of an answer that no kernel buffers whole.
const ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Longest time for a read.
const READ_LIMIT: Duration = Duration::from_secs(10);

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: host\r\n\r\n";

const LARGE_REQUEST: &[u8] = b"GET /large HTTP/1.1\r\nhost: host\r\n\r\n";

const LIMITS: ConnectionLimits = ConnectionLimits {
    max_open: 6,
    max_per_address: 4,
    head_ms: 400,
    unread_ms: 400,
};

struct SizedHandler;

impl HttpHandler for SizedHandler {
    fn handle(
        self: Rc<Self>,
        _peer: SocketAddr,
        request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<HttpBody>> {
        let bytes = match request.uri().path() {
            "/large" => ANSWER_BYTES,
            _ => 2,
        };
        Box::pin(async move { Response::new(full_body(vec![b'x'; bytes])) })
    }
}

/// Runs a case in a thread of its own against a server with low limits.
fn with_server(limits: ConnectionLimits, case: impl FnOnce(SocketAddr) + Send + 'static) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = HttpServer::bind(address).await.expect("a server");
        let server = server.with_limits(ServerLimits {
            header_ms: 15_000,
            connections: limits,
        });
        let serving = server.spawn(Rc::new(SizedHandler)).expect("a server");
        let address = serving.address();
        let running = compio::runtime::spawn_blocking(move || case(address));
        running.await.expect("a passed case");
    });
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream
        .set_read_timeout(Some(READ_LIMIT))
        .expect("an option");
    stream
}

/// Sends a request and returns whether it was answered.
fn is_answered(stream: &mut TcpStream) -> bool {
    let mut answer = [0; 12];
    stream.write_all(REQUEST).is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && answer == *b"HTTP/1.1 200"
}

/// Whether the server closes a connection.
fn is_closed(stream: &mut TcpStream) -> bool {
    match stream.read(&mut [0; 64]) {
        Ok(length) => length == 0,
        Err(error) => error.kind() == ErrorKind::ConnectionReset,
    }
}

/// Guards against a head without end that holds a connection for the whole idle time.
#[test]
fn a_head_that_takes_too_long_ends_its_connection() {
    with_server(LIMITS, |address| {
        let mut slow = connect(address);
        slow.write_all(b"GET / HT").expect("a sent start");
        assert!(is_closed(&mut slow));
        assert!(is_answered(&mut connect(address)));
    });
}

/// Guards against closing a connection between requests at the limit for a head.
#[test]
fn an_idle_connection_is_reused_after_the_time_for_a_head() {
    with_server(LIMITS, |address| {
        let mut stream = connect(address);
        std::thread::sleep(Duration::from_millis(3 * LIMITS.head_ms));
        assert!(is_answered(&mut stream));
        std::thread::sleep(Duration::from_millis(3 * LIMITS.head_ms));
        // The rest of the first answer comes before the second one.
        let mut rest = Vec::new();
        stream.write_all(REQUEST).expect("a sent request");
        while !rest.ends_with(b"xxHTTP/1.1 200") {
            let mut byte = [0];
            stream.read_exact(&mut byte).expect("a second answer");
            rest.push(byte[0]);
            assert!(rest.len() < 4_096);
        }
    });
}

/// Guards against callers that never read, whose answers stay in memory.
#[test]
fn an_answer_that_is_not_read_ends_its_connection() {
    with_server(LIMITS, |address| {
        let mut unread = connect(address);
        unread.write_all(LARGE_REQUEST).expect("a sent request");
        std::thread::sleep(Duration::from_millis(5 * LIMITS.unread_ms));
        let mut answer = Vec::new();
        let read = unread.read_to_end(&mut answer);
        assert!(answer.len() < ANSWER_BYTES, "{read:?}: a whole answer");
    });
}

/// Guards against a caller that reads slowly, but does read, and is cut off.
#[test]
fn an_answer_that_is_read_slowly_is_delivered() {
    with_server(LIMITS, |address| {
        let mut slow = connect(address);
        slow.write_all(LARGE_REQUEST).expect("a sent request");
        let mut read_bytes = 0;
        let mut part = vec![0; ANSWER_BYTES / 16];
        while read_bytes < ANSWER_BYTES {
            std::thread::sleep(Duration::from_millis(LIMITS.unread_ms / 4));
            let length = slow.read(&mut part).expect("a part");
            assert!(length > 0, "ended after {read_bytes} bytes");
            read_bytes += length;
        }
    });
}

/// Guards against silent connections that keep a new caller out.
#[test]
fn the_longest_silent_connection_gives_way_to_a_new_one() {
    with_server(LIMITS, |address| {
        let mut silent: Vec<TcpStream> = (0..LIMITS.max_per_address)
            .map(|_| connect(address))
            .collect();
        std::thread::sleep(Duration::from_millis(100));
        let mut kept = connect(address);
        assert!(is_answered(&mut kept));
        assert!(is_closed(&mut silent[0]));
        assert!(is_answered(&mut silent[1]));
    });
}

/// Guards against a connection with a request that is closed for a new one.
#[test]
fn a_connection_with_a_request_does_not_give_way() {
    let limits = ConnectionLimits {
        max_per_address: 1,
        unread_ms: 15_000,
        ..LIMITS
    };
    with_server(limits, |address| {
        let mut busy = connect(address);
        busy.write_all(LARGE_REQUEST).expect("a sent request");
        std::thread::sleep(Duration::from_millis(200));
        assert!(is_closed(&mut connect(address)));
        let mut answer = vec![0; ANSWER_BYTES];
        busy.read_exact(&mut answer).expect("a whole answer");
    });
}
