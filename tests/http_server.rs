//! Shutdown of the HTTP server with connections still in its queue.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use hyper::body::Incoming;
use hyper::{Request, Response};
use quetzalpin::net::{HttpBody, HttpHandler, HttpServer, full_body};

/// Number of connections that are queued while the process is suspended.
const QUEUED_CONNECTIONS: usize = 16;

/// Milliseconds that a drain may take.
const DRAIN_TIMEOUT_MS: u64 = 5_000;

struct HelloHandler;

impl HttpHandler for HelloHandler {
    fn handle(
        self: Rc<Self>,
        _peer: SocketAddr,
        _request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<HttpBody>> {
        Box::pin(async { Response::new(full_body("hello")) })
    }
}

/// A process that was suspended during its shutdown finds connections in the queue of its listener
/// when it resumes. Their requests must be answered.
#[test]
fn queued_connections_are_answered_before_the_listener_closes() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    let (open_connections, callers) = runtime.block_on(async {
        let server = HttpServer::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
        let server_handle = server
            .await
            .expect("a bound server")
            .spawn(Rc::new(HelloHandler));
        let server_handle = server_handle.expect("a serving server");
        let mut callers: Vec<TcpStream> = (0..QUEUED_CONNECTIONS)
            .map(|_| TcpStream::connect(server_handle.address()).expect("a connection"))
            .collect();
        for caller in &mut callers {
            let request = b"GET / HTTP/1.1\r\nHost: host\r\n\r\n";
            caller.write_all(request).expect("a sent request");
        }
        (server_handle.drain(DRAIN_TIMEOUT_MS).await, callers)
    });
    assert_eq!(open_connections, 0);
    for mut caller in callers {
        let mut answer = String::new();
        caller.read_to_string(&mut answer).expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    }
}
