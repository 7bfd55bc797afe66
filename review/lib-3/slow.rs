//! Case: clients that aren't controlled send bodies piece by piece on all connections that a gateway takes.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::FromRawFd;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Gateway, HEARTBEAT_MS, HOST, Record, catalog, plain_entry, route, unix_ms};
use crate::http;
use crate::store::Store;

/// Memory of the machine in megabytes, as on the sheet.
const MEMORY_MB: u32 = 260;

/// Clients of the crowd, each with one body at a time, and threads that play them.
const CLIENTS: usize = 3_000;
const THREADS: usize = 10;

/// Addresses that the crowd comes from: 127.0.0.2 and the next ones. Ordinary clients have 127.0.0.1.
const ADDRESSES: usize = 8;

/// Bytes of a piece; each body gets one a second.
const PIECE_BYTES: usize = 640;

/// Milliseconds before a client that was turned away comes again.
const AGAIN_MS: u64 = 100;

/// Time for which ordinary requests are sent, beginning some time after the crowd.
const LASTS: Duration = Duration::from_secs(30);
const HEAD_START: Duration = Duration::from_secs(4);

/// Longest time without an answer to any ordinary request; each of them waits for 3 s.
const LONGEST_GAP: Duration = Duration::from_secs(10);

/// An IPv4 address as the system's C library takes it.
#[repr(C)]
struct RawAddress {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(family: i32, kind: i32, protocol: i32) -> i32;
    fn bind(socket: i32, address: *const RawAddress, length: u32) -> i32;
    fn connect(socket: i32, address: *const RawAddress, length: u32) -> i32;
}

/// Connects from a loopback address.
fn connect_from(ip: [u8; 4], to: SocketAddr) -> Result<TcpStream> {
    const INET: i32 = 2;
    const STREAM: i32 = 1;
    const LENGTH: u32 = 16;
    let raw = |ip, port: u16| RawAddress {
        family: 2,
        port: port.to_be_bytes(),
        ip,
        zero: [0; 8],
    };
    let (own, other) = (raw(ip, 0), raw([127, 0, 0, 1], to.port()));
    // The descriptor belongs to the stream from here on; the addresses live until the calls have returned.
    unsafe {
        let fd = socket(INET, STREAM, 0);
        if fd < 0 {
            return Err(Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let is_bound = bind(fd, &raw const own, LENGTH) == 0;
        if !is_bound || connect(fd, &raw const other, LENGTH) != 0 {
            return Err(Error::last_os_error());
        }
        Ok(stream)
    }
}

struct SlowBody {
    socket: Option<TcpStream>,
    /// When its next piece is due, or its next attempt.
    next_at: Instant,
}

fn begin_body(front: SocketAddr, number: usize) -> Result<TcpStream> {
    let last = u8::try_from(2 + number % ADDRESSES).unwrap_or(2);
    let mut socket = connect_from([127, 0, 0, last], front)?;
    let text = format!(
        "POST /stamp/x HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: crowd-{number:x}\r\n\
         deadline-ms: 20000\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    socket.write_all(text.as_bytes())?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Whether the gateway has closed the connection or answered.
fn is_done(socket: &mut TcpStream) -> bool {
    let mut bytes = [0; 512];
    match socket.read(&mut bytes) {
        Ok(_) => true,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

/// Plays a share of the crowd.
fn run_crowd(front: SocketAddr, first: usize, is_over: &AtomicBool) {
    let piece = format!("{PIECE_BYTES:x}\r\n{}\r\n", "a".repeat(PIECE_BYTES));
    let now = Instant::now();
    let mut bodies: Vec<SlowBody> = (0..CLIENTS / THREADS)
        .map(|_| SlowBody {
            socket: None,
            next_at: now,
        })
        .collect();
    while !is_over.load(Ordering::Relaxed) {
        for (index, body) in bodies.iter_mut().enumerate() {
            let now = Instant::now();
            if body.socket.as_mut().is_some_and(is_done) {
                body.socket = None;
                body.next_at = now;
            }
            if now < body.next_at {
                continue;
            }
            match &mut body.socket {
                Some(socket) => {
                    body.next_at = now + Duration::from_secs(1);
                    if socket.write_all(piece.as_bytes()).is_err() {
                        body.socket = None;
                    }
                }
                None => {
                    body.next_at = now + Duration::from_millis(AGAIN_MS);
                    body.socket = begin_body(front, first + index).ok();
                }
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// Runs the case. Returns the exit status of the script.
pub fn run(record: &Record, scratch: &Path, has_trouble: bool) -> i32 {
    let store = Store::spawn();
    let routes = [
        route("r-lookup", "/lookup/", "idempotent", "wuno96b", false),
        route("r-stamp", "/stamp/", "non_idempotent", "wuno96b", false),
    ];
    store.put("op", "config", &catalog(7, &routes, &["m0"]));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    http::serve(listener, |stream, head, _| {
        let id = head.header("request-id");
        let headers = format!("request-id: {id}\r\nresponse-seal: i-1.7f3a\r\n");
        http::respond(stream, 200, &headers, b"fine")?;
        Ok(true)
    });
    let (listing, born) = (store.clone(), unix_ms());
    thread::spawn(move || {
        for sequence in 1.. {
            let entry = plain_entry(address, "wuno96b", "v1", "ready", sequence, born);
            listing.put("servers", "i-1", &entry);
            thread::sleep(Duration::from_millis(HEARTBEAT_MS));
        }
    });
    let mut gateway = Gateway::open(scratch, "edge-armor-a-1", store.address, MEMORY_MB);
    gateway.start();
    if !gateway.wait_ready(Duration::from_secs(20)) {
        record.write("the gateway did not get ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    let is_over = Arc::new(AtomicBool::new(false));
    if has_trouble {
        for number in 0..THREADS {
            let (front, is_over) = (gateway.front, Arc::clone(&is_over));
            thread::spawn(move || run_crowd(front, number * CLIENTS / THREADS, &is_over));
        }
        thread::sleep(HEAD_START);
    }
    let (mut served, mut asked, mut longest) = (0, 0, Duration::ZERO);
    let began = Instant::now();
    let mut answered_at = began;
    while began.elapsed() < LASTS {
        asked += 1;
        let request = format!(
            "GET /lookup/x HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: ordinary-{asked:x}\r\n\
             deadline-ms: 3000\r\n\r\n"
        );
        let seen = http::call(gateway.front, request.as_bytes(), Duration::from_secs(4));
        longest = longest.max(answered_at.elapsed());
        if seen.status == 200 {
            served += 1;
            answered_at = Instant::now();
        }
        let memory_kb = gateway.memory_kb();
        record.write(format!(
            "ordinary request {asked}: status {} after {} ms; memory {memory_kb} kB",
            seen.status, seen.took_ms
        ));
        thread::sleep(Duration::from_millis(250));
    }
    is_over.store(true, Ordering::Relaxed);
    record.write(format!(
        "ordinary requests served: {served} of {asked}; longest time without an answer: {} ms",
        longest.as_millis()
    ));
    i32::from(longest >= LONGEST_GAP)
}
