//! Outgoing TCP connections.

use std::net::SocketAddr;
use std::time::Duration;

use compio::net::TcpStream;

use super::{NetError, socket_options};

/// Milliseconds within which a connection is made; the far regions answer within 60 ms, and a
/// lost opening packet is sent again sooner by a new attempt.
const CONNECT_TIMEOUT_MS: u64 = 450;

/// Connects with the options of every connection.
///
/// # Errors
/// [`NetError::ConnectTimeout`] or [`NetError::Socket`]; nothing was sent then.
pub async fn dial(address: SocketAddr) -> Result<TcpStream, NetError> {
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let stream = compio::time::timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| NetError::ConnectTimeout(CONNECT_TIMEOUT_MS))?
        .map_err(NetError::Socket)?;
    socket_options::apply(&stream).map_err(NetError::Socket)?;
    Ok(stream)
}
