//! Errors of connections.

use derive_more::Error;
use displaydoc::Display;

/// A failure on a connection to a peer.
#[derive(Debug, Display, Error)]
pub enum NetError {
    /// cannot bind or connect: {0}
    Socket(std::io::Error),
    /// the connection failed: {0}
    Http(hyper::Error),
    /// the request cannot be built: {0}
    Request(hyper::http::Error),
    /// no connection within {0} ms
    ConnectTimeout(#[error(not(source))] u64),
}
