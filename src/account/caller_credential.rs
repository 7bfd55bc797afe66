//! What a request shows for its caller's account.

use super::KeyDigest;

/// The credential of a request, as its headers state it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CallerCredential {
    /// The request has none.
    #[default]
    Missing,
    /// The request has one that cannot name an account: of another scheme, empty, too long, stated
    /// twice, or with bytes that are not visible ASCII.
    Unreadable,
    /// Digest of the request's key.
    Digest(KeyDigest),
}
