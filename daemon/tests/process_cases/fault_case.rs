//! The small fleet that a case runs on, and its callers.

use std::time::Duration;

use quetzalpin::entry::EntryStatus;
use quetzalpin_standins::{
    CallOutcome, CallerClient, ChatCall, ProcessFleet, SMALL_CREDENTIAL, ServiceCall, small_stamp,
};

/// Milliseconds that a case waits for a condition before it fails.
const CONDITION_TIMEOUT_MS: u64 = 30_000;

/// Milliseconds between checks of a condition.
const POLL_INTERVAL_MS: u64 = 50;

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
    /// Creates a caller for each entry.
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

    /// Builds a chat call with one prompt.
    pub fn question(model: &str, prompt: &str) -> ChatCall {
        ChatCall {
            credential: SMALL_CREDENTIAL.to_owned(),
            kind: "ask".to_owned(),
            model: model.to_owned(),
            adapter: None,
            prompt: prompt.to_owned(),
            tokens: 4,
            stream: false,
            deadline_ms: None,
            id: String::new(),
        }
    }

    /// Builds a stamp call, a non-idempotent call with the batch as its idempotency key.
    pub fn stamp(batch: &str) -> ServiceCall {
        small_stamp(batch, "")
    }

    /// Sends a chat call to an entry and asserts that it is answered.
    pub async fn ask(&self, entry: usize, call: &ChatCall) -> CallOutcome {
        let outcome = self.callers[entry].chat(call).await.expect("an outcome");
        assert!(outcome.is_answer(), "{outcome:?}");
        outcome
    }

    /// Sends a stamp call to an entry.
    pub async fn send_stamp(&self, entry: usize, batch: &str) -> CallOutcome {
        let call = Self::stamp(batch);
        self.callers[entry]
            .service(&call)
            .await
            .expect("an outcome")
    }

    /// Index of the agent whose upstream has a replica loaded.
    pub async fn loaded_agent(&self, replica: &str) -> Option<usize> {
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

    /// Status of the fleet as an entry reports it.
    pub async fn status(&self, entry: usize) -> Option<EntryStatus> {
        self.fleet.status(&self.client, entry).await
    }

    /// Waits until a condition holds; fails after [`CONDITION_TIMEOUT_MS`].
    pub async fn wait_until(&self, condition: &str, is_met: impl AsyncFn() -> bool) {
        for _ in 0..CONDITION_TIMEOUT_MS / POLL_INTERVAL_MS {
            if is_met().await {
                return;
            }
            compio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        panic!("condition not met in time: {condition}");
    }
}
