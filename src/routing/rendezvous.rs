//! Rendezvous (highest random weight) hashing.

use sha2::{Digest, Sha256};

/// Weight of a node for a key; the node with the highest weight is the key's first choice.
/// Every process computes the same weight.
#[must_use]
pub fn rendezvous_weight(key: &str, node: &str) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(key.as_bytes());
    hasher.update([0]);
    hasher.update(node.as_bytes());
    let digest = hasher.finalize();
    let mut first_bytes = [0; 8];
    first_bytes.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first_bytes)
}
