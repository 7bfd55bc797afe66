//! Responses to valid, malformed and slow requests.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};

use quetzalpin::prelude::*;
use quetzalpin_standins::{
    ChatCall, OPERATOR_CREDENTIAL, SMALL_CREDENTIAL as CREDENTIAL, answer_word,
};
use serde_json::Value;

use super::FaultCase;

/// A model that is not loaded answers the request's own prompt, and the decision log holds the
/// reason of the routing.
pub async fn a_cold_model_answers_and_its_routing_is_logged(case: FaultCase) {
    let outcome = case.ask(0, &FaultCase::question("m0", "why?")).await;
    assert!(outcome.text.contains(&answer_word("why?", 0)));
    let with_adapter = ChatCall {
        adapter: Some("blue".to_owned()),
        ..FaultCase::question("m1", "how?")
    };
    case.ask(1, &with_adapter).await;
    let url = format!(
        "http://{}/ops/decisions?request={}",
        case.fleet.entries[0].address, outcome.id
    );
    let request = case.client.get(url).expect("a request");
    let request = request.bearer_auth(OPERATOR_CREDENTIAL).expect("a request");
    let records: Vec<Value> = request
        .send()
        .await
        .expect("sent")
        .json()
        .await
        .expect("records");
    assert_eq!(records.len(), 1);
    assert_eq!(records[0]["decision"], "route");
    assert_eq!(records[0]["choice"]["reason"], "wake");
    let log = case.fleet.entries[0].log();
    let logged = log
        .lines()
        .any(|line| line.contains(&outcome.id) && line.contains("route"));
    assert!(logged, "the decision is in the log");
}

struct BadInput {
    path: &'static str,
    credential: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
    reason: RefusalReason,
}

const GOOD_BODY: &str = r#"{"model":"m0","messages":[{"role":"user","content":"x"}]}"#;
const CHAT: &str = "/v1/chat/completions";

const BAD_INPUTS: [BadInput; 11] = [
    BadInput {
        path: CHAT,
        credential: "wrong",
        headers: &[],
        body: GOOD_BODY,
        reason: RefusalReason::WrongCredential,
    },
    BadInput {
        path: "/nowhere",
        credential: CREDENTIAL,
        headers: &[],
        body: GOOD_BODY,
        reason: RefusalReason::UnknownRoute,
    },
    BadInput {
        path: CHAT,
        credential: CREDENTIAL,
        headers: &[],
        body: "{\"model\":",
        reason: RefusalReason::MalformedBody,
    },
    BadInput {
        path: CHAT,
        credential: CREDENTIAL,
        headers: &[],
        body: "{\"messages\":[]}",
        reason: RefusalReason::MalformedBody,
    },
    BadInput {
        path: CHAT,
        credential: CREDENTIAL,
        headers: &[],
        body: r#"{"model":"none","messages":[]}"#,
        reason: RefusalReason::UnknownModel,
    },
    BadInput {
        path: CHAT,
        credential: CREDENTIAL,
        headers: &[],
        body: r#"{"model":"m0","adapter":"none","messages":[]}"#,
        reason: RefusalReason::UnknownModel,
    },
    BadInput {
        path: CHAT,
        credential: CREDENTIAL,
        headers: &[("x-work-kind", "none")],
        body: GOOD_BODY,
        reason: RefusalReason::UnknownKind,
    },
    BadInput {
        path: CHAT,
        credential: CREDENTIAL,
        headers: &[("x-deadline-ms", "soon")],
        body: GOOD_BODY,
        reason: RefusalReason::MalformedHeader,
    },
    BadInput {
        path: CHAT,
        credential: CREDENTIAL,
        headers: &[("x-deadline-ms", "5")],
        body: GOOD_BODY,
        reason: RefusalReason::DeadlineUnreachable,
    },
    BadInput {
        path: "/svc/registry/stamp",
        credential: CREDENTIAL,
        headers: &[("x-work-kind", "stamp")],
        body: r#"{"batch":"x"}"#,
        reason: RefusalReason::MissingKey,
    },
    BadInput {
        path: "/svc/other/stamp",
        credential: CREDENTIAL,
        headers: &[("x-work-kind", "stamp"), ("idempotency-key", "k")],
        body: r#"{"batch":"x"}"#,
        reason: RefusalReason::UnknownKind,
    },
];

/// Each kind of invalid request gets its own refusal reason, and nothing runs.
pub async fn bad_input_gets_its_own_refusal(case: FaultCase) {
    for input in &BAD_INPUTS {
        let url = format!("http://{}{}", case.fleet.entries[0].address, input.path);
        let mut request = case.client.post(url).expect("a request");
        request = request.bearer_auth(input.credential).expect("a request");
        for (name, value) in input.headers {
            request = request.header(*name, *value).expect("a header");
        }
        let response = request.body(input.body).send().await.expect("an answer");
        assert_eq!(
            response.status().as_u16(),
            input.reason.status(),
            "{:?}",
            input.reason
        );
        let document: Value = response.json().await.expect("a problem document");
        let expected = serde_json::to_value(input.reason).expect("a reason");
        assert_eq!(document["reason"], expected);
        assert_eq!(document["outcome"], "not_run");
    }
    refuse_large_body(&case).await;
    assert_eq!(case.fleet.stamps("x"), 0);
    case.ask(0, &FaultCase::question("m0", "still there?"))
        .await;
}

/// A request whose body stalls and a request whose head is too large are refused; the entry serves
/// other requests meanwhile.
pub async fn slow_and_oversized_senders_are_refused(case: FaultCase) {
    let address = case.fleet.entries[0].address;
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CREDENTIAL}\r\n\
         content-length: 100\r\n\r\n{{"
    );
    let slow = compio::runtime::spawn_blocking(move || first_line(address, &head));
    case.ask(0, &FaultCase::question("m0", "meanwhile")).await;
    assert_eq!(slow.await.expect("a line"), "HTTP/1.1 408 Request Timeout");
    let large = format!(
        "GET /healthz HTTP/1.1\r\nhost: x\r\nx-large: {}\r\n\r\n",
        "x".repeat(70_000)
    );
    let large = compio::runtime::spawn_blocking(move || first_line(address, &large));
    let line = large.await.expect("a line");
    assert_eq!(line, "HTTP/1.1 431 Request Header Fields Too Large");
    case.ask(0, &FaultCase::question("m0", "after")).await;
}

/// Sends text and returns the first line of the response.
fn first_line(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.write_all(text.as_bytes()).expect("sent");
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).expect("a line");
    line.trim_end().to_owned()
}

async fn refuse_large_body(case: &FaultCase) {
    let url = format!("http://{}{CHAT}", case.fleet.entries[0].address);
    let request = case.client.post(url).expect("a request");
    let request = request.bearer_auth(CREDENTIAL).expect("a request");
    let body = "x".repeat(1_100_000);
    let response = request.body(body).send().await.expect("an answer");
    assert_eq!(response.status().as_u16(), 413);
}
