//! Requests that wait for a model, and the signals that wake them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use crate::daemon::{BroadcastSignal, WakeSignal};
use crate::fleet::ModelNeed;
use crate::orders::WaitingRequests;
use crate::planner_rpc::LoadForecast;
use crate::prelude::*;

#[derive(Debug)]
struct WaitGroup {
    service: ServiceName,
    rank: u8,
    /// Arrival time of each waiting request; never empty.
    arrivals: Vec<MonoTime>,
    /// Time until which each waiting request may wait, in the order of `arrivals`.
    limits: Vec<MonoTime>,
}

/// Waiting requests, grouped by the model and adapter that they need.
#[derive(Debug, Default)]
pub struct WaitRegistry {
    groups: RefCell<BTreeMap<ModelNeed, WaitGroup>>,
    forecasts: RefCell<BTreeMap<ModelNeed, u64>>,
    wake: BroadcastSignal,
    /// Notified when requests wait for a new need, or at a more urgent rank.
    pub wanted: WakeSignal,
}

/// Keeps a request registered; dropping it removes the request.
#[derive(Debug)]
pub struct WaitRegistration {
    registry: Rc<WaitRegistry>,
    need: ModelNeed,
    arrived_at: MonoTime,
    wait_until: MonoTime,
    /// Whether the planner's forecast cannot count this request yet: it is the first for its need, or
    /// more urgent than the others.
    is_new_want: bool,
}

impl WaitRegistration {
    /// Whether the planner's latest forecast for the need may be too long for this request, because
    /// the planner did not know of a request as urgent as this.
    #[must_use]
    pub const fn is_new_want(&self) -> bool {
        self.is_new_want
    }
}

impl WaitRegistry {
    /// Creates an empty registry.
    #[must_use]
    pub fn open() -> Rc<Self> {
        Rc::default()
    }

    /// Registers a waiting request.
    #[must_use]
    pub fn register(
        self: &Rc<Self>,
        need: ModelNeed,
        service: &ServiceName,
        rank: u8,
        arrived_at: MonoTime,
        wait_until: MonoTime,
    ) -> WaitRegistration {
        let mut groups = self.groups.borrow_mut();
        let group = groups.entry(need.clone()).or_insert_with(|| WaitGroup {
            service: service.clone(),
            rank,
            arrivals: Vec::new(),
            limits: Vec::new(),
        });
        let is_new_want = group.arrivals.is_empty() || rank < group.rank;
        group.rank = group.rank.min(rank);
        group.arrivals.push(arrived_at);
        group.limits.push(wait_until);
        if is_new_want {
            self.wanted.notify();
        }
        WaitRegistration {
            registry: Rc::clone(self),
            need,
            arrived_at,
            wait_until,
            is_new_want,
        }
    }

    /// Needs with waiting requests, with count, rank and longest wait.
    #[must_use]
    pub fn wants(&self, now: MonoTime) -> Vec<WaitingRequests> {
        let groups = self.groups.borrow();
        groups
            .iter()
            .map(|(need, group)| WaitingRequests {
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

    /// For each of [`Self::wants`], the milliseconds for which the last of its requests may still wait.
    #[must_use]
    pub fn left_ms(&self, now: MonoTime) -> Vec<u32> {
        let groups = self.groups.borrow();
        let left_ms = groups.values().map(|group| {
            let last = group.limits.iter().max();
            let left_ms = last.map_or(0, |until| until.millis_since(now));
            u32::try_from(left_ms).unwrap_or(u32::MAX)
        });
        left_ms.collect()
    }

    /// Replaces the planner's forecasts and wakes all waiting requests.
    pub fn set_forecasts(&self, reported: Vec<LoadForecast>) {
        let forecasts = reported
            .into_iter()
            .map(|LoadForecast(need, ms)| (need, ms));
        *self.forecasts.borrow_mut() = forecasts.collect();
        self.wake_all();
    }

    /// Forecast milliseconds until a need is met; `None` if the planner gave no forecast.
    #[must_use]
    pub fn forecast_ms(&self, need: &ModelNeed) -> Option<u64> {
        self.forecasts.borrow().get(need).copied()
    }

    /// Wakes all waiting requests, so that they choose an upstream again.
    pub fn wake_all(&self) {
        self.wake.notify();
    }

    /// Number of the latest wake; read before checking, so that no wake is missed.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.wake.generation()
    }

    /// Waits for a wake after the given generation.
    pub async fn woken_after(&self, generation: u64) {
        self.wake.wait_after(generation).await;
    }
}

impl Drop for WaitRegistration {
    fn drop(&mut self) {
        let mut groups = self.registry.groups.borrow_mut();
        let Some(group) = groups.get_mut(&self.need) else {
            return;
        };
        let mut requests = group.arrivals.iter().zip(&group.limits);
        let position = requests.position(|(arrived_at, wait_until)| {
            *arrived_at == self.arrived_at && *wait_until == self.wait_until
        });
        if let Some(position) = position {
            group.arrivals.swap_remove(position);
            group.limits.swap_remove(position);
        }
        if group.arrivals.is_empty() {
            groups.remove(&self.need);
        }
    }
}
