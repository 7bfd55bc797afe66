//! Case: a worker comes back under its id as another software version, and writes its entry a heartbeat later.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::fleet::{
    Gateway, HEARTBEAT_MS, HOST, Process, Record, catalog, free_port, plain_entry, route, unix_ms,
    wait_until,
};
use crate::http;
use crate::store::Store;

const GATEWAYS: usize = 2;
const WORKERS: usize = 4;

/// Events of each stream, and milliseconds between two.
const EVENTS: usize = 30;
const EVENT_MS: u64 = 100;

/// Milliseconds between two new streams.
const STREAM_MS: u64 = 25;

/// Milliseconds for which the worker is down, and for which it lives then.
const DOWN_MS: u64 = 1_200;
const SECOND_LIFE_MS: u64 = 2_000;

/// Streams with events of two versions that the rule allows.
const ALLOWED: usize = 2;

const SERVICE: &str = "wuno96b";

/// Serves as a worker of a version until the process ends.
pub fn run_worker(port: u16, id: &str, version: &str) -> ! {
    let listener = TcpListener::bind(("127.0.0.1", port)).expect("the worker's port");
    let (own_id, version) = (id.to_owned(), version.to_owned());
    http::serve(listener, move |stream, head, _| {
        let expected = head.header("expect-instance");
        if !expected.is_empty() && expected != own_id {
            let headers = format!("instance-id: {own_id}\r\n");
            http::respond(stream, 421, &headers, b"")?;
            return Ok(true);
        }
        let text = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {}\r\nresponse-seal: {own_id}.7f3a\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            head.header("request-id")
        );
        stream.write_all(text.as_bytes())?;
        let after = head.header("last-event-id").parse().unwrap_or(0);
        for number in after + 1..=EVENTS {
            thread::sleep(Duration::from_millis(EVENT_MS));
            let event = format!("id: {number}\ndata: {version} {own_id}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    });
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

fn spawn_process(port: u16, id: &str, version: &str) -> Child {
    Command::new(std::env::current_exe().expect("a program"))
        .args(["reader", &port.to_string(), id, version])
        .stdin(Stdio::null())
        .spawn()
        .expect("a worker")
}

/// Writes the entry of one start of a worker every heartbeat until it is over.
fn register(
    store: &Store,
    id: &str,
    port: u16,
    version: &'static str,
    born: u128,
    first_ms: u64,
) -> Arc<AtomicBool> {
    let is_over = Arc::new(AtomicBool::new(false));
    let (store, id, ends) = (store.clone(), id.to_owned(), Arc::clone(&is_over));
    thread::spawn(move || {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        thread::sleep(Duration::from_millis(first_ms));
        for sequence in 1.. {
            if ends.load(Ordering::Relaxed) {
                return;
            }
            let entry = plain_entry(address, SERVICE, version, "ready", sequence, born);
            store.put("servers", &id, &entry);
            thread::sleep(Duration::from_millis(HEARTBEAT_MS));
        }
    });
    is_over
}

/// Versions of the events of an answer, in order.
fn versions_of(body: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(body).into_owned();
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    data.map(str::to_owned).collect()
}

/// Runs the case. Returns the exit status of the script.
pub fn run(record: &Record, scratch: &Path, has_trouble: bool) -> i32 {
    let store = Store::spawn();
    let routes = [route("r-read", "/read/", "streaming", SERVICE, true)];
    store.put("op", "config", &catalog(7, &routes, &["m0"]));
    let ports: Vec<u16> = (0..WORKERS).map(|_| free_port()).collect();
    let ids: Vec<String> = (0..WORKERS).map(|number| format!("i-{number}")).collect();
    let mut processes = Vec::new();
    let mut registrations = Vec::new();
    for (id, port) in ids.iter().zip(&ports) {
        processes.push(Process {
            child: spawn_process(*port, id, "v1"),
        });
        registrations.push(register(&store, id, *port, "v1", unix_ms(), 0));
    }
    let are_up = || {
        ports
            .iter()
            .all(|port| std::net::TcpStream::connect(("127.0.0.1", *port)).is_ok())
    };
    if !wait_until(Duration::from_secs(5), are_up) {
        record.write("the workers did not start");
        return 2;
    }
    let mut gateways: Vec<Gateway> = (1..=GATEWAYS)
        .map(|number| {
            Gateway::open(
                scratch,
                &format!("edge-armor-a-{number}"),
                store.address,
                260,
            )
        })
        .collect();
    for gateway in &mut gateways {
        gateway.start();
    }
    for gateway in &gateways {
        if !gateway.wait_ready(Duration::from_secs(20)) {
            record.write("a gateway did not get ready");
            return 2;
        }
    }
    thread::sleep(Duration::from_secs(5));
    if has_trouble {
        processes[0].kill();
        registrations[0].store(true, Ordering::Relaxed);
        record.write(format!("{} of v1 is killed", ids[0]));
        thread::sleep(Duration::from_millis(DOWN_MS));
        processes[0].child = spawn_process(ports[0], &ids[0], "v2");
        registrations[0] = register(&store, &ids[0], ports[0], "v2", unix_ms(), HEARTBEAT_MS);
        record.write(format!(
            "{} starts again as v2; its entry follows after {HEARTBEAT_MS} ms",
            ids[0]
        ));
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front).collect();
    let (sending, told) = (Arc::clone(&is_over), record.clone());
    let sender = thread::spawn(move || {
        let mut calls = Vec::new();
        for number in 0.. {
            if sending.load(Ordering::Relaxed) {
                return calls;
            }
            let id = format!("read-{number:04x}");
            let request = format!(
                "POST /read/{number} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\n\
                 deadline-ms: 15000\r\ncontent-length: 0\r\n\r\n"
            );
            let (front, at_ms) = (fronts[number % GATEWAYS], told.now_ms());
            calls.push((
                id,
                at_ms,
                thread::spawn(move || {
                    http::call(front, request.as_bytes(), Duration::from_secs(16))
                }),
            ));
            thread::sleep(Duration::from_millis(STREAM_MS));
        }
        calls
    });
    thread::sleep(Duration::from_millis(SECOND_LIFE_MS));
    if has_trouble {
        registrations[0].store(true, Ordering::Relaxed);
        processes[0].kill();
        record.write(format!("{} of v2 is killed", ids[0]));
    }
    is_over.store(true, Ordering::Relaxed);
    let Ok(calls) = sender.join() else { return 2 };
    let all = calls.len();
    let (mut mixed, mut whole) = (0, 0);
    for (id, at_ms, pending) in calls {
        let Ok(seen) = pending.join() else { return 2 };
        let data = versions_of(&seen.body);
        let versions: BTreeSet<&str> = data.iter().filter_map(|it| it.split(' ').next()).collect();
        let change = data
            .windows(2)
            .position(|pair| pair[0][..2] != pair[1][..2]);
        let is_mixed = versions.len() > 1;
        mixed += usize::from(is_mixed);
        whole += usize::from(seen.is_whole && data.len() == EVENTS);
        let note = match change.filter(|_| is_mixed) {
            Some(at) => format!(
                "  <- event {} is of {}, event {} of {}",
                at + 1,
                data[at],
                at + 2,
                data[at + 1]
            ),
            None => String::new(),
        };
        record.write(format!(
            "{id}, sent at {at_ms} ms: status {}, {} events of {}{note}",
            seen.status,
            data.len(),
            versions.into_iter().collect::<Vec<_>>().join(" and ")
        ));
    }
    record.write(format!(
        "{all} streams, {whole} whole, {mixed} with events of two versions (allowed: {ALLOWED})"
    ));
    if whole == 0 || (!has_trouble && whole < all) {
        return 2;
    }
    i32::from(mixed > ALLOWED)
}
