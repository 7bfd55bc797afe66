//! What was answered lately.

use std::collections::HashSet;
use std::hash::Hash;

/// A bounded set of the keys that were answered most recently.
#[derive(Debug)]
pub struct RecentAnswers<K> {
    newer: HashSet<K>,
    older: HashSet<K>,
    /// Keys stored in one generation; two generations are kept.
    generation_size: usize,
}

impl<K: Copy + Eq + Hash> RecentAnswers<K> {
    /// Creates an empty set with generations of the given size.
    #[must_use]
    pub fn open(generation_size: usize) -> Self {
        Self {
            newer: HashSet::new(),
            older: HashSet::new(),
            generation_size,
        }
    }

    /// Adds a key; drops the oldest half when the set is full.
    pub fn insert(&mut self, key: K) {
        if self.newer.len() >= self.generation_size {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(key);
    }

    /// Whether the key was answered lately.
    #[must_use]
    pub fn contains(&self, key: K) -> bool {
        self.newer.contains(&key) || self.older.contains(&key)
    }
}
