//! Requests that wait for a model, and what wakes them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use crate::daemon::{BroadcastSignal, WakeSignal};
use crate::fleet::ModelNeed;
use crate::orders::WantLine;
use crate::planner_rpc::LoadForecast;
use crate::prelude::*;

#[derive(Debug)]
struct WaitGroup {
    service: ServiceName,
    rank: u8,
    /// Arrival of each waiting request; never empty.
    arrivals: Vec<MonoTime>,
}

/// Groups waiting requests by what they need.
#[derive(Debug, Default)]
pub struct WaitBoard {
    groups: RefCell<BTreeMap<ModelNeed, WaitGroup>>,
    forecasts: RefCell<BTreeMap<ModelNeed, u64>>,
    news: BroadcastSignal,
    /// Notified when something new is waited for.
    pub wanted: WakeSignal,
}

/// Keeps a request on the board; dropping it takes the request off.
#[derive(Debug)]
pub struct WaitPlace {
    board: Rc<WaitBoard>,
    need: ModelNeed,
    arrived_at: MonoTime,
}

impl WaitBoard {
    /// Opens an empty board.
    #[must_use]
    pub fn open() -> Rc<Self> {
        Rc::default()
    }

    /// Enters a request.
    #[must_use]
    pub fn enter(
        self: &Rc<Self>,
        need: ModelNeed,
        service: &ServiceName,
        rank: u8,
        arrived_at: MonoTime,
    ) -> WaitPlace {
        let mut groups = self.groups.borrow_mut();
        let group = groups.entry(need.clone()).or_insert_with(|| WaitGroup {
            service: service.clone(),
            rank,
            arrivals: Vec::new(),
        });
        let is_news = group.arrivals.is_empty() || rank < group.rank;
        group.rank = group.rank.min(rank);
        group.arrivals.push(arrived_at);
        if is_news {
            self.wanted.notify();
        }
        WaitPlace {
            board: Rc::clone(self),
            need,
            arrived_at,
        }
    }

    /// What is waited for now.
    #[must_use]
    pub fn wants(&self, now: MonoTime) -> Vec<WantLine> {
        let groups = self.groups.borrow();
        groups
            .iter()
            .map(|(need, group)| WantLine {
                need: need.clone(),
                service: group.service.clone(),
                count: u32::try_from(group.arrivals.len()).unwrap_or(u32::MAX),
                rank: group.rank,
                waited_ms: group
                    .arrivals
                    .iter()
                    .map(|at| now.millis_since(*at))
                    .max()
                    .unwrap_or(0),
            })
            .collect()
    }

    /// Takes the planner's forecasts and wakes those who wait.
    pub fn take_forecasts(&self, lines: Vec<LoadForecast>) {
        let forecasts = lines.into_iter().map(|LoadForecast(need, ms)| (need, ms));
        *self.forecasts.borrow_mut() = forecasts.collect();
        self.wake_all();
    }

    /// Milliseconds until a need should be met, if the planner has told.
    #[must_use]
    pub fn forecast_ms(&self, need: &ModelNeed) -> Option<u64> {
        self.forecasts.borrow().get(need).copied()
    }

    /// Lets all waiting requests look again.
    pub fn wake_all(&self) {
        self.news.notify();
    }

    /// Number of the newest wake; taken before a look, so that no wake is missed.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.news.generation()
    }

    /// Waits for a wake after the given one.
    pub async fn woken_after(&self, generation: u64) {
        self.news.after(generation).await;
    }
}

impl Drop for WaitPlace {
    fn drop(&mut self) {
        let mut groups = self.board.groups.borrow_mut();
        let Some(group) = groups.get_mut(&self.need) else {
            return;
        };
        let position = group.arrivals.iter().position(|at| *at == self.arrived_at);
        if let Some(position) = position {
            group.arrivals.swap_remove(position);
        }
        if group.arrivals.is_empty() {
            groups.remove(&self.need);
        }
    }
}
