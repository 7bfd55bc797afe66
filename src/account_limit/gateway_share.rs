//! What the planner knows of one gateway's use of one account.

use std::collections::VecDeque;

use super::{GRANT_WINDOW_MS, WaitingCost, decay};
use crate::prelude::*;
use crate::time::RateMeter;

/// Milliseconds for which units are kept for a gateway that waits for them; longer than the pause
/// between its reports.
const ASSIGNED_TTL_MS: u64 = 700;

/// Milliseconds after its last report for which a gateway counts as waiting.
const WAITING_TTL_MS: u64 = 1_200;

/// Use of one account by one gateway.
#[derive(Debug)]
pub(super) struct GatewayShare {
    pub reported_at: MonoTime,
    /// Requests that wait there and are not served yet.
    pub waiting: VecDeque<WaitingCost>,
    /// Sum of the costs in `waiting`.
    pub waiting_units: f64,
    /// Number of the turn in which the gateway was served last.
    pub served_turn: u64,
    /// Units that the gateway gets with its next report, and when the first were set apart.
    assigned: u32,
    assigned_at: MonoTime,
    pub granted: RateMeter,
    /// Rate in units per second that the gateway may use without a planner, and when it was told.
    told: (u32, MonoTime),
}

impl GatewayShare {
    pub const fn open(now: MonoTime) -> Self {
        Self {
            reported_at: now,
            waiting: VecDeque::new(),
            waiting_units: 0.0,
            served_turn: 0,
            assigned: 0,
            assigned_at: now,
            granted: RateMeter::open(GRANT_WINDOW_MS),
            told: (0, now),
        }
    }

    /// Sets the requests that wait; those that units are set apart for count as served.
    pub fn set_waiting(&mut self, now: MonoTime, waiting: impl Iterator<Item = WaitingCost>) {
        self.reported_at = now;
        let mut covered = self.assigned;
        self.waiting.clear();
        for cost in waiting {
            if self.waiting.is_empty() && covered >= cost.1 {
                covered -= cost.1;
            } else {
                self.waiting.push_back(cost);
            }
        }
        self.waiting_units = self.waiting.iter().map(|cost| f64::from(cost.1)).sum();
    }

    /// Rank of the first request that waits; `None` if none does.
    pub fn first(&self, now: MonoTime) -> Option<WaitingCost> {
        let is_live = now.millis_since(self.reported_at) < WAITING_TTL_MS;
        self.waiting.front().copied().filter(|_| is_live)
    }

    /// Sets units apart for the first request that waits.
    pub fn assign_first(&mut self, now: MonoTime, turn: u64) {
        let Some(WaitingCost(_, units)) = self.waiting.pop_front() else {
            return;
        };
        self.waiting_units = (self.waiting_units - f64::from(units)).max(0.0);
        if self.assigned == 0 {
            self.assigned_at = now;
        }
        self.assigned = self.assigned.saturating_add(units);
        self.served_turn = turn;
    }

    /// Units that are set apart.
    pub const fn assigned(&self) -> u32 {
        self.assigned
    }

    /// Removes the units that are set apart.
    pub const fn take_assigned(&mut self) -> u32 {
        std::mem::replace(&mut self.assigned, 0)
    }

    /// Removes the units that were set apart for a gateway that did not report again.
    pub const fn take_expired(&mut self, now: MonoTime) -> u32 {
        if now.millis_since(self.assigned_at) < ASSIGNED_TTL_MS {
            return 0;
        }
        self.take_assigned()
    }

    /// Records the rate that the gateway is told.
    pub const fn tell(&mut self, now: MonoTime, per_s: u32) {
        self.told = (per_s, now);
    }

    /// Units per second that the gateway uses if it has heard of no planner since `at`.
    pub fn pace_per_s(&self, at: MonoTime) -> f64 {
        f64::from(self.told.0) * decay(at.millis_since(self.told.1))
    }
}
