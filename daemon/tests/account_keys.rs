//! Keys of client accounts at a real gateway, from the caller to the upstream.

use std::path::Path;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use quetzalpin_platform_soak::{
    FleetConfig, FleetSize, SoakFleet, StoreFault, WorkerKind, WorkerStandin, encode_catalog,
    encoded,
};
use serde_json::{Value, json};

const SIZE: FleetSize = FleetSize {
    gateways: 1,
    engines: 1,
    plain_workers: 1,
};

/// Keys that must show nowhere but in callers' requests and in the configuration.
const FIRST_KEY: &str = "kSECRET-first-4f1e77a0c2";
const SECOND_KEY: &str = "kSECRET-second-91bd3f06e8";

/// Part of both keys.
const KEY_PART: &str = "SECRET";

/// Longest time for an exchange.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(10);

/// Time from the acknowledgement of a configuration until it binds.
const APPLY_LIMIT: Duration = Duration::from_secs(4);

/// Bytes of a body that is announced and never sent.
const UNSENT_BYTES: usize = 4_096;

/// Bytes of a body that does not fit into the buffers of a connection.
const LARGE_BYTES: usize = 900_000;

/// Milliseconds between two checks of a condition.
const POLL_MS: u64 = 20;

/// A caller's connection, which is kept between requests.
struct KeptConnection(TcpStream);

impl KeptConnection {
    async fn open(fleet: &SoakFleet) -> Self {
        let address = fleet.gateways[0].process.address;
        Self(TcpStream::connect(address).await.expect("a connection"))
    }

    async fn send(&mut self, bytes: Vec<u8>) {
        self.0.write_all(bytes).await.0.expect("a sent request");
    }

    /// Status and head of the next answer; its body is read, too.
    async fn receive(&mut self) -> (u16, String) {
        let receiving = compio::time::timeout(EXCHANGE_LIMIT, self.read_answer());
        receiving.await.expect("an answer in time")
    }

    async fn read_answer(&mut self) -> (u16, String) {
        let mut text = String::new();
        loop {
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let length = head
                    .lines()
                    .find_map(|line| line.strip_prefix("content-length: "));
                if body.len() >= length.map_or(0, |length| length.parse().expect("a length")) {
                    let status = head.split(' ').nth(1).expect("a status");
                    return (status.parse().expect("a number"), head.to_owned());
                }
            }
            let BufResult(result, bytes) = self.0.read(Vec::with_capacity(4_096)).await;
            assert!(result.expect("no reset") > 0, "closed after {text:?}");
            text.push_str(&String::from_utf8_lossy(&bytes));
        }
    }

    /// Connects to a gateway that starts.
    async fn open_when_listening(fleet: &SoakFleet) -> Self {
        let address = fleet.gateways[0].process.address;
        let deadline = Instant::now() + EXCHANGE_LIMIT;
        loop {
            match TcpStream::connect(address).await {
                Ok(stream) => return Self(stream),
                Err(error) => assert!(Instant::now() < deadline, "{error}"),
            }
            compio::time::sleep(Duration::from_millis(POLL_MS)).await;
        }
    }

    /// Sends a request with a body, and returns the status of its answer.
    async fn call(&mut self, route: &str, headers: &str) -> u16 {
        let id = new_id();
        self.send(request(&id, route, headers, &id)).await;
        self.receive().await.0
    }
}

fn new_id() -> String {
    format!("case-{:016x}", fastrand::u64(..))
}

fn request(id: &str, route: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("{}{body}", head(id, route, headers, length)).into_bytes()
}

fn head(id: &str, route: &str, headers: &str, length: usize) -> String {
    format!(
        "POST /{route}/x HTTP/1.1\r\nhost: {}\r\nrequest-id: {id}\r\ndeadline-ms: 6000\r\n\
         {headers}content-length: {length}\r\n\r\n",
        FleetConfig::HOST
    )
}

fn key(key: &str) -> String {
    format!("authorization: Token {key}\r\n")
}

/// Writes a version of the configuration with these accounts; the route `lookup` is exempt.
fn put_accounts(fleet: &SoakFleet, version: u64, accounts: &Value) {
    let text = encode_catalog(1);
    let bytes = STANDARD.decode(text).expect("base64");
    let mut catalog: Value = serde_json::from_slice(&bytes).expect("a configuration");
    catalog["version"] = json!(version);
    catalog["tenants"] = accounts.clone();
    let routes = catalog["routes"].as_array_mut().expect("routes");
    let route = routes.iter_mut().find(|route| route["name"] == "lookup");
    route.expect("the route")["authExempt"] = json!(true);
    fleet.store.state.put("op", "config", encoded(&catalog));
}

/// Writes a version of the configuration and waits until it is in force.
async fn apply_accounts(fleet: &SoakFleet, version: u64, accounts: &Value) {
    put_accounts(fleet, version, accounts);
    let line = format!("\"configuration in force\",\"version\":{version},");
    fleet.wait_for_log(&line, 1).await;
}

fn plain_worker(fleet: &SoakFleet) -> &WorkerStandin {
    let mut workers = fleet.workers.iter().map(|worker| &worker.worker.state);
    let worker = workers.find(|worker| worker.kind == WorkerKind::Plain);
    worker.expect("a plain worker")
}

/// The account that the upstream was told with the latest request.
fn told_account(fleet: &SoakFleet) -> Option<String> {
    let worker = plain_worker(fleet);
    let headers = worker.last_headers.borrow();
    let names: Vec<_> = headers.get_all("tenant").iter().collect();
    assert!(names.len() <= 1, "{names:?}");
    let name = names.first()?.to_str().expect("text");
    Some(name.to_owned())
}

/// Checks that no key is in the latest request's headers, in the logs or in the metrics.
async fn assert_no_key_shows(fleet: &SoakFleet) {
    let headers = format!("{:?}", plain_worker(fleet).last_headers.borrow());
    assert!(!headers.contains("authorization"), "{headers}");
    let mut metrics = fleet.gateways[0].process.address;
    metrics.set_port(metrics.port() + 3);
    let mut stream = TcpStream::connect(metrics).await.expect("a connection");
    let request = "GET /metrics HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
    let sending = stream.write_all(request.as_bytes().to_vec());
    sending.await.0.expect("a sent request");
    let (_, metrics) = compio::io::AsyncReadExt::read_to_end(&mut stream, Vec::new())
        .await
        .expect("the metrics");
    let metrics = String::from_utf8_lossy(&metrics).into_owned();
    assert!(metrics.contains("quetzalpin_key_checks_total"), "{metrics}");
    for text in [headers, metrics, fleet.gateways[0].process.log()] {
        assert!(!text.contains(KEY_PART), "{text}");
    }
}

fn with_fleet(case: impl AsyncFnOnce(SoakFleet)) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let daemon = Path::new(env!("CARGO_BIN_EXE_quetzalpind"));
        let spawning = SoakFleet::spawn_ready(daemon, SIZE);
        case(spawning.await.expect("a ready fleet")).await;
    });
}

fn both_accounts() -> Value {
    json!([
        {"name": "first", "apiKeys": [FIRST_KEY]},
        {"name": "second", "apiKeys": [SECOND_KEY], "priority": 0},
    ])
}

/// Guards against a key that reaches the upstream, a log line or a metric, and against an upstream
/// that is told an account which the caller made up.
#[test]
fn the_upstream_is_told_the_account_and_never_the_key() {
    with_fleet(async |fleet: SoakFleet| {
        let mut caller = KeptConnection::open(&fleet).await;
        let forged = "tenant: forged\r\n";
        // Without accounts, both headers pass.
        let both = format!("{forged}authorization: Token own\r\n");
        assert_eq!(caller.call("stamp", &both).await, 200);
        assert_eq!(told_account(&fleet).as_deref(), Some("forged"));
        let headers = plain_worker(&fleet).last_headers.borrow().clone();
        assert_eq!(headers["authorization"], "Token own");

        apply_accounts(&fleet, 2, &both_accounts()).await;
        let cases = [
            ("stamp", key(FIRST_KEY), 200, Some("first")),
            (
                "stamp",
                format!("{forged}{}", key(SECOND_KEY)),
                200,
                Some("second"),
            ),
            (
                "lookup",
                format!("{}{forged}", key(FIRST_KEY)),
                200,
                Some("first"),
            ),
            (
                "lookup",
                format!("{forged}{}", key("kSECRET-other")),
                200,
                None,
            ),
            ("lookup", forged.to_owned(), 200, None),
            (
                "lookup",
                format!("connection: authorization\r\n{}", key(FIRST_KEY)),
                200,
                Some("first"),
            ),
        ];
        for (route, headers, status, account) in cases {
            assert_eq!(
                caller.call(route, &headers).await,
                status,
                "{route} {headers}"
            );
            assert_eq!(
                told_account(&fleet).as_deref(),
                account,
                "{route} {headers}"
            );
            assert_no_key_shows(&fleet).await;
        }
        let attempt = "\"route\":\"stamp\",\"config\":2,\"account\":\"second\"";
        fleet.wait_for_log(attempt, 1).await;
    });
}

/// Guards against a request that is served without a known key, against a panic on a malformed one,
/// and against a refusal that its log line doesn't explain.
#[test]
fn a_request_without_a_known_key_is_refused() {
    with_fleet(async |fleet: SoakFleet| {
        apply_accounts(&fleet, 2, &both_accounts()).await;
        let large_key = "k".repeat(8_192);
        let cases = [
            (String::new(), "missing_key"),
            (key("kSECRET-other"), "unknown_key"),
            (key(&FIRST_KEY[..FIRST_KEY.len() - 1]), "unknown_key"),
            (key(""), "unknown_key"),
            (key("cl\u{e9}"), "unknown_key"),
            (key(&large_key), "unknown_key"),
            (
                format!("{}{}", key(FIRST_KEY), key(FIRST_KEY)),
                "unknown_key",
            ),
            (
                format!("authorization: Bearer {FIRST_KEY}\r\n"),
                "unknown_key",
            ),
        ];
        let mut caller = KeptConnection::open(&fleet).await;
        for (headers, reason) in cases {
            let id = new_id();
            caller.send(request(&id, "stamp", &headers, &id)).await;
            let (status, head) = caller.receive().await;
            assert_eq!(status, 401, "{headers}");
            assert!(head.contains("www-authenticate: Token"), "{head}");
            fleet.wait_for_log(&id, 1).await;
            let log = fleet.gateways[0].process.log();
            let line = log.lines().find(|line| line.contains(&id)).expect("a line");
            let expected = format!("\"reason\":\"{reason}\"");
            assert!(
                line.contains("\"refused\"") && line.contains(&expected),
                "{line}"
            );
            assert_eq!(fleet.audit.runs(&id), 0);
            assert_eq!(
                caller.call("lookup", &headers).await,
                200,
                "exempt: {headers}"
            );
            assert_no_key_shows(&fleet).await;
        }
        // Without a route there is nothing that needs a key.
        assert_eq!(caller.call("nowhere", "").await, 404);
        assert_eq!(caller.call("nowhere", &key(FIRST_KEY)).await, 404);
        assert_eq!(caller.call("stamp", &key(FIRST_KEY)).await, 200);
    });
}

/// Guards against a refusal that waits for the body, and against a caller that sees a reset instead
/// of the refusal because it still sends its body.
#[test]
fn a_refusal_does_not_wait_for_the_body() {
    with_fleet(async |fleet: SoakFleet| {
        apply_accounts(&fleet, 2, &both_accounts()).await;
        let mut caller = KeptConnection::open(&fleet).await;
        let announced = head(&new_id(), "stamp", "", UNSENT_BYTES);
        caller.send(announced.into_bytes()).await;
        assert_eq!(caller.receive().await.0, 401);

        let mut caller = KeptConnection::open(&fleet).await;
        let announced = head(&new_id(), "stamp", "expect: 100-continue\r\n", UNSENT_BYTES);
        caller.send(announced.into_bytes()).await;
        assert_eq!(caller.receive().await.0, 401);

        let mut caller = KeptConnection::open(&fleet).await;
        let body = "x".repeat(LARGE_BYTES);
        caller.send(request(&new_id(), "stamp", "", &body)).await;
        assert_eq!(caller.receive().await.0, 401);
        assert_eq!(caller.call("stamp", &key(FIRST_KEY)).await, 200);
    });
}

/// Guards against a revoked key that goes on on a kept connection, a new key that is not known in
/// time, a version that returns, and a faulty version that ends or replaces the last good one.
#[test]
fn a_revoked_key_is_refused_on_a_kept_connection() {
    with_fleet(async |fleet: SoakFleet| {
        apply_accounts(&fleet, 2, &both_accounts()).await;
        let mut caller = KeptConnection::open(&fleet).await;
        assert_eq!(caller.call("stamp", &key(FIRST_KEY)).await, 200);
        let revoked = json!([{"name": "first", "apiKeys": ["kSECRET-new"]}]);
        put_accounts(&fleet, 3, &revoked);
        let deadline = Instant::now() + APPLY_LIMIT;
        while caller.call("stamp", &key(FIRST_KEY)).await != 401 {
            assert!(Instant::now() < deadline, "the key is still known");
            compio::time::sleep(Duration::from_millis(POLL_MS)).await;
        }
        assert_eq!(caller.call("stamp", &key("kSECRET-new")).await, 200);
        assert_eq!(caller.call("stamp", &key(SECOND_KEY)).await, 401);

        // The older version comes back, and then a newer one in which two accounts share a key.
        put_accounts(&fleet, 2, &both_accounts());
        let shared = json!([
            {"name": "first", "apiKeys": [FIRST_KEY]}, {"name": "second", "apiKeys": [FIRST_KEY]},
        ]);
        put_accounts(&fleet, 4, &shared);
        fleet.wait_for_log("\"configuration rejected\"", 1).await;
        assert_eq!(caller.call("stamp", &key(FIRST_KEY)).await, 401);
        assert_eq!(caller.call("stamp", &key("kSECRET-new")).await, 200);
        let log = fleet.gateways[0].process.log();
        let mut lines = log.lines();
        let line = lines.find(|line| line.contains("\"configuration rejected\""));
        let line = line.expect("a line");
        assert!(
            line.contains("second") && line.contains("apiKeys"),
            "{line}"
        );
        assert_no_key_shows(&fleet).await;
    });
}

/// Guards against a request that reaches the upstream although its key was revoked while its body
/// arrived.
#[test]
fn a_key_that_is_revoked_before_the_body_has_arrived_is_refused() {
    with_fleet(async |fleet: SoakFleet| {
        apply_accounts(&fleet, 2, &both_accounts()).await;
        let requests = [
            (new_id(), "stamp", FIRST_KEY, 401),
            (new_id(), "stamp", SECOND_KEY, 200),
            (new_id(), "lookup", FIRST_KEY, 200),
        ];
        let mut callers = Vec::new();
        for (id, route, request_key, _) in &requests {
            let mut caller = KeptConnection::open(&fleet).await;
            let head = head(id, route, &key(request_key), id.len());
            caller.send(head.into_bytes()).await;
            callers.push(caller);
        }
        let revoked = json!([{"name": "second", "apiKeys": [SECOND_KEY]}]);
        apply_accounts(&fleet, 3, &revoked).await;
        for (mut caller, (id, route, _, status)) in callers.into_iter().zip(requests) {
            caller.send(id.clone().into_bytes()).await;
            assert_eq!(caller.receive().await.0, status, "{route}");
            assert_eq!(fleet.audit.runs(&id), u32::from(status == 200));
        }
    });
}

/// Guards against keys that are refused by a process that knows none, because it has no
/// configuration.
#[test]
fn a_process_without_a_configuration_does_not_answer_401() {
    with_fleet(async |mut fleet: SoakFleet| {
        apply_accounts(&fleet, 2, &both_accounts()).await;
        fleet.store.state.fault.set(StoreFault::Reset);
        fleet.gateways[0].kill();
        fleet.gateways[0].start_if_ended().expect("a start");
        let mut caller = KeptConnection::open_when_listening(&fleet).await;
        assert_eq!(caller.call("stamp", "").await, 503);
        assert_eq!(caller.call("stamp", &key(FIRST_KEY)).await, 503);
        fleet.end_store_fault();
        let deadline = Instant::now() + EXCHANGE_LIMIT;
        while caller.call("stamp", "").await != 401 {
            assert!(Instant::now() < deadline, "still no configuration");
            compio::time::sleep(Duration::from_millis(POLL_MS)).await;
        }
    });
}
