//! Case: the store comes back from a copy that is older than the first lease, and the gateways start
//! again at the same time.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Gateway, HOST, ModelWorker, Orders, Record, catalog, route};
use crate::http;
use crate::json;
use crate::store::{Store, StoreMode};

const GATEWAYS: usize = 5;
const WORKERS: usize = 6;
const MODELS: usize = 30;

/// Milliseconds for which the holders of orders to one worker must not take turns (`leaseMs`).
const TURN_MS: u128 = 3_000;

/// Milliseconds from the start of the gateways to the drill.
const DRILL_AT_MS: u64 = 7_000;

/// Milliseconds by which the copy is older than the drill.
const COPY_AGE_MS: u64 = 8_500;

/// Milliseconds for which the store is away.
const AWAY_MS: u64 = 1_000;

/// Milliseconds from the kill to the restart of the processes, and further ones of the holder's.
const RESTART_MS: u64 = 600;
const HOLDER_RESTART_MS: u64 = 1_400;

/// Runs the case. Returns the exit status of the script.
pub fn run(record: &Record, scratch: &Path, has_trouble: bool) -> i32 {
    let store = Store::spawn();
    let names: Vec<String> = (0..MODELS).map(|number| format!("m{number}")).collect();
    let models: Vec<&str> = names.iter().map(String::as_str).collect();
    let routes = [route("r-chat", "/chat/", "streaming", "huvo11a", false)];
    store.put("op", "config", &catalog(7, &routes, &models));
    let orders = Orders::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let workers: Vec<ModelWorker> = (0..WORKERS)
        .map(|number| {
            let held = &models[number * 2..number * 2 + 2];
            ModelWorker::spawn(&format!("i-{number}"), held, &orders)
        })
        .collect();
    for worker in &workers {
        worker.register(&store, &is_over);
    }
    // The copy is of a time at which the configuration and the workers were there.
    thread::sleep(Duration::from_millis(3_000));
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
    let began = Instant::now();
    for gateway in &gateways {
        if !gateway.wait_ready(Duration::from_secs(5)) {
            record.write("a gateway did not get ready");
            return 2;
        }
    }
    // Clients ask for models that are not loaded.
    for (index, gateway) in gateways.iter().enumerate() {
        let (front, is_over) = (gateway.front, Arc::clone(&is_over));
        thread::spawn(move || {
            let mut number = index * 7;
            while !is_over.load(Ordering::Relaxed) {
                number += 1;
                let model = (number * 11) % MODELS;
                let request = format!(
                    "POST /chat/x HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {index:x}{number:06x}\r\n\
                     deadline-ms: 6000\r\nmodel: m{model}\r\ntoken-counts: 100,20\r\n\
                     prompt-prefix: 5c1e07a2:50,{number:08x}:50\r\ncontent-length: 0\r\n\r\n"
                );
                thread::spawn(move || {
                    http::call(front, request.as_bytes(), Duration::from_secs(7));
                });
                thread::sleep(Duration::from_millis(250));
            }
        });
    }
    let wait = Duration::from_millis(DRILL_AT_MS).saturating_sub(began.elapsed());
    thread::sleep(wait);
    if has_trouble {
        let holder = store.own_row("lease/planner").unwrap_or_default();
        let holder = json::parse(&holder).get("holder").text().to_owned();
        record.write(format!(
            "the lease's row names {holder}; the store goes away"
        ));
        store.set_mode(StoreMode::Away);
        for gateway in &mut gateways {
            if let Some(process) = &mut gateway.process {
                process.kill();
            }
        }
        record.write("all gateways are killed");
        thread::sleep(Duration::from_millis(RESTART_MS));
        for gateway in gateways.iter_mut().filter(|it| it.name != holder) {
            gateway.start();
        }
        thread::sleep(Duration::from_millis(AWAY_MS - RESTART_MS));
        store.restore(Duration::from_millis(COPY_AGE_MS));
        store.set_mode(StoreMode::Up);
        record.write(format!(
            "the store is back from a copy {COPY_AGE_MS} ms old; its lease row: {:?}",
            store.own_row("lease/planner")
        ));
        thread::sleep(Duration::from_millis(
            (RESTART_MS + HOLDER_RESTART_MS).saturating_sub(AWAY_MS),
        ));
        for gateway in gateways.iter_mut().filter(|it| it.name == holder) {
            gateway.start();
        }
        record.write("all gateways run again");
    }
    thread::sleep(Duration::from_millis(9_000));
    is_over.store(true, Ordering::Relaxed);
    let seen = orders.lock().unwrap().clone();
    let mut last: BTreeMap<String, (String, u64, Instant)> = BTreeMap::new();
    let mut broken = Vec::new();
    for order in &seen {
        let at_ms = order.at.duration_since(record.began).as_millis();
        let text = format!(
            "{at_ms:>6} ms {} gets \"{}\" from {} with token {}",
            order.worker, order.text, order.holder, order.fence
        );
        record.write(&text);
        if let Some((holder, fence, at)) = last.get(&order.worker) {
            let since_ms = order.at.duration_since(*at).as_millis();
            if *holder != order.holder && since_ms < TURN_MS {
                broken.push(format!("{text}, {since_ms} ms after one from {holder}"));
            }
            if order.fence < *fence || (order.fence == *fence && *holder != order.holder) {
                broken.push(format!("{text}, after token {fence} of {holder}"));
            }
        }
        last.insert(
            order.worker.clone(),
            (order.holder.clone(), order.fence, order.at),
        );
    }
    for line in &broken {
        record.write(format!("two holders: {line}"));
    }
    for (at_ms, era, text) in store.writes() {
        if text.contains("lease/planner") {
            record.write(format!("store, {at_ms} ms, era {era}: {text}"));
        }
    }
    record.write(format!(
        "{} orders, {} break the rule",
        seen.len(),
        broken.len()
    ));
    if seen.is_empty() {
        return 2;
    }
    i32::from(!broken.is_empty())
}
