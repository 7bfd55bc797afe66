//! A crowd of clients that the operator doesn't control sends many bodies of legal size at once.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{
    CONTACT_MS, ClientRequest, Fleet, HOST, MEMORY_MB, SIGKILL, WorkerPlan, config,
};

const GATEWAYS: usize = 2;
const WORKERS: usize = 12;

/// Clients of the crowd, and bytes of each one's body. Both are legal: the configuration allows heads of 16 KB and
/// bodies of 4 MB.
const CROWD: usize = 1_950;
const OPENERS: usize = 4;
const BODY_BYTES: usize = 24_500;
/// Bytes of a header that an application adds; the whole head stays below a fifth of what is allowed.
const NOTE_BYTES: usize = 2_500;

/// Largest resident size of a process in kilobytes; `None` once it has ended.
fn peak_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.trim().trim_end_matches("kB").trim().parse().ok()
}

/// Sends a whole request on a new connection; `None` if the connection is refused.
fn send_whole(front: SocketAddr, number: usize, note: &str, body: &[u8]) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(front).ok()?;
    let head = format!(
        "POST /draft/new HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: x{number:05}\r\nDeadline-Ms: 25000\r\nModel: m0\r\nToken-Counts: 826,950\r\nPrompt-Prefix: aa01:119,bb02:79,{number:08x}:628\r\nX-Note: {note}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    // A process that was killed meanwhile takes no more.
    let _ = stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(body));
    Some(stream)
}

fn ordinary(fleet: &Fleet, number: usize) -> bool {
    let request = ClientRequest {
        id: format!("o{number:05}"),
        method: "POST",
        path: "/draft/new".to_owned(),
        headers: vec![
            ("Model".to_owned(), "m0".to_owned()),
            ("Token-Counts".to_owned(), "826,210".to_owned()),
            (
                "Prompt-Prefix".to_owned(),
                format!("aa01:119,bb02:79,{number:08x}:628"),
            ),
        ],
        body: format!("ordinary {number}"),
        deadline_ms: 25_000,
    };
    let answer = fleet.call(0, &request);
    answer.status == 200 && answer.is_whole
}

pub fn bodies(record: &Path, has_trouble: bool) -> Verdict {
    let fleet = Arc::new(Fleet::open(record, GATEWAYS));
    fleet.store.put("op", "config", &config(1));
    for number in 1..=WORKERS {
        fleet.spawn_worker(
            number,
            WorkerPlan {
                service: "dreamwriter".to_owned(),
                kind: "engine-loaded".to_owned(),
                restart_ms: 2_000,
                lives_ms: Vec::new(),
                keeps_id: false,
                versions: vec!["v1".to_owned()],
            },
        );
    }
    std::thread::sleep(Duration::from_millis(500));
    fleet.start_gateways();
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Verdict::NotRun("the gateways did not become ready".to_owned());
    }
    std::thread::sleep(Duration::from_millis(CONTACT_MS));
    if !ordinary(&fleet, 0) {
        return Verdict::NotRun("an ordinary request was not served before the crowd".to_owned());
    }
    let pid = fleet.gateways[0].lock().unwrap().pid();
    let peak = Arc::new(AtomicU64::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    let watching = {
        let (peak, is_over, fleet) = (Arc::clone(&peak), Arc::clone(&is_over), Arc::clone(&fleet));
        std::thread::spawn(move || {
            let mut is_killed = false;
            while !is_over.load(Ordering::Relaxed) {
                if let Some(kb) = peak_kb(pid).filter(|_| !is_killed) {
                    peak.fetch_max(kb, Ordering::Relaxed);
                    // As the platform does with a process that exceeds the memory of its machine.
                    if kb > MEMORY_MB * 1_024 {
                        is_killed = true;
                        fleet
                            .record
                            .add("platform", &format!("kills edge-a-1, which uses {kb} kB"));
                        fleet.gateways[0].lock().unwrap().signal(SIGKILL);
                    }
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        })
    };
    fleet.record.add(
        "judge",
        &format!(
            "edge-a-1 has used {} kB at most so far",
            peak_kb(pid).unwrap_or(0)
        ),
    );
    let mut clients = Vec::new();
    if has_trouble {
        let note = "n".repeat(NOTE_BYTES);
        let body = vec![b'x'; BODY_BYTES];
        let front = fleet.fronts[0];
        let openers: Vec<_> = (0..OPENERS)
            .map(|opener| {
                let (note, body) = (note.clone(), body.clone());
                let record = Arc::clone(&fleet.record);
                std::thread::spawn(move || {
                    let numbers = (0..CROWD).filter(|number| number % OPENERS == opener);
                    numbers
                        .filter_map(|number| {
 record.add("crowd", &format!("sends x{number:05} POST /draft/new, {BODY_BYTES} bytes, to edge-a-1"));
                            Some((number, send_whole(front, number, &note, &body)?))
                        })
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        for opener in openers {
            clients.extend(opener.join().unwrap_or_default());
        }
        fleet.record.add(
            "crowd",
            &format!(
                "{} clients have sent a request with a body of {BODY_BYTES} bytes",
                clients.len()
            ),
        );
    }
    std::thread::sleep(Duration::from_secs(12));
    let mut counts = std::collections::BTreeMap::new();
    for (number, stream) in &mut clients {
        let _ = stream.set_nonblocking(true);
        let mut bytes = Vec::new();
        let end = stream.read_to_end(&mut bytes);
        let text = String::from_utf8_lossy(&bytes);
        let got = match (text.get(..12), end) {
            (None, Ok(_)) => "no answer, closed".to_owned(),
            (None, Err(error)) => format!("no answer, {}", error.kind()),
            (Some(status), _) if text.ends_with("0\r\n\r\n") || !text.contains("chunked") => {
                format!("{status} whole")
            }
            (Some(status), Ok(_)) => format!("{status} broken off"),
            (Some(status), Err(error)) => format!("{status} unfinished, {}", error.kind()),
        };
        fleet
            .record
            .add("crowd", &format!("x{number:05} got {got}"));
        *counts.entry(got).or_insert(0) += 1;
    }
    drop(clients);
    std::thread::sleep(Duration::from_secs(2));
    let is_alive = peak.load(Ordering::Relaxed) <= MEMORY_MB * 1_024 && peak_kb(pid).is_some();
    if !is_alive {
        fleet.start_again(0);
        fleet.wait_ready(Duration::from_secs(5));
    }
    let is_served = (1..=5).any(|number| ordinary(&fleet, number));
    is_over.store(true, Ordering::Relaxed);
    let _ = watching.join();
    let peak_kb = peak.load(Ordering::Relaxed);
    let limit_kb = MEMORY_MB * 1_024;
    let text = format!(
        "edge-a-1 used {peak_kb} kB at most, its machine has {limit_kb} kB; ended for its memory or by itself: {}; an ordinary request afterwards is served: {is_served}; the crowd got {counts:?}",
        !is_alive
    );
    if peak_kb > limit_kb || !is_alive || !is_served {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}
