//! Clients that a gateway cannot control: its memory, its descriptors, and ordinary requests.

mod client_sets;
mod limited;

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use client_sets::{
    ClientSet, TargetRequest, assert_excess_is_not_read, assert_large_is_served_beside, try_clients,
};
use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use limited::{LimitedDaemon, take_turn};
use quetzalpin_platform_soak::{
    CallKind, CallOutcome, FleetConfig, FleetSize, SoakCall, SoakFleet, USUAL_PROMPT, call_gateway,
    encode_catalog, encoded,
};
use rstest::rstest;
use serde_json::{Value, json};

const SIZE: FleetSize = FleetSize {
    gateways: 1,
    engines: 1,
    plain_workers: 1,
};

/// Size in bytes of a large body; the configuration allows a little more.
const BODY_BYTES: usize = 1_000_000;

/// Largest body in bytes that the gateway takes.
const LIMIT_BYTES: usize = 1_048_576;

/// Timeout of all routes in milliseconds: longer than a test, so that no deadline ends a body.
const TIMEOUT_MS: u64 = 40_000;

/// Number of events of a stream that takes longer than a test.
const LONG_EVENTS: u32 = 4_000;

/// Time between two checks whether the configuration is in force, and their largest number.
const CATALOG_POLL: Duration = Duration::from_millis(100);
const CATALOG_POLLS: u32 = 100;

/// Starts a gateway whose configuration has long timeouts.
async fn spawn_gateway(daemon: &LimitedDaemon) -> SoakFleet {
    let fleet = SoakFleet::spawn_ready(&daemon.path, SIZE);
    let fleet = fleet.await.expect("a ready fleet");
    let version = fleet.catalog_version.get() + 1;
    let text = STANDARD.decode(encode_catalog(version)).expect("base64");
    let mut catalog: Value = serde_json::from_slice(&text).expect("JSON");
    for route in catalog["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = json!(TIMEOUT_MS);
    }
    fleet.store.state.put("op", "config", encoded(&catalog));
    fleet.catalog_version.set(version);
    // The version adds a route, which shows that it is in force.
    let probe = format!("POST /probe-{version}/x");
    for _ in 0..CATALOG_POLLS {
        if has_route(&fleet, &probe).await {
            return fleet;
        }
        compio::time::sleep(CATALOG_POLL).await;
    }
    panic!("the configuration is not in force");
}

async fn has_route(fleet: &SoakFleet, request_line: &str) -> bool {
    let request = format!(
        "{request_line} HTTP/1.1\r\nhost: {}\r\nrequest-id: probe\r\ncontent-length: 0\r\n\r\n",
        FleetConfig::HOST
    );
    let response = exchange(fleet, request.into_bytes()).await;
    response.is_some_and(|response| !response.starts_with("HTTP/1.1 404 "))
}

/// Sends a request and returns the start of its response.
async fn exchange(fleet: &SoakFleet, request: Vec<u8>) -> Option<String> {
    let address = fleet.gateways[0].process.address;
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request).await.0.ok()?;
    let BufResult(read, bytes) = stream.read(Vec::with_capacity(4_096)).await;
    read.ok()?;
    Some(String::from_utf8_lossy(&bytes).into_owned())
}

fn target(fleet: &SoakFleet) -> TargetRequest {
    TargetRequest {
        address: fleet.gateways[0].process.address,
        head: format!(
            "POST /stamp/x HTTP/1.1\r\nhost: {}\r\nrequest-id: uncontrolled\r\n",
            FleetConfig::HOST
        ),
        body_bytes: BODY_BYTES,
        limit_bytes: LIMIT_BYTES,
    }
}

/// A request for a stream that takes longer than the clients stay.
fn stream_target(fleet: &SoakFleet) -> TargetRequest {
    let stamp = target(fleet);
    let head = stamp.head.replace("/stamp/x", "/reading/x");
    TargetRequest {
        head: format!("{head}token-counts: 100,{LONG_EVENTS}\r\n"),
        ..stamp
    }
}

async fn is_stamp_answered(fleet: &SoakFleet) -> bool {
    let stamp = SoakCall {
        id: format!("case-{:016x}", fastrand::u64(..)),
        kind: CallKind::Stamp,
        model: String::new(),
        events: 0,
        gateway: 0,
        prompt: USUAL_PROMPT.to_owned(),
        resume: None,
    };
    let outcome = call_gateway(fleet.gateways[0].process.address, &stamp).await;
    matches!(outcome, CallOutcome::Answer(_))
}

fn with_gateway(case: impl AsyncFnOnce(SoakFleet)) {
    let _turn = take_turn();
    let daemon = LimitedDaemon::open();
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async { case(spawn_gateway(&daemon).await).await });
}

/// Guards against LOST: clients that a gateway cannot control take its memory or its descriptors, and
/// with them the requests of all its callers.
#[rstest]
#[case::stalled_bodies(ClientSet::StalledBodies)]
#[case::reopened_bodies(ClientSet::ReopenedBodies)]
#[case::slow_bodies(ClientSet::SlowBodies)]
#[case::large_chunks(ClientSet::LargeChunks)]
#[case::tiny_chunks(ClientSet::TinyChunks)]
#[case::announced_excess(ClientSet::AnnouncedExcess)]
#[case::sent_excess(ClientSet::SentExcess)]
#[case::slow_heads(ClientSet::SlowHeads)]
#[case::silent(ClientSet::Silent)]
#[case::pipelined(ClientSet::Pipelined)]
#[case::never_reading(ClientSet::NeverReading)]
fn a_gateway_keeps_to_its_instance(#[case] set: ClientSet) {
    with_gateway(async |fleet: SoakFleet| {
        let process = &fleet.gateways[0].process;
        let is_answered = async || is_stamp_answered(&fleet).await;
        try_clients(set, &target(&fleet), process, is_answered).await;
    });
}

/// Guards against requests in flight at upstreams whose memory nothing counts (review/7).
#[test]
fn a_gateway_keeps_to_its_instance_with_many_requests_in_flight() {
    with_gateway(async |fleet: SoakFleet| {
        let process = &fleet.gateways[0].process;
        let is_answered = async || is_stamp_answered(&fleet).await;
        let stream = stream_target(&fleet);
        try_clients(ClientSet::WholeRequests, &stream, process, is_answered).await;
    });
}

/// Guards against bodies that stop short of their end and keep all legal large bodies out for as long
/// as their deadline is away.
#[rstest]
#[case::stalled_bodies(ClientSet::StalledBodies)]
#[case::large_chunks(ClientSet::LargeChunks)]
#[case::slow_bodies(ClientSet::SlowBodies)]
fn a_gateway_serves_a_large_body_beside(#[case] set: ClientSet) {
    with_gateway(async |fleet: SoakFleet| {
        let is_answered = async || {
            let mut request = format!(
                "POST /stamp/x HTTP/1.1\r\nhost: {}\r\nrequest-id: legal-{:016x}\r\n\
                 content-length: {BODY_BYTES}\r\n\r\n",
                FleetConfig::HOST,
                fastrand::u64(..)
            );
            request.push_str(&"x".repeat(BODY_BYTES));
            let response = exchange(&fleet, request.into_bytes()).await;
            response.is_some_and(|response| response.starts_with("HTTP/1.1 200 "))
        };
        assert_large_is_served_beside(set, &target(&fleet), is_answered).await;
    });
}

/// Guards against a gateway that reads a body over the limit to its end.
#[rstest]
#[case::announced(ClientSet::AnnouncedExcess)]
#[case::sent(ClientSet::SentExcess)]
fn a_gateway_reads_no_body_over_the_limit_to_its_end(#[case] set: ClientSet) {
    with_gateway(async |fleet: SoakFleet| {
        assert_excess_is_not_read(set, &target(&fleet)).await;
        assert!(is_stamp_answered(&fleet).await, "not answered");
    });
}
