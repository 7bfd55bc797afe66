//! Errors of table calls.

use derive_more::Error;
use displaydoc::Display;

/// A table call without a usable response; a transaction may or may not have taken effect.
#[derive(Debug, Display, Error)]
pub enum TableError {
    /// the table service did not respond within {0} ms
    Timeout(#[error(not(source))] u64),
    /// the table service cannot be reached: {0}
    Transport(cyper::Error),
    /// no connection to the table service: {0}
    Unreachable(crate::net::NetError),
    /// the table service's response was truncated: {0}
    Truncated(crate::net::BodyError),
    /// the table service responded with status {0}
    Status(#[error(not(source))] u16),
    /// a table row cannot be decoded: {0}
    Decode(serde_json::Error),
}
