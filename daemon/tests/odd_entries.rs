//! Entries of other writers in the list of upstreams, through a real gateway.

use std::path::Path;

use quetzalpin::decision::unix_ms;
use quetzalpin_platform_soak::{
    CallKind, CallOutcome, FleetConfig, FleetSize, SoakCall, SoakFleet, USUAL_PROMPT, WorkerKind,
    call_gateway,
};
use rstest::rstest;

const SIZE: FleetSize = FleetSize {
    gateways: 1,
    engines: 1,
    plain_workers: 1,
};

/// Key of the odd entry.
const ODD_ID: &str = "i-odd";

/// Levels of an entry that is nested deeply.
const NESTED_LEVELS: usize = 20_000;

/// Number of requests that must all be served.
const CALLS: usize = 20;

/// Milliseconds of a month.
const MONTH_MS: u64 = 30 * 24 * 60 * 60 * 1_000;

/// Largest size of a log line in bytes.
const MAX_LOG_LINE: usize = 2_000;

/// A sound entry of the plain service but for some fields.
fn entry(changed: &str) -> String {
    let mut fields = vec![
        ("service", format!("\"{}\"", FleetConfig::PLAIN_SERVICE)),
        ("address", "\"127.0.0.1:9\"".to_owned()),
        ("zone", format!("\"{}\"", FleetConfig::ZONE)),
        ("version", "\"1\"".to_owned()),
        ("slots", "8".to_owned()),
        ("state", "\"ready\"".to_owned()),
        ("born", "17".to_owned()),
    ];
    let (name, value) = changed.split_once('=').expect("a field and its value");
    fields.retain(|(known, _)| *known != name);
    fields.push((name, value.to_owned()));
    let fields: Vec<String> = fields
        .iter()
        .map(|(name, value)| format!("\"{name}\":{value}"))
        .collect();
    format!("{{{}}}", fields.join(","))
}

fn base64(text: &str) -> String {
    use ::base64::Engine;
    ::base64::engine::general_purpose::STANDARD.encode(text)
}

fn with_fleet(case: impl AsyncFnOnce(SoakFleet)) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let daemon = Path::new(env!("CARGO_BIN_EXE_quetzalpind"));
        let spawning = SoakFleet::spawn_ready(daemon, SIZE);
        case(spawning.await.expect("a ready fleet")).await;
    });
}

/// Adds a sound worker, and checks that the gateway learns of it and serves all requests.
async fn assert_list_is_followed(fleet: &mut SoakFleet) {
    let spawning = fleet.spawn_worker(WorkerKind::Plain, Vec::new());
    let added = spawning.await.expect("a worker");
    let id = added.worker.state.id.clone();
    fleet.workers.push(added);
    fleet.send_heartbeats();
    let joined = format!("\"upstream joined\",\"upstream\":\"{id}\"");
    fleet.wait_for_log(&joined, 1).await;
    for number in 0..CALLS {
        let call = SoakCall {
            id: format!("odd-{number:04}-{:08x}", fastrand::u32(..)),
            kind: CallKind::Lookup,
            model: String::new(),
            events: 0,
            gateway: 0,
            prompt: USUAL_PROMPT.to_owned(),
            resume: None,
        };
        let outcome = call_gateway(fleet.gateways[0].process.address, &call).await;
        assert!(matches!(outcome, CallOutcome::Answer(_)), "{outcome:?}");
    }
    assert!(fleet.gateways[0].process.try_wait().is_none());
    let log = fleet.gateways[0].process.log();
    assert!(log.lines().all(|line| line.len() < MAX_LOG_LINE));
}

/// Guards against processes that end by themselves, or stop following the list (LOST), because
/// another writer left an odd entry there; and against requests to an upstream that it names.
#[rstest]
#[case::deeply_nested_objects(&format!("{}1{}", "{\"a\":".repeat(NESTED_LEVELS), "}".repeat(NESTED_LEVELS)))]
#[case::deeply_nested_models(&entry(&format!("models={}", "[".repeat(NESTED_LEVELS))))]
#[case::number_too_large(&entry("slots=1e400"))]
#[case::integer_too_large(&entry("born=99999999999999999999999"))]
#[case::negative_slots(&entry("slots=-1"))]
#[case::no_slots(&entry("slots=0"))]
#[case::absurd_slots(&entry("slots=4000000000"))]
#[case::far_future(&entry("born=18446744073709551615"))]
#[case::port_out_of_range(&entry("address=\"127.0.0.1:99999\""))]
#[case::no_port(&entry("address=\"127.0.0.1:0\""))]
#[case::no_host(&entry("address=\"0.0.0.0:80\""))]
#[case::version_as_number(&entry("version=2"))]
#[case::long_state(&entry(&format!("state=\"{}\"", "x".repeat(40_000))))]
#[case::long_address(&entry(&format!("address=\"{}\"", "9".repeat(40_000))))]
#[case::not_an_object("17")]
#[case::not_json("\u{0}\u{1}{")]
fn an_odd_entry_names_no_upstream_and_the_list_is_followed(#[case] text: &str) {
    with_fleet(async |mut fleet: SoakFleet| {
        let store = &fleet.store.state;
        store.put("servers", ODD_ID, base64(text));
        fleet
            .wait_for_log(&format!("\"upstream\":\"{ODD_ID}\""), 1)
            .await;
        assert_list_is_followed(&mut fleet).await;
        let log = fleet.gateways[0].process.log();
        let joined = format!("\"upstream joined\",\"upstream\":\"{ODD_ID}\"");
        assert!(!log.contains(&joined));
    });
}

/// Guards against processes that end by themselves: a field that nobody reads is nested so deeply that
/// skipping it takes too much stack.
#[test]
fn a_deeply_nested_field_does_not_keep_the_list_from_being_followed() {
    with_fleet(async |mut fleet: SoakFleet| {
        let nested = format!(
            "more={}{}",
            "[".repeat(NESTED_LEVELS),
            "]".repeat(NESTED_LEVELS)
        );
        fleet
            .store
            .state
            .put("servers", ODD_ID, base64(&entry(&nested)));
        fleet
            .wait_for_log(&format!("\"upstream\":\"{ODD_ID}\""), 1)
            .await;
        assert_list_is_followed(&mut fleet).await;
    });
}

/// Guards against LOST: a value that is not base64 spoils the rows beside it.
#[test]
fn a_value_that_is_not_base64_spoils_no_other_row() {
    with_fleet(async |mut fleet: SoakFleet| {
        let store = &fleet.store.state;
        store.put("servers", ODD_ID, "%%%".to_owned());
        fleet
            .wait_for_log(&format!("\"upstream\":\"{ODD_ID}\""), 1)
            .await;
        assert_list_is_followed(&mut fleet).await;
    });
}

/// Guards against LOST: an odd entry under the ID of a sound upstream hides it for good.
#[rstest]
#[case::far_future("born=18446744073709551615")]
#[case::next_month(&format!("born={}", unix_ms() + MONTH_MS))]
#[case::wrong_type("slots=\"many\"")]
fn a_sound_upstream_is_used_again_after_an_odd_entry_under_its_id(#[case] changed: &str) {
    with_fleet(async |mut fleet: SoakFleet| {
        let plain = fleet.workers.iter().map(|worker| &worker.worker.state);
        let plain = plain
            .into_iter()
            .find(|worker| worker.kind == WorkerKind::Plain);
        let id = plain.expect("a plain worker").id.clone();
        fleet
            .store
            .state
            .put("servers", &id, base64(&entry(changed)));
        let ignored = format!("\"entry ignored\",\"upstream\":\"{id}\"");
        fleet.wait_for_log(&ignored, 1).await;
        fleet.send_heartbeats();
        let joined = format!("\"upstream joined\",\"upstream\":\"{id}\"");
        fleet.wait_for_log(&joined, 2).await;
        assert_list_is_followed(&mut fleet).await;
    });
}
