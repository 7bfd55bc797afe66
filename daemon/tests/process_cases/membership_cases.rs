//! Agents that are suspended, become unreachable, drain, die or start twice.

use quetzalpin::prelude::*;
use quetzalpin_standins::{ChatCall, EngineStandin, SMALL_MODEL_COUNT, answer_word};

use super::FaultCase;

/// An agent is suspended and no longer responds; a request for its model is answered by another
/// upstream.
pub async fn a_frozen_agent_loses_no_idempotent_request(case: FaultCase) {
    case.ask(0, &FaultCase::question("m0", "wake")).await;
    case.wait_until("the entry knows the holder", async || {
        case.loaded_agent("m0@1").await.is_some()
    })
    .await;
    let holder = case.loaded_agent("m0@1").await.expect("a holder");
    case.fleet.agents[holder].pause();
    let outcome = case.ask(0, &FaultCase::question("m0", "frozen")).await;
    assert!(outcome.text.contains(&answer_word("frozen", 0)));
    case.fleet.agents[holder].resume();
}

/// Existing connections to agents, upstreams and the platform silently stop passing data while
/// new ones work. Chat requests must still be answered, and a stamp runs at most once.
pub async fn silent_connections_are_detected(case: FaultCase) {
    case.ask(0, &FaultCase::question("m0", "wake")).await;
    for proxy in &case.fleet.agent_proxies {
        proxy.blackhole();
    }
    for entry in 0..2 {
        let call = FaultCase::question("m0", &format!("silence at {entry}"));
        case.ask(entry, &call).await;
    }
    for proxy in &case.fleet.upstream_proxies {
        proxy.blackhole();
    }
    case.fleet.platform_proxy.blackhole();
    case.ask(0, &FaultCase::question("m0", "engine silence"))
        .await;
    let stamped = case.send_stamp(0, "silence").await;
    if !stamped.is_answer() {
        let outcome = stamped.refusal().map(|document| document.refusal().outcome);
        assert!(outcome.is_some(), "{stamped:?}");
    }
    assert!(case.fleet.stamps("silence") <= 1);
}

/// An agent that shuts down finishes its stream. The list of instances is frozen, so entries learn
/// of the shutdown from the agent alone and must send new work to others.
pub async fn a_leaving_agent_finishes_its_stream_and_gets_no_new_work(mut case: FaultCase) {
    case.ask(0, &FaultCase::question("m0", "wake")).await;
    case.wait_until("the entry knows the holder", async || {
        case.loaded_agent("m0@1").await.is_some()
    })
    .await;
    let holder = case.loaded_agent("m0@1").await.expect("a holder");
    case.fleet.platform.state.members.set_frozen(true);
    let caller = case.callers[0].clone();
    let call = ChatCall {
        stream: true,
        tokens: 100,
        ..FaultCase::question("m0", "long")
    };
    let streaming = compio::runtime::spawn(async move { caller.chat(&call).await });
    case.wait_until("the stream runs", async || {
        let audits = case.fleet.engines().map(EngineStandin::audit);
        audits.map(|audit| audit.runs.len()).sum::<usize>() >= 2
    })
    .await;
    case.fleet.agents[holder].terminate();
    case.wait_until("all entries know", async || {
        for entry in 0..2 {
            let Some(status) = case.status(entry).await else {
                return false;
            };
            let mut agents = status.agents.iter();
            let name = format!("worker-{holder}");
            let leaving = agents.any(|a| a.report.instance.as_str() == name && a.report.leaving);
            if !leaving {
                return false;
            }
        }
        true
    })
    .await;
    for entry in 0..2 {
        case.ask(entry, &FaultCase::question("m0", "after")).await;
    }
    let outcome = streaming.await.expect("the task ends").expect("an outcome");
    assert!(
        outcome.is_answer() && outcome.text.contains("[DONE]"),
        "{outcome:?}"
    );
    let status = case.fleet.agents[holder].wait(20_000).await;
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}

/// A stream whose agent dies resumes at another upstream without duplicate or missing tokens.
pub async fn a_stream_resumes_when_its_agent_dies(mut case: FaultCase) {
    case.ask(0, &FaultCase::question("m0", "wake")).await;
    case.wait_until("the entry knows the holder", async || {
        case.loaded_agent("m0@1").await.is_some()
    })
    .await;
    let holder = case.loaded_agent("m0@1").await.expect("a holder");
    let caller = case.callers[0].clone();
    let call = ChatCall {
        stream: true,
        tokens: 60,
        ..FaultCase::question("m0", "go on")
    };
    let streaming = compio::runtime::spawn(async move { caller.chat(&call).await });
    case.wait_until("the stream runs", async || {
        let audits = case.fleet.engines().map(EngineStandin::audit);
        audits.map(|audit| audit.runs.len()).sum::<usize>() >= 2
    })
    .await;
    compio::time::sleep(std::time::Duration::from_millis(300)).await;
    case.fleet.agents[holder].kill();
    let outcome = streaming.await.expect("the task ends").expect("an outcome");
    assert!(outcome.is_answer(), "{outcome:?}");
    let words: Vec<String> = (0..60).map(|index| answer_word("go on", index)).collect();
    let found: Vec<&str> = outcome
        .text
        .split(|c: char| !c.is_ascii_alphanumeric())
        .filter(|piece| words.iter().any(|word| word == piece))
        .collect();
    assert_eq!(found, words);
}

/// A suspended agent keeps its port, so that a second one cannot start and send commands to the
/// same upstream.
pub async fn a_second_agent_cannot_start_beside_a_frozen_one(mut case: FaultCase) {
    case.fleet.agents[0].pause();
    let daemon = env!("CARGO_BIN_EXE_quetzalpind");
    let config = case.fleet.agents[0].config_path().to_owned();
    let output = std::process::Command::new(daemon)
        .arg("--config")
        .arg(config)
        .output()
        .expect("the second agent runs");
    assert_eq!(output.status.code(), Some(3));
    case.fleet.agents[0].resume();
    case.fleet.agents[0].kill();
    case.fleet.agents[0]
        .start()
        .expect("the agent starts again");
    case.fleet
        .wait_ready(SMALL_MODEL_COUNT, 30_000)
        .await
        .expect("a ready fleet");
    let name = InstanceName::from("worker-0");
    let status = case.status(0).await.expect("a status");
    assert!(
        status
            .agents
            .iter()
            .any(|a| a.report.instance == name && a.report.healthy)
    );
}
