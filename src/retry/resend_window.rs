//! A limit on requests sent again, over a sliding window.

use std::collections::{HashMap, VecDeque};

use crate::ids::ServiceName;
use crate::time::MonoTime;

/// Milliseconds of the window.
const WINDOW_MS: u64 = 10_000;

/// Percent of first sends that may be followed by another one; the fleet's limit is 20.
const RESEND_PERCENT: usize = 12;

#[derive(Debug, Default)]
struct SendHistory {
    first: VecDeque<MonoTime>,
    again: VecDeque<MonoTime>,
}

/// Counts first sends and further ones for each service.
#[derive(Debug)]
pub struct ResendWindow {
    history: HashMap<ServiceName, SendHistory>,
    /// Further sends allowed in a window besides the percentage.
    reserve: usize,
}

impl ResendWindow {
    /// Opens a window with this process's part of the fleet's reserve.
    #[must_use]
    pub fn open(reserve: usize) -> Self {
        Self {
            history: HashMap::new(),
            reserve,
        }
    }

    /// Changes this process's part of the reserve.
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
            forget(&mut history.first, now);
        }
    }

    /// Counts a further send if the window allows it.
    pub fn try_spend(&mut self, now: MonoTime, service: &ServiceName) -> bool {
        let history = self.history.entry(service.clone()).or_default();
        forget(&mut history.first, now);
        forget(&mut history.again, now);
        let allowed = self.reserve + history.first.len() * RESEND_PERCENT / 100;
        let may_send = history.again.len() < allowed;
        if may_send {
            history.again.push_back(now);
        }
        may_send
    }
}

fn forget(sends: &mut VecDeque<MonoTime>, now: MonoTime) {
    while sends
        .front()
        .is_some_and(|at| now.millis_since(*at) > WINDOW_MS)
    {
        sends.pop_front();
    }
}
