//! Case: a worker is killed while it writes answers with neither a length nor chunks.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crate::fleet::{
    Gateway, HEARTBEAT_MS, HOST, Process, Record, catalog, free_port, route, unix_ms, wait_until,
};
use crate::http::{self, Head};
use crate::json;
use crate::store::Store;

/// Pieces of each answer.
const PIECES: usize = 20;

/// Milliseconds between two pieces.
const PIECE_MS: u64 = 100;

/// Milliseconds from the requests to the end of a worker.
const KILL_AFTER_MS: u64 = 1_000;

/// Requests of each kind.
const REQUESTS: usize = 12;

/// Workers of each service. One of them crashes, a quarter.
const WORKERS: usize = 4;

const MODEL_SERVICE: &str = "huvo11a";
const PLAIN_SERVICE: &str = "wuno96b";

/// Kinds of requests: path, method, and whether the answer is a stream.
const KINDS: [(&str, &str, bool); 4] = [
    ("chat", "POST", true),
    ("notes", "POST", true),
    ("lookup", "GET", false),
    ("stamp", "POST", false),
];

fn is_stream(path: &str) -> bool {
    path.starts_with("/chat/") || path.starts_with("/notes/")
}

fn piece(is_stream: bool, number: usize) -> String {
    if is_stream {
        format!("id: {number}\ndata: piece {number}\n\n")
    } else {
        format!("line {number}\n")
    }
}

fn whole(is_stream: bool) -> String {
    (1..=PIECES)
        .map(|number| piece(is_stream, number))
        .collect()
}

/// Serves as a worker until the process ends.
pub fn run_worker(port: u16, id: &str) -> ! {
    let listener = TcpListener::bind(("127.0.0.1", port)).expect("the worker's port");
    let own_id = id.to_owned();
    let active = AtomicUsize::new(0);
    http::serve(listener, move |stream, head, _| {
        let expected = head.header("expect-instance");
        if !expected.is_empty() && expected != own_id {
            let headers = format!("instance-id: {own_id}\r\n");
            http::respond(stream, 421, &headers, b"")?;
            return Ok(true);
        }
        match head.path() {
            "/-/report" => {
                let text = format!(
                    "{{\"stage\":\"colocated\",\"models\":[{{\"name\":\"m0\",\"version\":1,\
                     \"adapters\":[]}}],\"busy\":false,\"sequence\":0,\"queued\":0,\"active\":{},\
                     \"kvUsed\":0,\"kvTotal\":118442,\"handles\":0}}",
                    active.load(Ordering::Relaxed)
                );
                let kind = "content-type: application/json\r\n";
                http::respond(stream, 200, kind, text.as_bytes())?;
                return Ok(true);
            }
            "/-/order" => {
                http::respond(stream, 409, "", b"{}")?;
                return Ok(true);
            }
            _ => {}
        }
        active.fetch_add(1, Ordering::Relaxed);
        let written = write_answer(stream, &head, &own_id);
        active.fetch_sub(1, Ordering::Relaxed);
        written.map(|()| false)
    });
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

/// Writes an answer that ends with its connection.
fn write_answer(stream: &mut impl Write, head: &Head, id: &str) -> std::io::Result<()> {
    let is_stream = is_stream(head.path());
    let kind = if is_stream {
        "text/event-stream"
    } else {
        "text/plain"
    };
    let text = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {}\r\nresponse-seal: {id}.7f3a\r\ncontent-type: {kind}\r\n\
         connection: close\r\n\r\n",
        head.header("request-id")
    );
    stream.write_all(text.as_bytes())?;
    let after = head.header("last-event-id").parse().unwrap_or(0);
    for number in after + 1..=PIECES {
        stream.write_all(piece(is_stream, number).as_bytes())?;
        thread::sleep(Duration::from_millis(PIECE_MS));
    }
    Ok(())
}

struct Worker {
    id: String,
    address: SocketAddr,
    process: Process,
    is_over: Arc<AtomicBool>,
}

impl Worker {
    fn spawn(store: &Store, service: &'static str, number: usize) -> Self {
        let port = free_port();
        let id = format!("i-{service}-{number}");
        let child = Command::new(std::env::current_exe().expect("a program"))
            .args(["worker", &port.to_string(), &id])
            .stdin(Stdio::null())
            .spawn()
            .expect("a worker");
        let worker = Self {
            id: id.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            process: Process { child },
            is_over: Arc::default(),
        };
        let (address, is_over) = (worker.address, Arc::clone(&worker.is_over));
        let (store, born) = (store.clone(), unix_ms());
        thread::spawn(move || {
            let mut sequence = 0;
            while !is_over.load(Ordering::Relaxed) {
                sequence += 1;
                let entry = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"armor-a\",\
                     \"version\":\"v1\",\"slots\":32,\"state\":\"ready\",\"coldLeftMs\":0,\
                     \"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[]}}],\
                     \"sequence\":{sequence},\"born\":{born}}}"
                );
                store.put("servers", &id, &entry);
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
        worker
    }

    /// Requests that it runs.
    fn active(&self) -> u64 {
        let request = b"GET /-/report HTTP/1.1\r\nhost: x\r\n\r\n";
        let seen = http::call(self.address, request, Duration::from_secs(2));
        json::parse(&String::from_utf8_lossy(&seen.body))
            .get("active")
            .number()
    }
}

/// Runs the case. Returns the exit status of the script.
pub fn run(record: &Record, scratch: &Path, has_trouble: bool) -> i32 {
    let store = Store::spawn();
    let routes = [
        route("r-chat", "/chat/", "streaming", MODEL_SERVICE, false),
        route("r-notes", "/notes/", "streaming", MODEL_SERVICE, true),
        route("r-lookup", "/lookup/", "idempotent", PLAIN_SERVICE, false),
        route("r-stamp", "/stamp/", "non_idempotent", PLAIN_SERVICE, false),
    ];
    store.put("op", "config", &catalog(7, &routes, &["m0"]));
    let mut workers: Vec<Worker> = Vec::new();
    for service in [MODEL_SERVICE, PLAIN_SERVICE] {
        workers.extend((0..WORKERS).map(|number| Worker::spawn(&store, service, number)));
    }
    let are_up = || {
        workers
            .iter()
            .all(|it| std::net::TcpStream::connect(it.address).is_ok())
    };
    if !wait_until(Duration::from_secs(5), are_up) {
        record.write("the workers did not start");
        return 2;
    }
    let mut gateway = Gateway::open(scratch, "edge-armor-a-1", store.address, 260);
    gateway.start();
    if !gateway.wait_ready(Duration::from_secs(20)) {
        record.write("the gateway did not get ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(3));
    let mut calls = Vec::new();
    for (kind, method, is_stream) in KINDS {
        for number in 0..REQUESTS {
            let id = format!("{kind}-{number:04x}");
            let model = format!(
                "model: m0\r\ntoken-counts: 100,20\r\nprompt-prefix: 5c1e07a2:50,9{number:07x}:50\r\n"
            );
            let request = format!(
                "{method} /{kind}/{number} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\n\
                 deadline-ms: 8000\r\n{}content-length: 0\r\n\r\n",
                if is_stream { model.as_str() } else { "" }
            );
            record.write(format!("sent      {id}"));
            let front = gateway.front;
            calls.push((
                id,
                is_stream,
                thread::spawn(move || {
                    http::call(front, request.as_bytes(), Duration::from_secs(12))
                }),
            ));
        }
    }
    thread::sleep(Duration::from_millis(KILL_AFTER_MS));
    if has_trouble {
        for service in [MODEL_SERVICE, PLAIN_SERVICE] {
            let of_service = workers.iter_mut().filter(|it| it.id.contains(service));
            let busiest = of_service.max_by_key(|it| it.active());
            let Some(worker) = busiest else { return 2 };
            let active = worker.active();
            worker.is_over.store(true, Ordering::Relaxed);
            worker.process.kill();
            record.write(format!(
                "killed    {}, which runs {active} requests",
                worker.id
            ));
        }
    }
    let (mut broken, mut served) = (0, 0);
    for (id, is_stream, pending) in calls {
        let Ok(seen) = pending.join() else { return 2 };
        let text = String::from_utf8_lossy(&seen.body).into_owned();
        let mark = if is_stream { "id: " } else { "line " };
        let count = text.lines().filter(|line| line.starts_with(mark)).count();
        let is_success = (200..300).contains(&seen.status) && seen.is_whole;
        let is_true = text == whole(is_stream);
        served += usize::from(is_success && is_true);
        broken += usize::from(is_success && !is_true);
        let framing = if seen.head.has("content-length") {
            "length"
        } else {
            "chunks"
        };
        record.write(format!(
            "answered  {id}: status {}, seal {}, {count} of {PIECES} pieces, {} after {} ms{}",
            seen.status,
            seen.head.header("response-seal"),
            if seen.is_whole {
                format!("complete by its {framing}")
            } else {
                "broken off".to_owned()
            },
            seen.took_ms,
            if is_success && !is_true {
                "  <- looks complete and is not"
            } else {
                ""
            }
        ));
    }
    thread::sleep(Duration::from_millis(500));
    let log = gateway.log();
    for line in log
        .lines()
        .filter(|line| line.contains("\"answer ended with its connection\""))
    {
        if line.contains("\"has_crashed\":true") {
            record.write(format!("gateway's log: {line}"));
        }
    }
    let all = KINDS.len() * REQUESTS;
    record.write(format!(
        "of {all}: {served} served whole, {broken} cut short that look complete"
    ));
    if !has_trouble && served < all {
        return 2;
    }
    i32::from(broken > 0)
}
