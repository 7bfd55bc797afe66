//! A part of a prompt that crashes each worker that begins to write an answer on it.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{CONTACT_MS, ClientRequest, Event, Fleet, WorkerPlan, config};
use crate::worker::DEADLY_PART;

const GATEWAYS: usize = 5;
const WORKERS: usize = 12;
/// Requests that the rule allows to reach workers later than `contactMs` after the fifth crash.
const ALLOWED: usize = 3;

fn send(fleet: &Arc<Fleet>, index: usize, id: String, part: &str) {
    let own = id.bytes().fold(7u32, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(u32::from(byte))
    });
    let request = ClientRequest {
        method: "POST",
        path: "/chat/new".to_owned(),
        headers: vec![
            ("Model".to_owned(), "m0".to_owned()),
            ("Token-Counts".to_owned(), "826,210".to_owned()),
            (
                "Prompt-Prefix".to_owned(),
                format!("aa01:119,{part},{own:08x}:628"),
            ),
        ],
        body: format!("dream {id}"),
        id,
        deadline_ms: 15_000,
    };
    let sender = Arc::clone(fleet);
    std::thread::spawn(move || sender.call(index, &request));
}

pub fn first_event(record: &Path, has_trouble: bool) -> Verdict {
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
    let is_over = Arc::new(AtomicBool::new(false));
    let callers = {
        let (fleet, is_over) = (Arc::clone(&fleet), Arc::clone(&is_over));
        std::thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::Relaxed) {
                send(
                    &fleet,
                    number % GATEWAYS,
                    format!("c{number:05}"),
                    &format!("bb{:02}:79", number % 7),
                );
                number += 1;
                std::thread::sleep(Duration::from_millis(120));
            }
        })
    };
    std::thread::sleep(Duration::from_millis(CONTACT_MS + 500));
    let part = if has_trouble { DEADLY_PART } else { "bb00:79" };
    for number in 0..30 {
        send(&fleet, number % GATEWAYS, format!("d{number:05}"), part);
        std::thread::sleep(Duration::from_millis(1_000));
    }
    is_over.store(true, Ordering::Relaxed);
    let _ = callers.join();
    std::thread::sleep(Duration::from_secs(4));
    judge(&fleet.record.events(), fleet.record.began_ms())
}

fn judge(events: &[Event], began_ms: u64) -> Verdict {
    let seconds = |at_ms: u64| (at_ms - began_ms) as f64 / 1_000.0;
    let crashes: Vec<&Event> = events
        .iter()
        .filter(|event| event.text.starts_with("crash d"))
        .collect();
    let runs: Vec<&Event> = events
        .iter()
        .filter(|event| event.text.starts_with("run d"))
        .collect();
    let Some(fifth) = crashes.get(4) else {
        return Verdict::Held(format!(
            "{} arrivals, {} crashes; no fifth crash",
            runs.len(),
            crashes.len()
        ));
    };
    let from_ms = fifth.at_ms + CONTACT_MS;
    // Nothing but the workers was disturbed: all machines are in touch.
    let late: Vec<&&Event> = runs.iter().filter(|run| run.at_ms > from_ms).collect();
    let times: Vec<String> = late
        .iter()
        .map(|run| format!("{:.1}", seconds(run.at_ms)))
        .collect();
    let ended = |end: &str| {
        events
            .iter()
            .filter(|event| event.text.starts_with("c0") && event.text.contains(end))
            .count()
    };
    let text = format!(
        "fifth crash at {:.1} s, {} crashes in all; {} requests with the part reach workers later than contactMs after it (allowed: {ALLOWED}), at {} s; sound streams: {} whole, {} broken off",
        seconds(fifth.at_ms),
        crashes.len(),
        late.len(),
        times.join(", "),
        ended("got 200 whole"),
        ended("got 200 broken off")
    );
    if late.len() > ALLOWED {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}
