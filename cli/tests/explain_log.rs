//! `quetzalpin explain --log` on complete, interleaved and truncated logs.

use std::path::PathBuf;
use std::process::{Command, Output};

use rstest::rstest;

const INTERLEAVED_LOG: &str = concat!(
    "gw-2 {\"at_ms\":1450,\"level\":\"INFO\",\"event\":\"refused\",\"request\":\"r1\",",
    "\"reason\":\"NoReplica\",\"waited_ms\":450}\n",
    "gw-1 {\"at_ms\":1000,\"level\":\"INFO\",\"event\":\"attempt\",\"request\":\"r1\",",
    "\"upstream\":\"i-7\",\"left_ms\":1500}\n",
    "gw-1 {\"at_ms\":1001,\"level\":\"INFO\",\"event\":\"attempt\",\"request\":\"r2\"}\n",
    "gw-1 {\"at_ms\":1002,\"level\":\"INFO\",\"event\":\"att",
);

fn run_explain(name: &str, log: &str, request: &str) -> Output {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.log"));
    std::fs::write(&path, log).expect("the log file can be written");
    Command::new(env!("CARGO_BIN_EXE_quetzalpin"))
        .args(["explain", request, "--log"])
        .arg(&path)
        .output()
        .expect("quetzalpin can be run")
}

#[test]
fn events_of_one_request_are_printed_in_time_order() {
    let output = run_explain("mixed", INTERLEAVED_LOG, "r1");
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("the output is UTF-8");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert!(
        lines[0].contains("0 ms  attempt") && lines[0].contains("upstream=i-7"),
        "{text}"
    );
    assert!(
        lines[1].contains("450 ms  refused") && lines[1].contains("[gw-2]"),
        "{text}"
    );
}

#[rstest]
#[case::unknown(
    "unknown",
    INTERLEAVED_LOG,
    "r9",
    "no line of the log names request r9"
)]
#[case::empty("empty", "", "r1", "no line of the log names request r1")]
#[case::truncated(
    "cut",
    "{\"at_ms\":1,\"request\":\"r1\"",
    "r1",
    "1 lines that name the request cannot be read"
)]
fn errors_state_the_cause(
    #[case] name: &str,
    #[case] log: &str,
    #[case] request: &str,
    #[case] expected: &str,
) {
    let output = run_explain(name, log, request);
    assert!(!output.status.success());
    let text = String::from_utf8(output.stderr).expect("the output is UTF-8");
    assert!(text.contains(expected), "{text}");
}

#[test]
fn unreadable_log_file_is_named_in_the_error() {
    let output = Command::new(env!("CARGO_BIN_EXE_quetzalpin"))
        .args(["explain", "r1", "--log", "/nowhere/at/all.log"])
        .output()
        .expect("quetzalpin can be run");
    assert!(!output.status.success());
    let text = String::from_utf8(output.stderr).expect("the output is UTF-8");
    assert!(text.contains("/nowhere/at/all.log"), "{text}");
}
