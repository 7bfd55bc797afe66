//! The small fleet of the cases and its callers.

use std::time::Duration;

use quetzalpin::entry::EntryStatus;
use quetzalpin_standins::{
    CallOutcome, CallerClient, ChatCall, ProcessFleet, SMALL_CREDENTIAL, ServiceCall, small_stamp,
};

/// Longest milliseconds that a case waits for something to happen.
const HAPPEN_MS: u64 = 30_000;

/// Milliseconds between looks.
const LOOK_MS: u64 = 50;

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

    /// A stamp of a batch, with the batch as its key.
    pub fn stamp(batch: &str) -> ServiceCall {
        small_stamp(batch, "")
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
