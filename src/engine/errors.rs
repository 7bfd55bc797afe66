//! Errors of engine calls.

use derive_more::Error;
use displaydoc::Display;

use crate::net::{BodyError, NetError};

/// A call to an engine without a usable response.
#[derive(Debug, Display, Error)]
pub enum EngineError {
    /// the exchange with the engine failed: {0}
    Exchange(NetError),
    /// the engine's state could not be read: {0}
    Truncated(BodyError),
    /// the engine's state is invalid: {0}
    Decode(serde_json::Error),
    /// the engine did not respond within {0} ms
    Timeout(#[error(not(source))] u64),
    /// the engine refused with status {0}
    Refused(#[error(not(source))] u16),
}
