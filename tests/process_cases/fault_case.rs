//! The small fleet of the cases and its callers.

use std::fmt::Write as _;
use std::time::Duration;

use quetzalpin::entry::EntryStatus;
use quetzalpin::prelude::*;
use quetzalpin::settings::{SubtreeName, credential_digest};
use quetzalpin_standins::{
    CallOutcome, CallerClient, ChatCall, EngineOptions, FleetPlan, OPERATOR_CREDENTIAL,
    ProcessFleet, ServiceCall, ServiceOptions, UpstreamPlan, WeightLimits, default_agent,
};

/// Models of the small fleet.
pub const MODELS: usize = 4;

/// Credential of the team.
pub const CREDENTIAL: &str = "potters-secret";

/// Longest milliseconds that a case waits for something to happen.
const HAPPEN_MS: u64 = 30_000;

/// Milliseconds between looks.
const LOOK_MS: u64 = 50;

/// The root subtree of the small fleet, with one model at a version.
pub fn root_text(version: u32) -> String {
    let mut text = format!(
        "[fleet]\noperator_sha256 = {}\npartitions = 2\nlease_ms = 1500\ngone_after_ms = 2000\n\
         min_idle_ms = 60000\n\
         [rank.urgent]\norder = 0\nworth = 20\ndeadline_ms = 10000\n\
         [rank.normal]\norder = 1\nworth = 5\nfloor_percent = 20\ndeadline_ms = 10000\n\
         [team.potters]\ncredential_sha256 = {}\n\
         [team.others]\ncredential_sha256 = {}\n",
        credential_digest(OPERATOR_CREDENTIAL),
        credential_digest(CREDENTIAL),
        credential_digest("others-secret"),
    );
    for number in 0..MODELS {
        let version = if number == 0 { version } else { 1 };
        let _ = write!(
            text,
            "[model.m{number}]\nversion = {version}\nmemory_mb = 10000\nload_ms = 400\n"
        );
    }
    text
}

/// The subtree of the team.
pub const TEAM_TEXT: &str = "\
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

/// Three engines, two services, two entries.
pub fn small_plan() -> FleetPlan {
    let engine = UpstreamPlan::Engine(EngineOptions {
        memory_mb: 40_000,
        first_ms: 20,
        token_us: 20_000,
        ..EngineOptions::default()
    });
    let careless = UpstreamPlan::Engine(EngineOptions {
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
        upstreams: vec![engine.clone(), engine, careless, service.clone(), service],
        weights: WeightLimits {
            loads_per_ks: 10_000,
            loads_at_once: 4,
            adapter_loads_at_once: 32,
        },
        settings: vec![
            (SubtreeName::Root, root_text(1)),
            (
                SubtreeName::Team(TeamName::from("potters")),
                TEAM_TEXT.to_owned(),
            ),
        ],
        agent: default_agent(),
        poll_ms: 200,
    }
}

/// A running fleet with a caller for each entry.
pub struct FaultCase {
    /// The fleet.
    pub fleet: ProcessFleet,
    /// Callers, one for each entry.
    pub callers: Vec<CallerClient>,
    /// Client for operators' requests.
    pub client: cyper::Client,
}

impl FaultCase {
    /// Opens the callers.
    pub fn open(fleet: ProcessFleet) -> Self {
        let open = |address| CallerClient::open(address).expect("a caller");
        Self {
            callers: fleet
                .entries
                .iter()
                .map(|entry| open(entry.address))
                .collect(),
            client: cyper::Client::new().expect("a client"),
            fleet,
        }
    }

    /// A question to a model.
    pub fn question(model: &str, prompt: &str) -> ChatCall {
        ChatCall {
            credential: CREDENTIAL.to_owned(),
            kind: "ask".to_owned(),
            model: model.to_owned(),
            adapter: None,
            prompt: prompt.to_owned(),
            tokens: 4,
            stream: false,
            deadline_ms: None,
        }
    }

    /// A stamp of a batch, with the batch as its key.
    pub fn stamp(batch: &str) -> ServiceCall {
        ServiceCall {
            credential: CREDENTIAL.to_owned(),
            kind: "stamp".to_owned(),
            path: "registry/stamp".to_owned(),
            key: batch.to_owned(),
            body: format!(r#"{{"batch":"{batch}"}}"#),
        }
    }

    /// Asks at an entry and expects an answer.
    pub async fn ask(&self, entry: usize, call: &ChatCall) -> CallOutcome {
        let outcome = self.callers[entry].chat(call).await.expect("an outcome");
        assert!(outcome.is_answer(), "{outcome:?}");
        outcome
    }

    /// Stamps at an entry.
    pub async fn send_stamp(&self, entry: usize, batch: &str) -> CallOutcome {
        let call = Self::stamp(batch);
        self.callers[entry]
            .service(&call)
            .await
            .expect("an outcome")
    }

    /// The upstream that holds a replica loaded.
    pub async fn loaded_at(&self, replica: &str) -> Option<usize> {
        let status = self.status(0).await?;
        let reports = status.agents.iter().map(|agent| &agent.report);
        let holder = reports.into_iter().find(|report| {
            let mut replicas = report.replicas.iter();
            replicas.any(|held| {
                held.replica.as_str() == replica
                    && held.state == quetzalpin::rpc::ReplicaState::Loaded
            })
        })?;
        ProcessFleet::agent_index(holder.instance.as_str())
    }

    /// The fleet as an entry sees it.
    pub async fn status(&self, entry: usize) -> Option<EntryStatus> {
        self.fleet.status(&self.client, entry).await
    }

    /// Waits until something has happened.
    pub async fn until(&self, what: &str, has_happened: impl AsyncFn() -> bool) {
        for _ in 0..HAPPEN_MS / LOOK_MS {
            if has_happened().await {
                return;
            }
            compio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        }
        panic!("did not happen: {what}");
    }
}
