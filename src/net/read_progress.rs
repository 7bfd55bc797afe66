//! How much of a message has arrived.

use std::cell::Cell;

/// Bytes that have arrived so far, by one reader or by several that read the same. Tells an answer that
/// is slow from one that is lost.
#[derive(Debug, Default)]
pub struct ReadProgress {
    bytes: Cell<usize>,
}

impl ReadProgress {
    /// Records bytes that arrived.
    pub fn record(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
    }

    /// Number of bytes that have arrived.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes.get()
    }
}
