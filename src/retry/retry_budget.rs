//! Limits retries to a share of the first attempts.

use std::collections::HashMap;

use crate::ids::TeamName;

/// Thousandths of a retry that each first attempt earns.
const EARNED_MILLI: u64 = 200;

/// Maximum saved budget of a team in thousandths of a retry.
const MAX_SAVED_MILLI: u64 = 20_000;

/// Retries of each team: at most a fifth of its first attempts, plus a small reserve.
#[derive(Debug, Default)]
pub struct RetryBudget {
    saved: HashMap<TeamName, u64>,
}

impl RetryBudget {
    /// Creates a budget in which each team starts with a full reserve.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Counts a first attempt.
    pub fn earn(&mut self, team: &TeamName) {
        let saved = self.saved_of(team);
        *saved = (*saved + EARNED_MILLI).min(MAX_SAVED_MILLI);
    }

    /// Spends one retry if the budget allows it; returns whether it did.
    pub fn try_spend(&mut self, team: &TeamName) -> bool {
        let saved = self.saved_of(team);
        if *saved < 1_000 {
            return false;
        }
        *saved -= 1_000;
        true
    }

    fn saved_of(&mut self, team: &TeamName) -> &mut u64 {
        self.saved.entry(team.clone()).or_insert(MAX_SAVED_MILLI)
    }
}
