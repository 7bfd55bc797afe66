//! Settings of a gateway as the template of the deploy file fills them in, with figures of every form that
//! the platform may state.

use quetzalpin::config::{ConfigError, DaemonConfig, RoleConfig};
use rstest::rstest;

/// The template of the deploy file.
const TEMPLATE: &str = include_str!("../deploy/gateway.ini.template");

/// The figures that the template takes, with usual values.
const FIGURES: [(&str, &str); 8] = [
    ("policyParams.graceS", "8"),
    ("limits.cpuShare", "0.19"),
    ("limits.cpuCores", "1"),
    ("policyParams.leaseMs", "3000"),
    ("policyParams.retrySlack", "56"),
    ("policyParams.quotaWindowS", "8"),
    ("policyParams.quotaOverage", "0.1"),
    ("policyParams.quotaSlack", "17000"),
];

/// Value of a figure that the platform's file does not have.
const MISSING: &str = "(missing)";

/// Names and addresses that the template takes.
const TEXTS: [(&str, &str); 9] = [
    ("nodeName", "edge-1"),
    ("zone", "zone-a"),
    ("region", "region-a"),
    ("bind.frontend", "127.0.0.1:8149"),
    ("bind.ready", "127.0.0.1:8141"),
    ("platform.address", "127.0.0.1:8142"),
    ("ip", "127.0.0.1"),
    ("portRange.0", "7380"),
    ("portRange.1", "7381"),
];

/// The settings with one figure changed.
fn settings(figure: &str, value: &str) -> String {
    let zones = "{{#zones}}\n{{@}} = {{.}}\n{{/zones}}";
    assert!(TEMPLATE.contains(zones));
    let mut text = TEMPLATE.replace(zones, "zone-a = region-a");
    for (name, usual) in FIGURES.iter().chain(&TEXTS) {
        let filled = if *name == figure { value } else { usual };
        text = fill_section(&text, name, filled != MISSING);
        text = text.replace(&format!("{{{{{name}}}}}"), filled);
    }
    assert!(!text.contains("{{"), "{text}");
    text
}

/// Fills in a section of the template that is written only if a figure is present.
fn fill_section(text: &str, name: &str, is_present: bool) -> String {
    let (begin, end) = (format!("{{{{#{name}}}}}\n"), format!("{{{{/{name}}}}}\n"));
    let Some((before, rest)) = text.split_once(&begin) else {
        return text.to_owned();
    };
    let (body, after) = rest.split_once(&end).expect("the end of a section");
    format!("{before}{}{after}", if is_present { body } else { "" })
}

fn parse(figure: &str, value: &str) -> Result<DaemonConfig, ConfigError> {
    DaemonConfig::parse("gateway.ini", &settings(figure, value))
}

/// Guards against a fleet that is lost after a planned restart, because no gateway can read a figure that the
/// platform may state.
#[rstest]
#[case::grace("policyParams.graceS", &["8", "7.5", "8.0", "0", "0.001", "1000000", ""])]
#[case::share("limits.cpuShare", &["1", "0.19", "0", "64", ""])]
#[case::speed("limits.cpuCores", &["1", "0.5", "2.25", ""])]
#[case::lease("policyParams.leaseMs", &["3000", "3000.0", "2500.5", "0", "1000000", ""])]
#[case::slack("policyParams.retrySlack", &["56", "56.0", "55.9", "0", "1000000", ""])]
#[case::window("policyParams.quotaWindowS", &["8", "8.0", "0.5", "0", "1000000", "", MISSING])]
#[case::overage("policyParams.quotaOverage", &["0.1", "0", "1", "", MISSING])]
#[case::account_slack("policyParams.quotaSlack", &["17000", "17000.5", "0", "1e9", "1e300", "", MISSING])]
fn a_figure_of_any_form_is_read(#[case] figure: &str, #[case] values: &[&str]) {
    for value in values {
        let parsed = parse(figure, value);
        assert!(parsed.is_ok(), "{figure} = {value}: {parsed:?}");
    }
}

/// Guards against a figure that is read as another one.
#[test]
fn figures_with_a_fraction_mean_what_they_say() {
    let drain_ms = |value| {
        parse("policyParams.graceS", value)
            .expect("settings")
            .node
            .drain_ms
    };
    assert_eq!(
        (drain_ms("8"), drain_ms("7.5"), drain_ms("0.001")),
        (8_000, 7_500, 1)
    );
    let gateway = |figure, value| match parse(figure, value).expect("settings").role {
        RoleConfig::Gateway(gateway) => gateway,
        other => panic!("not a gateway: {other:?}"),
    };
    // A pause between two planners may be longer than asked for, and retries may be fewer.
    assert_eq!(
        gateway("policyParams.leaseMs", "2500.5").order_turn_ms,
        2_501
    );
    assert_eq!(
        gateway("policyParams.retrySlack", "55.9").resend_reserve,
        55
    );
}

/// Guards against a refusal that does not say which setting is wrong, and where.
#[rstest]
#[case::grace("policyParams.graceS", "drain_s")]
#[case::lease("policyParams.leaseMs", "order_turn_ms")]
#[case::slack("policyParams.retrySlack", "resend_reserve")]
#[case::share("limits.cpuShare", "processor_share")]
fn a_figure_that_cannot_be_meant_is_refused_with_its_place(
    #[case] figure: &str,
    #[case] key: &str,
    #[values("-1", "x", "1e9", "1000000.5", "NaN")] value: &str,
) {
    let text = settings(figure, value);
    let number = text.lines().position(|line| line.starts_with(key));
    let line = number.expect("the setting") + 1;
    let error = parse(figure, value).expect_err("a fault").to_string();
    let place = format!("gateway.ini:{line}: [");
    assert!(error.contains(&place) && error.contains(key), "{error}");
}

/// Guards against limits of accounts that are exceeded where the platform states no tolerance, and
/// against a tolerance that is not read.
#[test]
fn tolerances_of_account_limits_are_those_of_the_platform() {
    let bounds = |figure, value| match parse(figure, value).expect("settings").role {
        RoleConfig::Gateway(gateway) => gateway.accounts.bounds(),
        other => panic!("not a gateway: {other:?}"),
    };
    let usual = bounds("", "");
    assert!((usual.window_s - 8.0).abs() < 1e-9 && (usual.overage - 0.1).abs() < 1e-9);
    assert!((usual.slack - 17_000.0).abs() < 1e-9);
    assert!(bounds("policyParams.quotaSlack", MISSING).slack < 1e-9);
    assert!(bounds("policyParams.quotaOverage", MISSING).overage < 1e-9);
}
