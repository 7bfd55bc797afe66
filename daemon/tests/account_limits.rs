//! Limits of client accounts at three real gateways, from the caller to the upstream.

use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use quetzalpin_platform_soak::{FleetConfig, FleetSize, SoakFleet, encode_catalog, encoded};
use serde_json::{Value, json};

const SIZE: FleetSize = FleetSize {
    gateways: 3,
    engines: 1,
    plain_workers: 2,
};

/// Limit of the account and what the settings of the test fleet add to it.
const PER_S: f64 = 5.0;
const BURST: f64 = 5.0;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

/// Length of the checked window.
const WINDOW: Duration = Duration::from_secs(8);

/// Time for which the callers send requests.
const SENDING: Duration = Duration::from_secs(14);

/// Longest time for an exchange.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(10);

/// One answered request.
struct Exchange {
    id: String,
    status: u16,
    head: String,
    sent_at: Instant,
    took: Duration,
}

async fn exchange(fleet: &SoakFleet, gateway: usize, key: &str) -> Exchange {
    let id = format!("case-{:016x}", fastrand::u64(..));
    let sent_at = Instant::now();
    let exchanging = call(fleet, gateway, key, &id);
    let text = compio::time::timeout(EXCHANGE_LIMIT, exchanging).await;
    let head = text.expect("an answer in time");
    let status = head.split(' ').nth(1).expect("a status");
    Exchange {
        status: status.parse().expect("a number"),
        id,
        head,
        sent_at,
        took: sent_at.elapsed(),
    }
}

/// Sends a request and returns its answer.
async fn call(fleet: &SoakFleet, gateway: usize, key: &str, id: &str) -> String {
    let address = fleet.gateways[gateway].process.address;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let request = format!(
        "POST /stamp/x HTTP/1.1\r\nhost: {}\r\nrequest-id: {id}\r\ndeadline-ms: 6000\r\n\
         authorization: Token {key}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{id}",
        FleetConfig::HOST,
        id.len()
    );
    let sending = stream.write_all(request.into_bytes()).await;
    sending.0.expect("a sent request");
    let mut text = String::new();
    loop {
        let BufResult(result, bytes) = stream.read(Vec::with_capacity(4_096)).await;
        if result.expect("no reset") == 0 {
            return text;
        }
        text.push_str(&String::from_utf8_lossy(&bytes));
    }
}

/// Writes a configuration with two accounts and waits until all gateways have it in force.
async fn apply_accounts(fleet: &SoakFleet, version: u64, per_s: f64) {
    let bytes = STANDARD.decode(encode_catalog(1)).expect("base64");
    let mut catalog: Value = serde_json::from_slice(&bytes).expect("a configuration");
    catalog["version"] = json!(version);
    catalog["tenants"] = json!([
        {"name": "limited", "apiKeys": ["key-limited"], "ratePerS": per_s, "burst": BURST},
        {"name": "free", "apiKeys": ["key-free"]},
    ]);
    fleet.store.state.put("op", "config", encoded(&catalog));
    let line = format!("\"configuration in force\",\"version\":{version},");
    fleet.wait_for_log(&line, 1).await;
}

fn with_fleet(case: impl AsyncFnOnce(Rc<SoakFleet>)) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let daemon = Path::new(env!("CARGO_BIN_EXE_quetzalpind"));
        let spawning = SoakFleet::spawn_ready(daemon, SIZE);
        case(Rc::new(spawning.await.expect("a ready fleet"))).await;
    });
}

/// Sends requests with a key to all gateways, each sender one after another.
async fn send_all(
    fleet: &Rc<SoakFleet>,
    key: &'static str,
    senders: usize,
    pause_ms: u64,
) -> Vec<Exchange> {
    let tasks = (0..senders).map(|sender| {
        let fleet = Rc::clone(fleet);
        compio::runtime::spawn(async move {
            let began_at = Instant::now();
            let mut exchanges = Vec::new();
            while began_at.elapsed() < SENDING {
                exchanges.push(exchange(&fleet, sender % SIZE.gateways, key).await);
                compio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
            exchanges
        })
    });
    let tasks: Vec<_> = tasks.collect();
    let mut exchanges = Vec::new();
    for task in tasks {
        exchanges.extend(task.await.expect("a sender"));
    }
    exchanges
}

/// Guards against requests beyond the limit that reach an upstream, against a refusal without a true
/// `Retry-After`, and against one account whose queue delays another.
#[test]
fn an_account_gets_its_limit_over_all_gateways() {
    with_fleet(async |fleet: Rc<SoakFleet>| {
        apply_accounts(&fleet, 2, PER_S).await;
        let free = {
            let fleet = Rc::clone(&fleet);
            compio::runtime::spawn(async move { send_all(&fleet, "key-free", 3, 200).await })
        };
        let exchanges = send_all(&fleet, "key-limited", 12, 150).await;
        let free = free.await.expect("a sender");
        assert!(free.iter().all(|exchange| exchange.status == 200));

        let mut served: Vec<_> = exchanges
            .iter()
            .filter(|exchange| exchange.status == 200)
            .collect();
        served.sort_by_key(|exchange| exchange.sent_at + exchange.took);
        let refused: Vec<_> = exchanges
            .iter()
            .filter(|exchange| exchange.status != 200)
            .collect();
        println!("{} served, {} refused", served.len(), refused.len());
        let allowed = (PER_S * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERAGE) + SLACK;
        let ends: Vec<_> = served
            .iter()
            .map(|exchange| exchange.sent_at + exchange.took)
            .collect();
        for (index, begin) in ends.iter().enumerate() {
            let later = ends[index..].iter().filter(|end| **end < *begin + WINDOW);
            let count = u32::try_from(later.count()).expect("a small count");
            assert!(f64::from(count) <= allowed, "{count} of {allowed}");
        }
        let expected = PER_S * SENDING.as_secs_f64() * 0.9;
        let count = u32::try_from(served.len()).expect("a small count");
        assert!(f64::from(count) >= expected, "{count} of {expected}");
        assert!(!refused.is_empty());
        for exchange in refused {
            assert_eq!(exchange.status, 429, "{}", exchange.head);
            assert!(exchange.head.contains("retry-after: "), "{}", exchange.head);
            assert_eq!(fleet.audit.runs(&exchange.id), 0);
            let logs: Vec<_> = fleet
                .gateways
                .iter()
                .map(|gateway| gateway.process.log())
                .collect();
            let mut lines = logs.iter().flat_map(|log| log.lines());
            let line =
                lines.find(|line| line.contains(&exchange.id) && line.contains("\"refused\""));
            let line = line.expect("a line for each refusal");
            assert!(
                line.contains("\"reason\":\"AccountLimit\"")
                    && line.contains("\"account\":\"limited\""),
                "{line}"
            );
        }
        // Only the planner knows of the whole account.
        let logs = fleet.gateways.iter().map(|gateway| gateway.process.log());
        let text = "\"account exhausted\",\"account\":\"limited\"";
        assert!(logs.into_iter().any(|log| log.contains(text)));
    });
}
