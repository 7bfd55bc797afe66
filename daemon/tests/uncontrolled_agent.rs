//! Clients that an agent cannot control: its memory, its descriptors, and ordinary requests.

mod client_sets;
mod limited;

use client_sets::{
    ClientSet, TargetRequest, assert_excess_is_not_read, assert_large_is_served_beside, try_clients,
};
use limited::{LimitedDaemon, take_turn};
use quetzalpin::prelude::*;
use quetzalpin::quarantine::RequestFingerprint;
use quetzalpin::rpc::{UpstreamCall, WORK_HEADER, WorkMetadata};
use quetzalpin_standins::{
    CallerClient, FleetPlan, ProcessFleet, ServiceCall, UpstreamPlan, small_plan, small_stamp,
};
use rstest::rstest;

/// Milliseconds within which a fleet must be ready.
const START_TIMEOUT_MS: u64 = 20_000;

/// Size in bytes of a large body, within the limits of entries and agents.
const BODY_BYTES: usize = 1_000_000;

/// Largest body in bytes that the agent takes.
const LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// One entry, and one agent with a plain service.
fn plan() -> FleetPlan {
    let mut plan = small_plan();
    plan.entries = 1;
    plan.upstreams
        .retain(|upstream| matches!(upstream, UpstreamPlan::Service(..)));
    plan.upstreams.truncate(1);
    plan
}

async fn is_stamp_answered(caller: &CallerClient) -> bool {
    is_answered(caller, small_stamp(&new_batch(), "")).await
}

async fn is_large_stamp_answered(caller: &CallerClient) -> bool {
    let mut stamp = small_stamp(&new_batch(), "");
    let padding = "x".repeat(BODY_BYTES - 1_000);
    stamp.body = format!(r#"{{"batch":"{}","padding":"{padding}"}}"#, stamp.key);
    is_answered(caller, stamp).await
}

fn new_batch() -> String {
    format!("case-{:016x}", fastrand::u64(..))
}

async fn is_answered(caller: &CallerClient, stamp: ServiceCall) -> bool {
    let outcome = caller.service(&stamp).await;
    outcome.is_ok_and(|outcome| outcome.is_answer())
}

fn with_fleet(case: impl AsyncFnOnce(ProcessFleet)) {
    let _turn = take_turn();
    let daemon = LimitedDaemon::open();
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let fleet = ProcessFleet::spawn(&daemon.path, &plan()).await;
        let mut fleet = fleet.expect("a fleet");
        let ready = fleet.wait_ready(0, START_TIMEOUT_MS).await;
        ready.expect("a ready fleet");
        case(fleet).await;
    });
}

fn target(fleet: &ProcessFleet) -> TargetRequest {
    let metadata = WorkMetadata {
        request: "uncontrolled".to_owned(),
        attempt: AttemptId::random(),
        team: TeamName::from("potters"),
        share: 1,
        rank: RankName::from("urgent"),
        remaining_ms: 40_000,
        call: UpstreamCall::Service {
            service: ServiceName::from("registry"),
            method: "POST".to_owned(),
            path: "/lookup".to_owned(),
        },
        run_key: None,
        fingerprint: RequestFingerprint::of_parts(&[]),
        suspect: false,
        stream: false,
        tokens: 0,
        content_type: "application/json".to_owned(),
    };
    let metadata = serde_json::to_string(&metadata).expect("JSON");
    TargetRequest {
        address: fleet.agents[0].address,
        head: format!("POST /work HTTP/1.1\r\nhost: x\r\n{WORK_HEADER}: {metadata}\r\n"),
        body_bytes: BODY_BYTES,
        limit_bytes: LIMIT_BYTES,
    }
}

/// Calls of peers, which are read before their sender is known.
fn control_target(fleet: &ProcessFleet) -> TargetRequest {
    TargetRequest {
        head: "POST /rpc HTTP/1.1\r\nhost: x\r\n".to_owned(),
        ..target(fleet)
    }
}

async fn try_at_agent(set: ClientSet, fleet: &ProcessFleet, target: &TargetRequest) {
    let caller = CallerClient::open(fleet.entries[0].address).expect("a caller");
    let is_answered = async || is_stamp_answered(&caller).await;
    try_clients(set, target, &fleet.agents[0], is_answered).await;
}

/// Guards against clients that an agent cannot control and that take its memory or its descriptors, and with
/// them the requests of all its callers.
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
#[case::whole_requests(ClientSet::WholeRequests)]
fn an_agent_keeps_to_its_instance(#[case] set: ClientSet) {
    with_fleet(async |fleet: ProcessFleet| try_at_agent(set, &fleet, &target(&fleet)).await);
}

/// Guards against the same on the path for calls of peers.
#[rstest]
#[case::stalled_bodies(ClientSet::StalledBodies)]
#[case::large_chunks(ClientSet::LargeChunks)]
fn an_agent_keeps_to_its_instance_beside_calls(#[case] set: ClientSet) {
    with_fleet(async |fleet: ProcessFleet| {
        try_at_agent(set, &fleet, &control_target(&fleet)).await;
    });
}

/// Guards against bodies that stop short of their end and keep legal large bodies out.
#[rstest]
#[case::stalled_bodies(ClientSet::StalledBodies)]
#[case::large_chunks(ClientSet::LargeChunks)]
#[case::slow_bodies(ClientSet::SlowBodies)]
fn an_agent_serves_a_large_body_beside(#[case] set: ClientSet) {
    with_fleet(async |fleet: ProcessFleet| {
        let caller = CallerClient::open(fleet.entries[0].address).expect("a caller");
        let is_answered = async || is_large_stamp_answered(&caller).await;
        assert_large_is_served_beside(set, &target(&fleet), is_answered).await;
    });
}

/// Guards against an agent that reads a body over the limit to its end.
#[rstest]
#[case::announced(ClientSet::AnnouncedExcess)]
#[case::sent(ClientSet::SentExcess)]
fn an_agent_reads_no_body_over_the_limit_to_its_end(#[case] set: ClientSet) {
    with_fleet(async |fleet: ProcessFleet| {
        assert_excess_is_not_read(set, &target(&fleet)).await;
        let caller = CallerClient::open(fleet.entries[0].address).expect("a caller");
        assert!(is_stamp_answered(&caller).await, "not answered");
    });
}
