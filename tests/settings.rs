//! Tests of the settings tree, the follower and the daemon's own settings.

use proptest::prelude::*;
use quetzalpin::config::{ConfigError, DaemonConfig};
use quetzalpin::prelude::*;
use quetzalpin::settings::{
    FaultCause, SettingsFault, SettingsFollower, SettingsRow, SubtreeName, parse_tree,
};
use rstest::rstest;

const ROOT: &str = "
[fleet]
operator_sha256 = x
[rank.normal]
order = 0
floor_percent = 10
deadline_ms = 1000
[model.a]
memory_mb = 10
load_ms = 1000
[team.t]
credential_sha256 = y
";

fn row(subtree: &str, revision: u64, text: &str) -> SettingsRow {
    SettingsRow {
        subtree: SubtreeName::parse(subtree).expect("a subtree"),
        revision,
        text: text.to_owned(),
        author: String::new(),
        attempt: AttemptId::new(u128::from(revision)),
    }
}

fn faults(team_text: &str) -> Vec<SettingsFault> {
    let rows = [row("root", 1, ROOT), row("team.t", 2, team_text)];
    parse_tree(&rows).expect_err("the tree has faults")
}

#[rstest]
#[case("[team.t.kind.k]\nrank = none", "rank", FaultCause::DanglingReference("none".to_owned()))]
#[case(
    "[team.t.kind.k]\nrank = normal\ncolour = red",
    "colour",
    FaultCause::UnknownKey
)]
#[case("[team.t.kind.k]", "rank", FaultCause::MissingKey("the name of a rank".to_owned()))]
#[case("[team.t.adapter.x]\nmodel = z", "model", FaultCause::DanglingReference("z".to_owned()))]
#[case("[team.u.kind.k]\nrank = normal", "", FaultCause::ForeignSection)]
#[case("[model.b]\nmemory_mb = 1", "", FaultCause::ForeignSection)]
#[case("[nonsense]", "", FaultCause::UnknownSection)]
fn each_fault_is_named(#[case] text: &str, #[case] key: &str, #[case] cause: FaultCause) {
    let found = faults(text);
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(found[0].key, key);
    assert_eq!(found[0].cause, cause);
    assert_eq!(found[0].file, "team.t");
}

#[test]
fn all_faults_are_named_at_once() {
    let text = "[team.t.kind.k]\nrank = none\nidempotent = perhaps\n[team.t.adapter.x]\nmodel = z";
    assert_eq!(faults(text).len(), 3);
}

#[test]
fn the_examples_are_valid() {
    let example = |name: &str| {
        let root = env!("CARGO_MANIFEST_DIR");
        std::fs::read_to_string(format!("{root}/examples/{name}")).expect("an example")
    };
    for (fleet, teams) in [
        ("office", ["potters", "inspectors"]),
        ("nocturne", ["jordan", "walkins"]),
    ] {
        let mut rows = vec![row("root", 1, &example(&format!("{fleet}/root.ini")))];
        for (index, team) in teams.iter().enumerate() {
            let text = example(&format!("{fleet}/team-{team}.ini"));
            rows.push(row(&format!("team.{team}"), index as u64 + 2, &text));
        }
        parse_tree(&rows).expect("the example is valid");
        for daemon in ["entry", "agent-engine", "agent-service"] {
            let file = format!("{fleet}/{daemon}.ini");
            DaemonConfig::parse(&file, &example(&file)).expect("the example is valid");
        }
    }
}

#[test]
fn a_daemon_names_all_faults_of_its_file() {
    let text = "[daemon]\nrole = agent\ninstance = a\nzone = z\nregion = r\nlisten = nowhere\n\
                [platform]\ntable = 127.0.0.1:1\n[upstream]\nkind = engine\nspeed = 9\n[entry]";
    let Err(ConfigError::Faulty(faults)) = DaemonConfig::parse("agent.ini", text) else {
        panic!("the file has faults");
    };
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "agent.ini: [daemon] listen: expected an IP address with port, such as 127.0.0.1:7100",
            "agent.ini: [platform] members: the key is missing, expected an IP address with port, \
             such as 127.0.0.1:7100",
            "agent.ini: [upstream] memory_mb: the key is missing, expected megabytes",
            "agent.ini: [upstream] address: the key is missing, expected an IP address with port, \
             such as 127.0.0.1:7100",
            "agent.ini: [upstream] speed: the key is not known here",
            "agent.ini: [entry] : the section is not known here",
        ]
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever order rows arrive in, from table or peers, no process goes back.
    #[test]
    fn a_follower_never_goes_back(order in proptest::collection::vec((0..2_u8, 1..30_u64), 1..60)) {
        let mut follower = SettingsFollower::open();
        follower.apply_rows(vec![row("root", 1, ROOT)]).expect("valid");
        let mut highest = 1;
        for (kind, revision) in order {
            let before = follower.revision();
            let taken = if kind == 0 {
                row("root", revision, ROOT)
            } else {
                row("team.t", revision, "[team.t.kind.k]\nrank = normal")
            };
            follower.apply_rows(vec![taken]).expect("valid");
            highest = highest.max(revision);
            prop_assert!(follower.revision() >= before);
            prop_assert_eq!(follower.revision(), highest);
        }
    }

    #[test]
    fn no_text_breaks_the_parser(text in "[\\[\\]a-z.=; \n]{0,200}") {
        let _ = parse_tree(&[row("root", 1, &text)]);
    }
}

#[test]
fn a_faulty_tree_leaves_the_old_one_in_force() {
    let mut follower = SettingsFollower::open();
    follower
        .apply_rows(vec![row("root", 1, ROOT)])
        .expect("valid");
    follower
        .apply_rows(vec![row("root", 2, "[rank.x]")])
        .expect_err("faulty");
    assert_eq!(follower.revision(), 1);
}
