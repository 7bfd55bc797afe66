//! A worker as a process of its own, as the users' pages describe it: `review-2 worker ID BORN VERSION KIND PORT LIFE_MS`.
//! It tells what it does on its standard output, and ends when its standard input closes.

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::fleet::{end_at_once, unix_ms};
use crate::http::{Request, read_request, write_response};
use crate::json::{parse, quote};

/// Milliseconds that a request of the application takes.
const WORK_MS: u64 = 30;
/// Events of a stream that names no number of tokens, the most of any stream, and milliseconds between two of them.
const EVENTS: u64 = 42;
const MAX_EVENTS: u64 = 191;
const EVENT_MS: u64 = 60;
/// Requests of a model worker that run at once, and those that may wait.
const SLOTS: u64 = 64;
const QUEUE: u64 = 192;
/// Milliseconds that a load takes from the worker's own disk.
const DISK_LOAD_MS: u64 = 400;

/// Body that crashes the worker as it begins to run the request.
pub const CRASH: &str = "crash-at-begin";
/// Part of a prompt that crashes the worker as it begins to write an answer on it, when the first event is out.
pub const DEADLY_PART: &str = "dd0a:79";
/// Body that crashes the worker when it has written the head and a part of its answer.
pub const CRASH_IN_ANSWER: &str = "crash-in-answer";

pub struct Worker {
    id: String,
    born: u64,
    version: String,
    is_engine: bool,
    held: Arc<Mutex<Held>>,
    /// Requests that run or wait, and those that run.
    active: AtomicU64,
    running: AtomicU64,
}

#[derive(Default)]
struct Held {
    models: Vec<String>,
    /// Number of orders accepted.
    sequence: u64,
    is_busy: bool,
}

fn say(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{} {text}", unix_ms());
    let _ = out.flush();
}

pub fn run(args: &[String]) {
    let [id, born, version, kind, port, life_ms] = args else {
        panic!("worker: six arguments")
    };
    let worker = Arc::new(Worker {
        id: id.clone(),
        born: born.parse().expect("born"),
        version: version.clone(),
        is_engine: kind.starts_with("engine"),
        held: Arc::new(Mutex::new(Held {
            models: if kind == "engine-loaded" {
                vec!["m0".to_owned()]
            } else {
                Vec::new()
            },
            ..Held::default()
        })),
        active: AtomicU64::new(0),
        running: AtomicU64::new(0),
    });
    std::thread::spawn(|| {
        let mut rest = Vec::new();
        let _ = std::io::stdin().read_to_end(&mut rest);
        end_at_once();
    });
    let listener = TcpListener::bind(format!("127.0.0.1:{port}")).expect("worker port");
    let life_ms: u64 = life_ms.parse().expect("life");
    if life_ms > 0 {
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(life_ms));
            say("crash by itself");
            end_at_once();
        });
    }
    say("ready");
    for stream in listener.incoming().flatten() {
        let worker = Arc::clone(&worker);
        std::thread::spawn(move || worker.serve(stream));
    }
}

impl Worker {
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let is_written = self.respond(&request, &mut writer);
            let is_last = request
                .header("connection")
                .is_some_and(|value| value.eq_ignore_ascii_case("close"));
            if is_written.is_err() || is_last {
                return;
            }
        }
    }

    fn respond(&self, request: &Request, out: &mut TcpStream) -> std::io::Result<()> {
        match request.path() {
            "/health" => write_response(out, 200, &[("Instance-Id", &self.id)], b""),
            "/-/report" => write_response(
                out,
                200,
                &[("Content-Type", "application/json")],
                self.report().as_bytes(),
            ),
            "/-/order" => self.order(request, out),
            _ => self.answer(request, out),
        }
    }

    fn report(&self) -> String {
        let held = self.held.lock().unwrap();
        let (models, sequence, is_busy) = (&held.models, held.sequence, held.is_busy);
        let active = self.active.load(Ordering::Relaxed);
        format!(
            "{{\"stage\":\"colocated\",\"born\":{},\"models\":{},\"busy\":{is_busy},\"sequence\":{sequence},\"queued\":0,\"active\":{active},\"kvUsed\":0,\"kvTotal\":150000,\"handles\":0}}",
            self.born,
            models_json(models)
        )
    }

    fn order(&self, request: &Request, out: &mut TcpStream) -> std::io::Result<()> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let Some(order) = parse(&body) else {
            return write_response(out, 400, &[], b"");
        };
        if request
            .header("expect-instance")
            .is_some_and(|id| id != self.id)
        {
            return write_response(out, 421, &[("Instance-Id", &self.id)], b"");
        }
        let mut held = self.held.lock().unwrap();
        let is_other =
            order.get("precondition").is_some() && order.number("precondition") != held.sequence;
        if held.is_busy || is_other {
            return write_response(out, 409, &[], b"");
        }
        say(&format!("order {body}"));
        let model = order.text("model").to_owned();
        let is_load = order.text("operation") == "load";
        if is_load == held.models.contains(&model) {
            return write_response(out, 200, &[], b"");
        }
        held.sequence += 1;
        held.is_busy = true;
        drop(held);
        let state = Arc::clone(&self.held);
        std::thread::spawn(move || {
            // A load from the worker's own disk.
            std::thread::sleep(Duration::from_millis(if is_load {
                DISK_LOAD_MS
            } else {
                20
            }));
            let mut held = state.lock().unwrap();
            held.is_busy = false;
            held.models.retain(|known| *known != model);
            if is_load {
                held.models.push(model);
            }
            say(&format!("models {}", held.models.join(",")));
        });
        write_response(out, 202, &[], b"")
    }

    fn answer(&self, request: &Request, out: &mut TcpStream) -> std::io::Result<()> {
        let id = request.header("request-id").unwrap_or("").to_owned();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let what = format!(
            "{id} {} {}",
            request.path(),
            body.chars().take(40).collect::<String>()
        );
        if request
            .header("expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            say(&format!("reject 421 {what}"));
            return write_response(
                out,
                421,
                &[("Instance-Id", &self.id), ("Request-Id", &id)],
                b"",
            );
        }
        let lacks_model = self.is_engine
            && request.header("model").is_some_and(|model| {
                !self
                    .held
                    .lock()
                    .unwrap()
                    .models
                    .iter()
                    .any(|held| held == model)
            });
        if lacks_model {
            say(&format!("reject 421 model {what}"));
            return write_response(out, 421, &[("Not-Executed", "1"), ("Request-Id", &id)], b"");
        }
        let ahead = self.active.fetch_add(1, Ordering::Relaxed);
        if self.is_engine && ahead >= SLOTS + QUEUE {
            self.active.fetch_sub(1, Ordering::Relaxed);
            say(&format!("reject 503 {what}"));
            return write_response(out, 503, &[("Not-Executed", "1"), ("Request-Id", &id)], b"");
        }
        while self.is_engine && self.running.fetch_add(1, Ordering::Relaxed) >= SLOTS {
            self.running.fetch_sub(1, Ordering::Relaxed);
            std::thread::sleep(Duration::from_millis(20));
        }
        say(&format!("run {what}"));
        let has_deadly_part = request
            .header("prompt-prefix")
            .is_some_and(|parts| parts.contains(DEADLY_PART));
        let result = if has_deadly_part {
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: 1.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            let event = format!(
                "id: 1\ndata: version={} worker={} born={}\n\n",
                self.version, self.id, self.born
            );
            let _ = out.write_all(format!("{head}{:x}\r\n{event}\r\n", event.len()).as_bytes());
            std::thread::sleep(Duration::from_millis(EVENT_MS));
            say(&format!("crash {what}"));
            end_at_once();
            Ok(())
        } else if body.starts_with(CRASH_IN_ANSWER) {
            std::thread::sleep(Duration::from_millis(WORK_MS));
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: 1.{id}\r\nContent-Length: 800\r\n\r\n{}",
                "x".repeat(200)
            );
            let _ = out.write_all(head.as_bytes());
            std::thread::sleep(Duration::from_millis(20));
            say(&format!("crash {what}"));
            end_at_once();
            Ok(())
        } else if body.starts_with(CRASH) {
            say(&format!("crash {what}"));
            end_at_once();
            Ok(())
        } else if self.is_engine || request.header("accept") == Some("text/event-stream") {
            self.stream(request, &id, out)
        } else {
            std::thread::sleep(Duration::from_millis(WORK_MS));
            let seal = format!("1.{id}");
            let text = format!("{:<800}", format!("answer of {} to {id}", self.id));
            write_response(
                out,
                200,
                &[("Request-Id", &id), ("Response-Seal", &seal)],
                text.as_bytes(),
            )
        };
        if self.is_engine {
            self.running.fetch_sub(1, Ordering::Relaxed);
        }
        self.active.fetch_sub(1, Ordering::Relaxed);
        say(&format!(
            "{} {what}",
            if result.is_ok() { "done" } else { "cut" }
        ));
        result
    }

    fn stream(&self, request: &Request, id: &str, out: &mut TcpStream) -> std::io::Result<()> {
        let after: u64 = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: 1.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        out.write_all(head.as_bytes())?;
        // Five tokens an event, and at most as many events as on the sheet.
        let tokens = request
            .header("token-counts")
            .and_then(|text| text.split_once(',')?.1.trim().parse::<u64>().ok());
        let count = tokens.map_or(EVENTS, |tokens| (tokens / 5).min(MAX_EVENTS));
        for number in after + 1..=count {
            std::thread::sleep(Duration::from_millis(EVENT_MS));
            let event = format!(
                "id: {number}\ndata: version={} worker={} born={}\n\n",
                self.version, self.id, self.born
            );
            out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        out.write_all(b"0\r\n\r\n")
    }
}

pub fn models_json(models: &[String]) -> String {
    let entries = models
        .iter()
        .map(|name| format!("{{\"name\":{},\"version\":1,\"adapters\":[]}}", quote(name)));
    format!("[{}]", entries.collect::<Vec<_>>().join(","))
}
