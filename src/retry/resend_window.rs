//! Limits resent requests over a sliding window.

use std::collections::{HashMap, VecDeque};

use crate::ids::ServiceName;
use crate::time::MonoTime;

/// Length of the sliding window in milliseconds.
const WINDOW_MS: u64 = 10_000;

/// Percent of first sends that may be resent; the fleet's limit is 20.
const RESEND_PERCENT: usize = 12;

#[derive(Debug, Default)]
struct SendHistory {
    first: VecDeque<MonoTime>,
    resends: VecDeque<MonoTime>,
}

/// Counts first sends and resends of each service within the window.
#[derive(Debug)]
pub struct ResendWindow {
    history: HashMap<ServiceName, SendHistory>,
    /// Resends allowed in a window in addition to the percentage.
    reserve: usize,
}

impl ResendWindow {
    /// Creates a window with this process's share of the fleet's reserve.
    #[must_use]
    pub fn open(reserve: usize) -> Self {
        Self {
            history: HashMap::new(),
            reserve,
        }
    }

    /// Changes this process's share of the reserve.
    pub const fn set_reserve(&mut self, reserve: usize) {
        self.reserve = reserve;
    }

    /// Counts a request's first send.
    pub fn earn(&mut self, now: MonoTime, service: &ServiceName) {
        if !self.history.contains_key(service) {
            self.history.insert(service.clone(), SendHistory::default());
        }
        if let Some(history) = self.history.get_mut(service) {
            history.first.push_back(now);
            drop_expired(&mut history.first, now);
        }
    }

    /// Counts a resend if the window allows it; returns whether it did.
    pub fn try_spend(&mut self, now: MonoTime, service: &ServiceName) -> bool {
        let history = self.history.entry(service.clone()).or_default();
        drop_expired(&mut history.first, now);
        drop_expired(&mut history.resends, now);
        let allowed = self.reserve + history.first.len() * RESEND_PERCENT / 100;
        let may_send = history.resends.len() < allowed;
        if may_send {
            history.resends.push_back(now);
        }
        may_send
    }
}

fn drop_expired(sends: &mut VecDeque<MonoTime>, now: MonoTime) {
    while sends
        .front()
        .is_some_and(|at| now.millis_since(*at) > WINDOW_MS)
    {
        sends.pop_front();
    }
}
