//! Plan and settings of the small fleet that tests and fault campaigns use.

use std::fmt::Write as _;

use quetzalpin::prelude::*;
use quetzalpin::settings::{SubtreeName, credential_digest};

use crate::caller_client::ServiceCall;
use crate::engine_options::EngineOptions;
use crate::service_standin::ServiceOptions;
use crate::standin_fleet::{FleetPlan, OPERATOR_CREDENTIAL, UpstreamPlan, default_agent};
use crate::weight_store::WeightLimits;

/// Number of models in the small fleet; they are named `m0`, `m1` and so on.
pub const SMALL_MODEL_COUNT: usize = 4;

/// Credential of the small fleet's team.
pub const SMALL_CREDENTIAL: &str = "potters-secret";

/// Root subtree of the small fleet, with model `m0` at the given version and the others at 1.
#[must_use]
pub fn small_root_text(version: u32) -> String {
    let mut text = format!(
        "[fleet]\noperator_sha256 = {}\npartitions = 2\nlease_ms = 1500\ngone_after_ms = 2000\n\
         min_idle_ms = 60000\n\
         [rank.urgent]\norder = 0\nworth = 20\ndeadline_ms = 10000\n\
         [rank.normal]\norder = 1\nworth = 5\nfloor_percent = 20\ndeadline_ms = 10000\n\
         [team.potters]\ncredential_sha256 = {}\n\
         [team.others]\ncredential_sha256 = {}\n",
        credential_digest(OPERATOR_CREDENTIAL),
        credential_digest(SMALL_CREDENTIAL),
        credential_digest("others-secret"),
    );
    for number in 0..SMALL_MODEL_COUNT {
        let version = if number == 0 { version } else { 1 };
        let _ = write!(
            text,
            "[model.m{number}]\nversion = {version}\nmemory_mb = 10000\nload_ms = 400\n"
        );
    }
    text
}

/// Subtree of the team `potters`.
pub const SMALL_TEAM_TEXT: &str = "\
[team.potters.kind.ask]
rank = normal
[team.potters.kind.stamp]
rank = urgent
service = registry
idempotent = false
[team.potters.kind.lookup]
rank = urgent
service = registry
[team.potters.adapter.blue]
model = m1
memory_mb = 100
";

/// Call that stamps a batch, with the batch as idempotency key. The entry chooses the request
/// identifier if `id` is empty.
#[must_use]
pub fn small_stamp(batch: &str, id: &str) -> ServiceCall {
    ServiceCall {
        credential: SMALL_CREDENTIAL.to_owned(),
        kind: "stamp".to_owned(),
        path: "registry/stamp".to_owned(),
        key: batch.to_owned(),
        body: format!(r#"{{"batch":"{batch}"}}"#),
        deadline_ms: None,
        id: id.to_owned(),
    }
}

/// Plan of the small fleet: three engines, one of which ignores fencing tokens, two services
/// and two entries.
#[must_use]
pub fn small_plan() -> FleetPlan {
    let engine = UpstreamPlan::Engine(EngineOptions {
        memory_mb: 40_000,
        first_ms: 20,
        token_us: 20_000,
        ..EngineOptions::default()
    });
    let unfenced_engine = UpstreamPlan::Engine(EngineOptions {
        memory_mb: 40_000,
        first_ms: 20,
        token_us: 20_000,
        checks_fence: false,
        ..EngineOptions::default()
    });
    let service = UpstreamPlan::Service(
        ServiceName::from("registry"),
        ServiceOptions { call_ms: 200 },
    );
    let zone = |name: &str| (RegionName::from("armor"), ZoneName::from(name));
    FleetPlan {
        zones: vec![zone("armor-a"), zone("armor-b")],
        entries: 2,
        upstreams: vec![
            engine.clone(),
            engine,
            unfenced_engine,
            service.clone(),
            service,
        ],
        weights: WeightLimits {
            loads_per_ks: 10_000,
            loads_at_once: 4,
            adapter_loads_at_once: 32,
        },
        settings: vec![
            (SubtreeName::Root, small_root_text(1)),
            (
                SubtreeName::Team(TeamName::from("potters")),
                SMALL_TEAM_TEXT.to_owned(),
            ),
        ],
        agent: default_agent(),
        poll_ms: 200,
    }
}
