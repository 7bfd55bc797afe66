//! Concurrent, rejected and rolled-out changes of settings.

use futures_util::future::join;
use hyper::Method;
use quetzalpin::entry::ApplyOutcome;
use quetzalpin::prelude::*;
use quetzalpin_standins::{
    FaultConfig, OPERATOR_CREDENTIAL, SMALL_CREDENTIAL as CREDENTIAL, SMALL_TEAM_TEXT as TEAM_TEXT,
    small_root_text as root_text,
};

use super::FaultCase;

impl FaultCase {
    async fn apply(
        &self,
        entry: usize,
        credential: &str,
        subtree: &str,
        based_on: u64,
        text: &str,
    ) -> (u16, Option<ApplyOutcome>) {
        let address = self.fleet.entries[entry].address;
        let url = format!("http://{address}/ops/settings/{subtree}");
        let request = self.client.request(Method::PUT, url).expect("a request");
        let request = request.bearer_auth(credential).expect("a request");
        let request = request
            .header("if-match", based_on.to_string())
            .expect("a header");
        let response = request
            .body(text.to_owned())
            .send()
            .await
            .expect("an answer");
        (response.status().as_u16(), response.json().await.ok())
    }

    async fn is_applied_everywhere(&self, revision: u64) -> bool {
        for entry in 0..2 {
            let Some(status) = self.status(entry).await else {
                return false;
            };
            let agents = status
                .agents
                .iter()
                .map(|agent| agent.report.settings_revision);
            let lowest = agents.chain([status.settings_revision]).min();
            if lowest < Some(revision) {
                return false;
            }
        }
        true
    }
}

/// Of two concurrent changes of a subtree, one is applied and the other gets a conflict that holds
/// both texts. A team can change only its own subtree, an invalid tree changes nothing, and a
/// change is applied once although table responses are lost. All processes follow.
pub async fn concurrent_settings_changes_conflict_and_reach_all_processes(case: FaultCase) {
    let text = format!("{TEAM_TEXT}[team.potters.kind.more]\nrank = normal\n");
    let other = format!("{TEAM_TEXT}[team.potters.kind.other]\nrank = normal\n");
    let (first, second) = join(
        case.apply(0, CREDENTIAL, "team.potters", 2, &text),
        case.apply(1, OPERATOR_CREDENTIAL, "team.potters", 2, &other),
    )
    .await;
    let mut statuses = [first.0, second.0];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409]);
    let rejected = if first.0 == 409 { first.1 } else { second.1 };
    let Some(ApplyOutcome::Conflict(conflict)) = rejected else {
        panic!("a typed conflict");
    };
    assert_eq!(conflict.based_on, 2);
    let current = conflict.current.expect("the other side");
    assert!([&text, &other].contains(&&current.text) && current.text != conflict.rejected);
    let foreign = case.apply(0, CREDENTIAL, "root", 1, &root_text(1)).await;
    assert_eq!(foreign.0, 401);
    let invalid = "[team.potters.kind.ask]\nrank = none\n";
    let (status, outcome) = case.apply(0, CREDENTIAL, "team.potters", 3, invalid).await;
    assert_eq!(status, 422);
    assert!(matches!(outcome, Some(ApplyOutcome::Invalid(faults)) if faults.len() == 1));
    case.fleet.platform.state.table_faults.set(FaultConfig {
        lose_answers: 2,
        ..FaultConfig::default()
    });
    let (status, outcome) = case.apply(0, CREDENTIAL, "team.potters", 3, &text).await;
    assert_eq!((status, outcome), (200, Some(ApplyOutcome::Applied(4))));
    case.wait_until("all processes follow", async || {
        case.is_applied_everywhere(4).await
    })
    .await;
}

/// An entry that starts during an outage of the table reads the settings from its peers.
pub async fn an_entry_starts_from_peers_while_the_table_is_down(mut case: FaultCase) {
    let (status, _) = case
        .apply(0, CREDENTIAL, "team.potters", 2, TEAM_TEXT)
        .await;
    assert_eq!(status, 200);
    case.wait_until("all processes follow", async || {
        case.is_applied_everywhere(3).await
    })
    .await;
    case.fleet.platform.state.table_faults.set(FaultConfig {
        down: true,
        ..FaultConfig::default()
    });
    case.fleet.entries[1].kill();
    case.fleet.entries[1].start().expect("the entry starts");
    case.wait_until("it has the settings of its peer", async || {
        let status = case.status(1).await;
        status.is_some_and(|status| status.settings_revision == 3)
    })
    .await;
    case.wait_until("it serves", async || {
        let call = FaultCase::question("m0", "new here");
        case.callers[1]
            .chat(&call)
            .await
            .is_ok_and(|outcome| outcome.is_answer())
    })
    .await;
}

/// The old version of a model serves until the new one is loaded and is then unloaded.
pub async fn a_new_version_rolls_forward(case: FaultCase) {
    case.ask(0, &FaultCase::question("m0", "old")).await;
    let (status, _) = case
        .apply(0, OPERATOR_CREDENTIAL, "root", 1, &root_text(2))
        .await;
    assert_eq!(status, 200);
    let holds = |name: &str| {
        let replica = ReplicaName::from(name);
        case.fleet
            .engines()
            .any(|engine| engine.held_replicas().contains(&replica))
    };
    case.wait_until(
        "the old version is gone and the new one loaded",
        async || {
            case.ask(0, &FaultCase::question("m0", "always")).await;
            holds("m0@2") && !holds("m0@1")
        },
    )
    .await;
}
