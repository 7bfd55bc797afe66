//! Tells whether an upstream that broke off an answer has crashed.

use std::net::SocketAddr;

use crate::net::{NetError, dial};

/// Whether nothing listens at the address any more. A crashed upstream refuses connections until it
/// has started again; one that only broke off an answer accepts them.
pub async fn has_crashed(address: SocketAddr) -> bool {
    match dial(address).await {
        Err(NetError::Socket(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
