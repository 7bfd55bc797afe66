//! Settings that limit clients.

use quetzalpin::config::{ClientLimits, ConfigError, DaemonConfig};
use rstest::rstest;

const ENTRY: &str = "[daemon]\nrole = entry\ninstance = e\nzone = z\nregion = r\n\
     listen = 127.0.0.1:7100\n[platform]\ntable = 127.0.0.1:1\nmembers = 127.0.0.1:1\n";

/// Memory in bytes of the smallest gateway.
const SMALLEST_BYTES: u64 = 120_000_000;

fn parse(clients: &str) -> Result<DaemonConfig, ConfigError> {
    DaemonConfig::parse("entry.ini", &format!("{ENTRY}[clients]\n{clients}\n"))
}

/// Guards against a limit that shuts everyone out, or that is silently not read.
#[rstest]
fn a_limit_that_cannot_be_meant_is_a_fault(
    #[values(
        "max_connections",
        "max_connections_per_address",
        "head_ms",
        "body_grace_ms",
        "body_window_ms",
        "body_bytes_per_s",
        "unread_ms"
    )]
    key: &str,
    #[values("0", "-1", "x")] value: &str,
) {
    let error = parse(&format!("{key} = {value}")).expect_err("a fault");
    assert!(error.to_string().contains(key), "{error}");
}

/// Guards against a setting that is read and not applied.
#[test]
fn stated_limits_are_in_force() {
    let config = parse("max_connections = 40\nmax_connections_per_address = 7\nhead_ms = 3500");
    let limits = config.expect("settings").node.clients;
    let limits = limits.connection_limits(SMALLEST_BYTES);
    assert_eq!(
        (limits.max_open, limits.max_per_address, limits.head_ms),
        (40, 7, 3_500)
    );
}

/// Guards against defaults that ordinary clients of the smallest gateway meet: hundreds of kept
/// connections from one address, and heads that arrive within 3 s.
#[test]
fn defaults_leave_room_for_ordinary_clients() {
    let limits = ClientLimits::default().connection_limits(SMALLEST_BYTES);
    assert!(limits.max_per_address >= 500, "{limits:?}");
    assert!(limits.max_open > limits.max_per_address, "{limits:?}");
    assert!(limits.head_ms > 3_000, "{limits:?}");
}
