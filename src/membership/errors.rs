//! Errors of the membership client.

use derive_more::Error;
use displaydoc::Display;

/// The list of instances could not be read.
#[derive(Debug, Display, Error)]
pub enum MembershipError {
    /// the list service cannot be reached: {0}
    Transport(cyper::Error),
    /// the list service did not respond within {0} ms
    Timeout(#[error(not(source))] u64),
}
