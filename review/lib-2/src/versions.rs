//! A worker crashes and comes back under its id with another version of its software; new streams begin there.

use std::collections::BTreeSet;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{CONTACT_MS, ClientRequest, Fleet, WorkerPlan, config};
use crate::http::Answer;

const GATEWAYS: usize = 5;
const WORKERS: usize = 3;
/// Streams with events of two versions that the rule allows.
const ALLOWED: usize = 2;
/// Milliseconds for which the worker is down after a crash, and for which it lives between its two crashes.
const DOWN_MS: u64 = 3_000;
const SECOND_LIFE_MS: u64 = 2_000;

/// Id, version and worker of each event of an answer.
type Events = Vec<(u64, String, String)>;

fn events_of(answer: &Answer) -> Events {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let mut events = Vec::new();
    for event in text.split("\n\n") {
        let id = event.lines().find_map(|line| line.strip_prefix("id: "));
        let data = event.lines().find_map(|line| line.strip_prefix("data: "));
        let (Some(id), Some(data)) = (id.and_then(|id| id.parse().ok()), data) else {
            continue;
        };
        let word = |name: &str| {
            data.split(' ')
                .find_map(|word| word.strip_prefix(name))
                .unwrap_or("")
                .to_owned()
        };
        events.push((id, word("version="), word("worker=")));
    }
    events
}

pub fn mixed(record: &Path, has_trouble: bool) -> Verdict {
    let fleet = Arc::new(Fleet::open(record, GATEWAYS));
    fleet.store.put("op", "config", &config(1));
    for number in 1..=WORKERS {
        let crashes = number == 1 && has_trouble;
        fleet.spawn_worker(
            number,
            WorkerPlan {
                service: "reader".to_owned(),
                kind: "app".to_owned(),
                restart_ms: DOWN_MS,
                lives_ms: if crashes {
                    vec![10_000, SECOND_LIFE_MS]
                } else {
                    Vec::new()
                },
                keeps_id: true,
                versions: if crashes {
                    vec!["v1".to_owned(), "v2".to_owned()]
                } else {
                    vec!["v1".to_owned()]
                },
            },
        );
    }
    fleet.spawn_cold_entry();
    std::thread::sleep(Duration::from_millis(500));
    fleet.start_gateways();
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Verdict::NotRun("the gateways did not become ready".to_owned());
    }
    std::thread::sleep(Duration::from_millis(CONTACT_MS));
    let streams: Arc<Mutex<Vec<(String, Events)>>> = Arc::default();
    let until = Instant::now() + Duration::from_secs(16);
    let mut number = 0;
    let mut calls = Vec::new();
    while Instant::now() < until {
        let (fleet, streams) = (Arc::clone(&fleet), Arc::clone(&streams));
        calls.push(std::thread::spawn(move || {
            let request = ClientRequest {
                id: format!("s{number:05}"),
                method: "POST",
                path: "/read/new".to_owned(),
                headers: vec![("Accept".to_owned(), "text/event-stream".to_owned())],
                body: format!("dream {number}"),
                deadline_ms: 25_000,
            };
            let answer = fleet.call(number % GATEWAYS, &request);
            streams
                .lock()
                .unwrap()
                .push((request.id, events_of(&answer)));
        }));
        number += 1;
        std::thread::sleep(Duration::from_millis(40));
    }
    for call in calls {
        let _ = call.join();
    }
    let streams = streams.lock().unwrap();
    let mut mixed = Vec::new();
    for (id, events) in streams.iter() {
        let versions: BTreeSet<&str> = events.iter().map(|event| event.1.as_str()).collect();
        let change = events.windows(2).find(|pair| pair[0].1 != pair[1].1);
        if let Some(pair) = change.filter(|_| versions.len() > 1) {
            let text = format!(
                "event {} by {} of {}, event {} by {} of {}",
                pair[0].0, pair[0].2, pair[0].1, pair[1].0, pair[1].2, pair[1].1
            );
            fleet.record.add(
                "judge",
                &format!("{id} holds events of two versions: {text}"),
            );
            mixed.push(id.clone());
        }
    }
    let text = format!(
        "{} streams, {} with events of two versions (allowed: {ALLOWED}): {}",
        streams.len(),
        mixed.len(),
        mixed.join(" ")
    );
    if mixed.len() > ALLOWED {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}
