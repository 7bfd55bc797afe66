//! A crowd of clients that the operator doesn't control sends many bodies of legal size at once.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::fleet::{config, ClientRequest, Fleet, WorkerPlan, CONTACT_MS, HOST, MEMORY_MB};
use crate::Verdict;

const GATEWAYS: usize = 2;
const WORKERS: usize = 12;

/// Clients of the crowd, and bytes of each one's body. Both are legal: the configuration allows heads of 16 KB and
/// bodies of 4 MB.
const CROWD: usize = 1_950;
const BODY_BYTES: usize = 24_500;
/// Bytes of a body that a client holds back at first.
const LEFT_OUT: usize = 16;

/// Largest resident size of a process in kilobytes; `None` once it has ended.
fn peak_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.trim().trim_end_matches("kB").trim().parse().ok()
}

fn ordinary(fleet: &Fleet, number: usize) -> bool {
    let request = ClientRequest {
        id: format!("o{number:05}"),
        method: "POST",
        path: "/draft/new".to_owned(),
        headers: vec![
            ("Model".to_owned(), "m0".to_owned()),
            ("Token-Counts".to_owned(), "826,210".to_owned()),
            ("Prompt-Prefix".to_owned(), format!("aa01:119,bb02:79,{number:08x}:628")),
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
        fleet.spawn_worker(number, WorkerPlan {
            service: "dreamwriter".to_owned(),
            kind: "engine-loaded".to_owned(),
            restart_ms: 2_000,
            life_ms: 0,
            keeps_id: false,
            versions: vec!["v1".to_owned()],
        });
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
        let (peak, is_over) = (Arc::clone(&peak), Arc::clone(&is_over));
        std::thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                if let Some(kb) = peak_kb(pid) {
                    peak.fetch_max(kb, Ordering::Relaxed);
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        })
    };
    fleet.record.add("judge", &format!("edge-a-1 has used {} kB at most so far", peak_kb(pid).unwrap_or(0)));
    let mut clients = Vec::new();
    if has_trouble {
        let body = vec![b'x'; BODY_BYTES];
        for number in 0..CROWD {
            let Ok(mut stream) = TcpStream::connect(fleet.fronts[0]) else { continue };
            let head = format!("POST /draft/new HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: x{number:05}\r\nDeadline-Ms: 25000\r\nModel: m0\r\nToken-Counts: 826,950\r\nPrompt-Prefix: aa01:119,bb02:79,{number:08x}:628\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
            let is_written = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&body[LEFT_OUT..]));
            clients.push((number, stream, is_written.is_ok()));
        }
        if clients.len() < CROWD {
            return Verdict::NotRun(format!("only {} of {CROWD} connections could be opened", clients.len()));
        }
        fleet.record.add("crowd", &format!("{CROWD} clients have sent a request but for the last {LEFT_OUT} of the {BODY_BYTES} bytes of its body"));
        let mut finished = 0;
        for (_, stream, is_open) in &mut clients {
            finished += usize::from(*is_open && stream.write_all(&body[..LEFT_OUT]).is_ok());
        }
        fleet.record.add("crowd", &format!("{finished} clients have sent the rest"));
    }
    std::thread::sleep(Duration::from_secs(12));
    let mut counts = std::collections::BTreeMap::new();
    for (number, stream, _) in &mut clients {
        let _ = stream.set_nonblocking(true);
        let mut bytes = [0; 64];
        let got = match stream.read(&mut bytes) {
            Ok(0) => "closed".to_owned(),
            Ok(length) => String::from_utf8_lossy(&bytes[..length.min(12)]).into_owned(),
            Err(error) => error.kind().to_string(),
        };
        fleet.record.add("crowd", &format!("x{number:05} got {got}"));
        *counts.entry(got).or_insert(0) += 1;
    }
    drop(clients);
    std::thread::sleep(Duration::from_secs(2));
    let is_served = (1..=5).any(|number| ordinary(&fleet, number));
    let is_alive = peak_kb(pid).is_some();
    is_over.store(true, Ordering::Relaxed);
    let _ = watching.join();
    let peak_kb = peak.load(Ordering::Relaxed);
    let limit_kb = MEMORY_MB * 1_024;
    let text = format!("edge-a-1 used {peak_kb} kB at most, its machine has {limit_kb} kB; alive afterwards: {is_alive}; an ordinary request afterwards is served: {is_served}; the crowd got {counts:?}");
    if peak_kb > limit_kb || !is_alive || !is_served { Verdict::Broken(text) } else { Verdict::Held(text) }
}
