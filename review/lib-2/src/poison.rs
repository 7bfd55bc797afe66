//! A request that crashes each worker that begins to run it, and comes again.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{CONTACT_MS, ClientRequest, Event, Fleet, WorkerPlan, config};
use crate::worker::{CRASH, CRASH_IN_ANSWER};

/// Arrivals at workers that the rule allows later than `contactMs` after the third crash.
const ALLOWED: usize = 3;
/// Gateways of the small deployment, and those with its spare machines.
const GATEWAYS: usize = 5;
const ALL_GATEWAYS: usize = 8;
const WORKERS: usize = 8;
const RESTART_MS: u64 = 2_000;

fn open(record: &Path, gateways: usize) -> Result<Arc<Fleet>, Verdict> {
    let fleet = Fleet::open(record, gateways);
    fleet.store.put("op", "config", &config(1));
    for number in 1..=WORKERS {
        fleet.spawn_worker(
            number,
            WorkerPlan {
                service: "pressroom".to_owned(),
                kind: "app".to_owned(),
                restart_ms: RESTART_MS,
                lives_ms: Vec::new(),
                keeps_id: false,
                versions: vec!["v1".to_owned()],
            },
        );
    }
    std::thread::sleep(Duration::from_millis(500));
    fleet.start_gateways();
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Err(Verdict::NotRun(
            "the gateways did not become ready".to_owned(),
        ));
    }
    // Two heartbeats and the time after which the machines are in touch.
    std::thread::sleep(Duration::from_millis(CONTACT_MS + 500));
    Ok(Arc::new(fleet))
}

/// Ordinary requests beside the others, for the record.
fn spawn_callers(fleet: &Arc<Fleet>, is_over: &Arc<AtomicBool>) -> std::thread::JoinHandle<()> {
    let (fleet, is_over) = (Arc::clone(fleet), Arc::clone(is_over));
    std::thread::spawn(move || {
        let mut number = 0;
        while !is_over.load(Ordering::Relaxed) {
            let is_order = number % 2 == 0;
            let request = ClientRequest {
                id: format!("c{number:05}"),
                method: "POST",
                path: if is_order { "/order/new" } else { "/status/of" }.to_owned(),
                headers: Vec::new(),
                body: format!("ordinary {number}"),
                deadline_ms: 3_000,
            };
            let (sender, index) = (Arc::clone(&fleet), number % GATEWAYS);
            std::thread::spawn(move || sender.call(index, &request));
            number += 1;
            std::thread::sleep(Duration::from_millis(100));
        }
        std::thread::sleep(Duration::from_millis(3_600));
    })
}

fn send(fleet: &Arc<Fleet>, index: usize, number: usize, body: &str) {
    let request = ClientRequest {
        id: format!("p{number:05}"),
        method: "POST",
        path: "/status/of".to_owned(),
        headers: Vec::new(),
        body: body.to_owned(),
        deadline_ms: 3_000,
    };
    let sender = Arc::clone(fleet);
    std::thread::spawn(move || sender.call(index, &request));
}

/// Judges the rule from what workers have seen. `is_in_touch` says whether the machine that passed the attempt on
/// counted at that time.
fn judge(events: &[Event], began_ms: u64, is_in_touch: impl Fn(&str, u64) -> bool) -> Verdict {
    let crashes: Vec<&Event> = events
        .iter()
        .filter(|event| event.text.starts_with("crash p"))
        .collect();
    let runs: Vec<&Event> = events
        .iter()
        .filter(|event| event.text.starts_with("run p"))
        .collect();
    let seconds = |at_ms: u64| (at_ms - began_ms) as f64 / 1_000.0;
    let Some(third) = crashes.get(2) else {
        return Verdict::Held(format!(
            "{} arrivals, {} crashes; no third crash",
            runs.len(),
            crashes.len()
        ));
    };
    let from_ms = third.at_ms + CONTACT_MS;
    let late: Vec<&&Event> = runs
        .iter()
        .filter(|run| {
            let id = run.text.split(' ').nth(1).unwrap_or("");
            run.at_ms > from_ms && is_in_touch(id, run.at_ms)
        })
        .collect();
    let times: Vec<String> = late
        .iter()
        .map(|run| format!("{:.1}", seconds(run.at_ms)))
        .collect();
    let orders = |ends: &str| {
        events
            .iter()
            .filter(|event| event.text.starts_with("c0") && event.text.contains(ends))
            .count()
    };
    let text = format!(
        "third crash at {:.1} s, {} crashes in all; {} arrivals at workers later than contactMs after it (allowed: {ALLOWED}), at {} s; ordinary requests: {} got 200, {} got 502, {} got no answer",
        seconds(third.at_ms),
        crashes.len(),
        late.len(),
        times.join(", "),
        orders("got 200 whole"),
        orders("got 502"),
        orders("got no answer")
    );
    if late.len() > ALLOWED {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}

/// The worker crashes after it has written the head of its answer.
pub fn in_answer(record: &Path, has_trouble: bool) -> Verdict {
    let fleet = match open(record, GATEWAYS) {
        Ok(fleet) => fleet,
        Err(verdict) => return verdict,
    };
    let is_over = Arc::new(AtomicBool::new(false));
    let callers = spawn_callers(&fleet, &is_over);
    let body = if has_trouble {
        CRASH_IN_ANSWER
    } else {
        "sound"
    };
    for number in 0..24 {
        send(&fleet, number % GATEWAYS, number, body);
        std::thread::sleep(Duration::from_millis(1_500));
    }
    is_over.store(true, Ordering::Relaxed);
    let _ = callers.join();
    // Nothing but the workers was disturbed: all machines are in touch.
    judge(&fleet.record.events(), fleet.record.began_ms(), |_, _| true)
}

/// The machines are stopped and started in turn while the request keeps coming.
pub fn restarts(record: &Path, has_trouble: bool) -> Verdict {
    let fleet = match open(record, GATEWAYS) {
        Ok(fleet) => fleet,
        Err(verdict) => return verdict,
    };
    let is_over = Arc::new(AtomicBool::new(false));
    let callers = spawn_callers(&fleet, &is_over);
    let sending = {
        let (fleet, is_over) = (Arc::clone(&fleet), Arc::clone(&is_over));
        std::thread::spawn(move || {
            // The first ones come at all machines at once.
            for number in 0..GATEWAYS {
                send(&fleet, number, number, CRASH);
            }
            let mut number = GATEWAYS;
            while !is_over.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(700));
                // Then at one machine after the other, of those that are in touch.
                let index = number % GATEWAYS;
                if fleet.runs_for_ms(index) > CONTACT_MS + 300 {
                    send(&fleet, index, number, CRASH);
                }
                number += 1;
            }
        })
    };
    std::thread::sleep(Duration::from_secs(8));
    for index in 0..GATEWAYS {
        if has_trouble {
            fleet.restart_gateway(index);
        }
        std::thread::sleep(Duration::from_millis(8_500));
    }
    is_over.store(true, Ordering::Relaxed);
    let _ = sending.join();
    let _ = callers.join();
    let events = fleet.record.events();
    let gateway_of = |id: &str| {
        let number: usize = id.trim_start_matches('p').parse().unwrap_or(0);
        format!("edge-a-{}", number % GATEWAYS + 1)
    };
    // In touch: the process ran, with no start and no SIGTERM, for the whole `contactMs` before.
    let is_in_touch = |id: &str, at_ms: u64| {
        let gateway = gateway_of(id);
        let disturbances = events.iter().filter(|event| event.who == gateway);
        !disturbances
            .clone()
            .any(|event| event.at_ms <= at_ms && event.at_ms + CONTACT_MS >= at_ms)
    };
    judge(&events, fleet.record.began_ms(), is_in_touch)
}

/// The request keeps coming at all machines for longer than a minute.
pub fn for_long(record: &Path, has_trouble: bool) -> Verdict {
    let fleet = match open(record, ALL_GATEWAYS) {
        Ok(fleet) => fleet,
        Err(verdict) => return verdict,
    };
    let is_over = Arc::new(AtomicBool::new(false));
    let callers = spawn_callers(&fleet, &is_over);
    let body = if has_trouble { CRASH } else { "sound" };
    let until = Instant::now() + Duration::from_secs(72);
    let mut number = 0;
    while Instant::now() < until {
        for index in 0..ALL_GATEWAYS {
            send(&fleet, index, number, body);
            number += 1;
        }
        std::thread::sleep(Duration::from_millis(250));
    }
    is_over.store(true, Ordering::Relaxed);
    let _ = callers.join();
    judge(&fleet.record.events(), fleet.record.began_ms(), |_, _| true)
}
