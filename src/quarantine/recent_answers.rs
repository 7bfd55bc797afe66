//! What was answered lately.

use std::collections::HashMap;
use std::hash::Hash;

use super::AnswerProgress;

/// The keys that were answered most recently, and how far their answers came. Bounded.
#[derive(Debug)]
pub struct RecentAnswers<K> {
    newer: HashMap<K, AnswerProgress>,
    older: HashMap<K, AnswerProgress>,
    /// Keys stored in one generation; two generations are kept.
    generation_size: usize,
}

impl<K: Copy + Eq + Hash> RecentAnswers<K> {
    /// Creates an empty map with generations of the given size.
    #[must_use]
    pub fn open(generation_size: usize) -> Self {
        Self {
            newer: HashMap::new(),
            older: HashMap::new(),
            generation_size,
        }
    }

    /// Records an answer; drops the oldest half when the map is full.
    pub fn record(&mut self, key: K, progress: AnswerProgress) {
        let progress = progress.max(self.progress(key));
        if self.newer.len() >= self.generation_size && !self.newer.contains_key(&key) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(key, progress);
    }

    /// How far the best of the recent answers came.
    #[must_use]
    pub fn progress(&self, key: K) -> AnswerProgress {
        let known = self.newer.get(&key).or_else(|| self.older.get(&key));
        known.copied().unwrap_or_default()
    }
}
