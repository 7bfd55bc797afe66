//! Outgoing TCP connections.

use std::net::SocketAddr;
use std::time::Duration;

use compio::net::TcpStream;

use super::{NetError, socket_options};

/// Timeout of a connect in milliseconds. Remote regions respond within 60 ms, and a new attempt
/// resends a lost SYN sooner than the kernel does.
const CONNECT_TIMEOUT_MS: u64 = 450;

/// Connects and sets the options of every connection.
///
/// # Errors
/// [`NetError::ConnectTimeout`] or [`NetError::Socket`]; in both cases nothing was sent.
pub async fn dial(address: SocketAddr) -> Result<TcpStream, NetError> {
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let stream = compio::time::timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| NetError::ConnectTimeout(CONNECT_TIMEOUT_MS))?
        .map_err(NetError::Socket)?;
    socket_options::apply(&stream).map_err(NetError::Socket)?;
    Ok(stream)
}
