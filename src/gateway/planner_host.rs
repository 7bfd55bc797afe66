//! The planner's lease, and the planner while this process holds it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;

use super::takeover_delay_ms;
use crate::config::{GatewayConfig, NodeConfig};
use crate::daemon::{BroadcastSignal, WakeSignal};
use crate::lease::{LeaseHolder, LeaseIntent, LeaseRow};
use crate::orders::{OrderPlanner, PlacementNews, PlannerPolicy};
use crate::planner_rpc::{CrashRecord, DemandReport, DemandResponse, FollowMark, LoadForecast};
use crate::prelude::*;
use crate::table::RowRevision;

/// Milliseconds after which an entry that fell silent no longer counts.
const ENTRY_LIFE_MS: u64 = 3_000;

/// Milliseconds for which crashes are passed on to other entries.
const CRASH_NEWS_MS: u64 = 2_000;

/// Milliseconds added to the pause between two holders, for clocks and links.
const TURN_MARGIN_MS: u64 = 250;

struct ActivePlanner {
    planner: OrderPlanner,
    epoch: u64,
    /// Entries that reported lately: when, and where they listen.
    entries: HashMap<InstanceName, (MonoTime, SocketAddr)>,
    crashes: Vec<(MonoTime, CrashRecord)>,
}

/// This process's side of the planner's lease.
pub struct PlannerHost {
    lease: RefCell<LeaseHolder>,
    active: RefCell<Option<ActivePlanner>>,
    policy: PlannerPolicy,
    turn_ms: u64,
    address: SocketAddr,
    /// When this process began.
    opened_at: MonoTime,
    /// Orders that were sent and are not answered.
    pub orders_under_way: Cell<u32>,
    /// When the planner was last heard of, where it is another process.
    pub heard_at: Cell<MonoTime>,
    /// Wakes the loop that gives orders.
    pub work: WakeSignal,
    /// Notified when holdings changed.
    pub news: BroadcastSignal,
}

impl PlannerHost {
    /// Opens a host that does not hold the lease.
    #[must_use]
    pub fn open(now: MonoTime, node: &NodeConfig, config: &GatewayConfig, start_id: u64) -> Self {
        let lease = LeaseHolder::open(
            node.instance.clone(),
            config.peers,
            start_id,
            config.lease_term_ms,
        )
        .as_sole_process();
        Self {
            lease: RefCell::new(lease),
            active: RefCell::default(),
            policy: PlannerPolicy {
                store_loads: config.store_loads,
                ..PlannerPolicy::default()
            },
            turn_ms: config.order_turn_ms,
            address: config.peers,
            opened_at: now,
            orders_under_way: Cell::new(0),
            heard_at: Cell::default(),
            work: WakeSignal::default(),
            news: BroadcastSignal::default(),
        }
    }

    /// Runs a step of the planner, if this process has one.
    pub fn with_planner<R>(&self, step: impl FnOnce(&mut OrderPlanner) -> R) -> Option<R> {
        let mut active = self.active.borrow_mut();
        let active = active.as_mut()?;
        let before = active.planner.version();
        let result = step(&mut active.planner);
        let is_changed = active.planner.version() != before;
        if is_changed {
            self.news.notify();
        }
        self.work.notify();
        Some(result)
    }

    /// Epoch of the planner of this process, while the lease is held.
    #[must_use]
    pub fn held_epoch(&self, now: MonoTime) -> Option<u64> {
        let active = self.active.borrow();
        let epoch = active.as_ref()?.epoch;
        self.lease.borrow().is_held(now).then_some(epoch)
    }

    /// Whether this process plans.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.active.borrow().is_some()
    }

    /// Where the planner listens, if it is another process.
    #[must_use]
    pub fn remote_address(&self) -> Option<SocketAddr> {
        let lease = self.lease.borrow();
        let row = lease.last_row().filter(|row| !row.is_released)?;
        (row.address != self.address).then_some(row.address)
    }

    /// Takes the lease row as the table has it.
    pub fn observe(&self, now: MonoTime, revision: RowRevision, row: Option<LeaseRow>) {
        self.lease.borrow_mut().observe(now, revision, row);
    }

    /// The write that is due, if any.
    #[must_use]
    pub fn intent(&self, now: MonoTime) -> Option<LeaseIntent> {
        let may_take = self.takeover_in_ms(now) == 0;
        self.lease.borrow().intent(now, may_take)
    }

    /// Milliseconds for which younger processes go first at a lease that was given up.
    #[must_use]
    pub fn takeover_in_ms(&self, now: MonoTime) -> u64 {
        let released_for_ms = self.lease.borrow().released_for_ms(now);
        let age_ms = now.millis_since(self.opened_at);
        released_for_ms.map_or(0, |known_ms| {
            takeover_delay_ms(age_ms).saturating_sub(known_ms)
        })
    }

    /// Milliseconds until the lease must be renewed, if it is held.
    #[must_use]
    pub fn renewal_in_ms(&self, now: MonoTime) -> Option<u64> {
        self.lease.borrow().renewal_in_ms(now)
    }

    /// Takes word that a write took effect. Returns the new planner's epoch if this process
    /// begins to plan.
    pub fn committed(
        &self,
        now: MonoTime,
        sent_at: MonoTime,
        intent: &LeaseIntent,
        revision: RowRevision,
    ) -> Option<u64> {
        let is_first = intent.expected == RowRevision::ABSENT;
        let mut lease = self.lease.borrow_mut();
        let was_ours = lease.is_last_ours();
        let was_predecessor = lease.is_last_predecessor();
        let released_for_ms = lease.released_for_ms(now).unwrap_or(0);
        lease.committed(sent_at, intent, revision);
        if intent.row.is_released {
            return None;
        }
        let mut active = self.active.borrow_mut();
        if active
            .as_ref()
            .is_some_and(|active| active.epoch == intent.row.epoch)
        {
            return None;
        }
        let pause_ms = if is_first || was_ours {
            0
        } else if was_predecessor {
            TURN_MARGIN_MS
        } else {
            // An earlier holder had ended its orders when it gave the lease up.
            (self.turn_ms + TURN_MARGIN_MS).saturating_sub(released_for_ms)
        };
        *active = Some(ActivePlanner {
            planner: OrderPlanner::open(self.policy, intent.row.epoch, now + pause_ms),
            epoch: intent.row.epoch,
            entries: HashMap::new(),
            crashes: Vec::new(),
        });
        Some(intent.row.epoch)
    }

    /// Stops planning if the lease has passed to another process.
    pub fn settle(&self) -> bool {
        let is_lost = self.is_active() && !self.lease.borrow().is_last_ours();
        if is_lost {
            *self.active.borrow_mut() = None;
        }
        is_lost
    }

    /// Stops planning; orders that are under way go on.
    pub fn end_planning(&self) {
        *self.active.borrow_mut() = None;
    }

    /// The write that gives the lease up.
    #[must_use]
    pub fn release(&self) -> Option<LeaseIntent> {
        self.lease.borrow_mut().release()
    }

    /// Takes an answer of the planner's process.
    pub fn heard(&self, now: MonoTime, revision: u64) {
        self.heard_at.set(now);
        if revision > 0 {
            self.lease.borrow_mut().heard(now, RowRevision(revision));
        }
    }

    /// Answers an entry's report, if this process plans.
    #[must_use]
    pub fn take_report(
        &self,
        now: MonoTime,
        report: DemandReport,
        catalog_version: u64,
    ) -> Option<DemandResponse> {
        let revision = self.lease.borrow().held_revision(now);
        let mut active = self.active.borrow_mut();
        let active = active.as_mut()?;
        active
            .entries
            .insert(report.entry.clone(), (now, report.address));
        active
            .entries
            .retain(|_, (at, _)| now.millis_since(*at) < ENTRY_LIFE_MS);
        active
            .crashes
            .retain(|(at, _)| now.millis_since(*at) < CRASH_NEWS_MS);
        active
            .crashes
            .extend(report.crashes.iter().map(|line| (now, *line)));
        let wants = report.demand.wants.clone();
        active.planner.take_demand(now, report.entry, report.demand);
        let forecasts = wants.iter().map(|line| {
            let forecast_ms = active.planner.forecast_ms(now, &line.need);
            LoadForecast(line.need.clone(), forecast_ms)
        });
        let answer = DemandResponse {
            lease_revision: revision.map_or(0, |revision| revision.0),
            entry_count: u32::try_from(active.entries.len()).unwrap_or(u32::MAX),
            catalog_version,
            forecasts: forecasts.collect(),
            crashes: active.crashes.iter().map(|(_, line)| *line).collect(),
        };
        self.work.notify();
        Some(answer)
    }

    /// Other entries that reported lately, newest first.
    #[must_use]
    pub fn relay_peers(&self, count: usize) -> Vec<SocketAddr> {
        let active = self.active.borrow();
        let Some(active) = active.as_ref() else {
            return Vec::new();
        };
        let mut peers: Vec<(MonoTime, SocketAddr)> = active.entries.values().copied().collect();
        peers.retain(|(_, address)| *address != self.address);
        peers.sort_unstable();
        peers
            .iter()
            .rev()
            .take(count)
            .map(|(_, address)| *address)
            .collect()
    }

    /// News after a mark, if this process plans.
    #[must_use]
    pub fn news_since(&self, mark: FollowMark) -> Option<PlacementNews> {
        let active = self.active.borrow();
        Some(
            active
                .as_ref()?
                .planner
                .news_since(mark.epoch, mark.version),
        )
    }
}
