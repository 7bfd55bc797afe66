//! Case: clients that aren't controlled send many bodies in tiny pieces over HTTP/2, and stop short of their
//! end.

use std::io::{Error, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Gateway, HEARTBEAT_MS, HOST, Record, catalog, plain_entry, route, unix_ms};
use crate::http;
use crate::store::Store;

/// Memory of the machine in megabytes, as on the sheet.
const MEMORY_MB: u64 = 260;

/// Connections of the crowd.
const CONNECTIONS: usize = 200;

/// Bodies on each connection: the number of streams that the gateway allows.
const BODIES: u32 = 200;

/// Pieces of one byte that are sent of each body.
const PIECES: usize = 3;

/// Time for which the bodies stay open.
const HELD_FOR: Duration = Duration::from_secs(10);

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap_or(0).to_be_bytes();
    let mut out = length[1..].to_vec();
    out.extend([kind, flags]);
    out.extend(stream.to_be_bytes());
    out.extend(payload);
    out
}

/// A header block of literals without indexing; all texts are shorter than 127 bytes.
fn header_block(list: &[(&str, &str)]) -> Vec<u8> {
    let mut out = Vec::new();
    for (name, value) in list {
        out.push(0);
        for text in [name, value] {
            out.push(u8::try_from(text.len()).unwrap_or(0));
            out.extend(text.bytes());
        }
    }
    out
}

/// Frames of HTTP/2: data, headers, settings, ping.
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const PING: u8 = 6;

/// Opens a connection, begins its bodies and leaves them open. Pings and settings are answered, and no more
/// streams are opened than the server's settings allow.
fn hold_bodies(front: SocketAddr, number: usize, begun: &AtomicU64) -> Result<()> {
    let mut socket = TcpStream::connect_timeout(&front, Duration::from_secs(2))?;
    socket.set_nodelay(true)?;
    socket.set_write_timeout(Some(Duration::from_secs(5)))?;
    socket.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")?;
    socket.write_all(&frame(SETTINGS, 0, 0, &[]))?;
    let mut reader = socket.try_clone()?;
    let mut allowed = u32::MAX;
    // The server's settings come first.
    let (kind, flags, payload) = read_frame(&mut reader)?;
    if kind != SETTINGS || flags != 0 {
        return Err(Error::other("no settings"));
    }
    for setting in payload.chunks_exact(6) {
        let value = u32::from_be_bytes([setting[2], setting[3], setting[4], setting[5]]);
        if setting[..2] == [0, 3] {
            allowed = value;
        }
    }
    socket.write_all(&frame(SETTINGS, 1, 0, &[]))?;
    let mut writer = socket.try_clone()?;
    let answering = thread::spawn(move || {
        while let Ok((kind, flags, payload)) = read_frame(&mut reader) {
            if kind == PING && flags == 0 && writer.write_all(&frame(PING, 1, 0, &payload)).is_err()
            {
                return;
            }
        }
    });
    for body in 0..BODIES.min(allowed) {
        let stream = 1 + 2 * body;
        let id = format!("crowd-{number:x}-{body:x}");
        let block = header_block(&[
            (":method", "POST"),
            (":scheme", "http"),
            (":authority", HOST),
            (":path", "/stamp/x"),
            ("host", HOST),
            ("request-id", &id),
            ("deadline-ms", "20000"),
        ]);
        let mut text = frame(HEADERS, 4, stream, &block);
        for _ in 0..PIECES {
            text.extend(frame(DATA, 0, stream, b"a"));
        }
        socket.write_all(&text)?;
        begun.fetch_add(1, Ordering::Relaxed);
    }
    thread::sleep(HELD_FOR);
    let _ = socket.shutdown(std::net::Shutdown::Both);
    let _ = answering.join();
    Ok(())
}

fn read_frame(reader: &mut TcpStream) -> Result<(u8, u8, Vec<u8>)> {
    let mut head = [0; 9];
    reader.read_exact(&mut head)?;
    let length = u32::from_be_bytes([0, head[0], head[1], head[2]]);
    let mut payload = vec![0; length as usize];
    reader.read_exact(&mut payload)?;
    Ok((head[3], head[4], payload))
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
    let memory_mb = u32::try_from(MEMORY_MB).unwrap_or(0);
    let mut gateway = Gateway::open(scratch, "edge-armor-a-1", store.address, memory_mb);
    gateway.start();
    if !gateway.wait_ready(Duration::from_secs(20)) {
        record.write("the gateway did not get ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    let lookup = |number: usize| {
        let request = format!(
            "GET /lookup/x HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: ordinary-{number:x}\r\n\
             deadline-ms: 3000\r\n\r\n"
        );
        http::call(gateway.front, request.as_bytes(), Duration::from_secs(4)).status
    };
    if lookup(0) != 200 {
        record.write("an ordinary request was not served before the crowd");
        return 2;
    }
    record.write(format!(
        "memory before the crowd: {} kB",
        gateway.memory_kb()
    ));
    let begun = Arc::new(AtomicU64::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    if has_trouble {
        for number in 0..CONNECTIONS {
            let (front, begun, is_over) = (gateway.front, Arc::clone(&begun), Arc::clone(&is_over));
            thread::spawn(move || {
                let _ = hold_bodies(front, number, &begun);
                is_over.store(true, Ordering::Relaxed);
            });
        }
    }
    let limit_kb = MEMORY_MB * 1_024;
    let began = Instant::now();
    let (mut most_kb, mut told_kb, mut served, mut asked) = (0, 0, 0, 0);
    while began.elapsed() < HELD_FOR + Duration::from_secs(4) {
        for _ in 0..10 {
            most_kb = most_kb.max(gateway.memory_kb());
            if most_kb > told_kb + 20_000 {
                told_kb = most_kb;
                let bodies = begun.load(Ordering::Relaxed);
                record.write(format!("{bodies} bodies begun, memory {most_kb} kB"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        asked += 1;
        let status = lookup(asked);
        served += usize::from(status == 200);
        if status != 200 {
            record.write(format!("ordinary request {asked}: status {status}"));
        }
    }
    let has_ended = gateway
        .process
        .as_mut()
        .is_none_or(|process| process.has_ended());
    record.write(format!(
        "{} bodies begun on {CONNECTIONS} connections; most memory {most_kb} kB of {limit_kb}; the process \
         has ended: {has_ended}; ordinary requests served: {served} of {asked}",
        begun.load(Ordering::Relaxed)
    ));
    i32::from(has_ended || most_kb > limit_kb || served == 0)
}
