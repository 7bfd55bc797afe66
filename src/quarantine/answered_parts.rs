//! Parts of prompts that were answered lately.

use std::collections::HashSet;

use super::PromptPartId;

/// Parts stored in one generation; two generations are kept.
const GENERATION_PARTS: usize = 4_096;

/// A bounded set of the parts that were answered most recently.
#[derive(Debug, Default)]
pub struct AnsweredParts {
    newer: HashSet<PromptPartId>,
    older: HashSet<PromptPartId>,
}

impl AnsweredParts {
    /// Adds a part; drops the oldest half when the set is full.
    pub fn insert(&mut self, part: PromptPartId) {
        if self.newer.len() >= GENERATION_PARTS {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(part);
    }

    /// Whether the part was answered lately.
    #[must_use]
    pub fn contains(&self, part: PromptPartId) -> bool {
        self.newer.contains(&part) || self.older.contains(&part)
    }
}
