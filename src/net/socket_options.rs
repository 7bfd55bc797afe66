//! Socket options of every connection.

use std::time::Duration;

use compio::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// Idle seconds before the first keepalive probe, and seconds between probes.
const KEEPALIVE_INTERVAL_S: u64 = 1;

/// Unanswered probes after which the kernel closes the connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Disables Nagle's algorithm and enables TCP keepalive, so that the kernel detects peers that
/// went silent.
pub fn apply(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let probe = TcpKeepalive::new()
        .with_time(Duration::from_secs(KEEPALIVE_INTERVAL_S))
        .with_interval(Duration::from_secs(KEEPALIVE_INTERVAL_S))
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&probe)
}

/// Lets the close of a connection reset it, which its peer cannot mistake for the end of a body.
pub fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::warn!(error:% = error; "connection will end without a reset");
    }
}
