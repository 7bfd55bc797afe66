//! State of the planner lease, and the planner while this process holds the lease.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;

use super::{age_delay_ms, capacity_delay_ms};
use crate::account::AccountDirectory;
use crate::account_limit::{AccountBounds, AccountIssuer};
use crate::config::{GatewayConfig, NodeConfig};
use crate::daemon::{BroadcastSignal, WakeSignal};
use crate::lease::{LeaseHolder, LeaseIntent, LeasePredecessor, LeaseRow};
use crate::orders::{OrderPlanner, PlacementUpdate, PlannerPolicy};
use crate::planner_rpc::{
    CrashUpdate, DemandReport, DemandResponse, FeedAges, FeedVersions, FollowMark, LoadForecast,
};
use crate::prelude::*;
use crate::rate_limit::TokenIssuer;
use crate::table::{RowRevision, TableEra};
use crate::upstream_speed::SpeedBoard;

/// Milliseconds after its last report for which an entry counts as live.
const ENTRY_TTL_MS: u64 = 3_000;

/// Milliseconds added to the pause between two lease holders, for clock and network differences.
const HANDOVER_MARGIN_MS: u64 = 250;

/// Milliseconds without an answer after which the planner counts as unresponsive.
const PLANNER_TIMEOUT_MS: u64 = 2_200;

struct ActivePlanner {
    planner: OrderPlanner,
    epoch: u64,
    /// Time of the last report and address of each live entry.
    entries: HashMap<InstanceName, (MonoTime, SocketAddr)>,
    /// Shares the rate limits of upstreams among the entries.
    issuer: TokenIssuer,
    /// Shares the limits of accounts among the entries.
    accounts: AccountIssuer,
    /// What entries say of the speeds of upstreams.
    speeds: SpeedBoard,
}

/// Lease state of this process and, while the lease is held, its planner.
pub struct PlannerHost {
    lease: RefCell<LeaseHolder>,
    active: RefCell<Option<ActivePlanner>>,
    policy: PlannerPolicy,
    account_bounds: AccountBounds,
    handover_pause_ms: u64,
    address: SocketAddr,
    /// When this process started.
    opened_at: MonoTime,
    /// Milliseconds for which this process leaves a free lease to others with more capacity.
    capacity_delay_ms: u64,
    /// Number of orders that were sent and not answered yet.
    pub orders_in_flight: Cell<u32>,
    /// Time of the last answer from a planner in another process that held the lease.
    pub last_answer_at: Cell<MonoTime>,
    /// Whether the planner in another process held the lease when it last answered a report.
    is_remote_held: Cell<bool>,
    /// Wakes the loop that sends orders.
    pub order_wake: WakeSignal,
    /// Notified when the models held by engines change.
    pub placement_changed: BroadcastSignal,
}

impl PlannerHost {
    /// Creates the state of a process that does not hold the lease.
    #[must_use]
    pub fn open(now: MonoTime, node: &NodeConfig, config: &GatewayConfig, start_id: u64) -> Self {
        let lease = LeaseHolder::open(
            node.instance.clone(),
            config.peers,
            start_id,
            config.lease_term_ms,
        )
        .as_sole_process()
        .with_takeover_delay(capacity_delay_ms(config.processor_capacity()));
        Self {
            lease: RefCell::new(lease),
            active: RefCell::default(),
            policy: PlannerPolicy {
                store_loads: config.store_loads,
                ..PlannerPolicy::default()
            },
            account_bounds: config.accounts.bounds(),
            handover_pause_ms: config.order_turn_ms,
            address: config.peers,
            opened_at: now,
            capacity_delay_ms: capacity_delay_ms(config.processor_capacity()),
            orders_in_flight: Cell::new(0),
            last_answer_at: Cell::default(),
            is_remote_held: Cell::new(false),
            order_wake: WakeSignal::default(),
            placement_changed: BroadcastSignal::default(),
        }
    }

    /// Runs `step` on the planner; returns `None` if this process does not plan.
    pub fn with_planner<R>(&self, step: impl FnOnce(&mut OrderPlanner) -> R) -> Option<R> {
        let mut active = self.active.borrow_mut();
        let active = active.as_mut()?;
        let before = active.planner.version();
        let result = step(&mut active.planner);
        let is_changed = active.planner.version() != before;
        if is_changed {
            self.placement_changed.notify();
        }
        self.order_wake.notify();
        Some(result)
    }

    /// Lease epoch of this process's planner; `None` unless the lease is held.
    #[must_use]
    pub fn held_epoch(&self, now: MonoTime) -> Option<u64> {
        let active = self.active.borrow();
        let epoch = active.as_ref()?.epoch;
        self.lease.borrow().is_held(now).then_some(epoch)
    }

    /// Whether this process runs the planner.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.active.borrow().is_some()
    }

    /// Address of the planner; `None` if it is this process, not known, or has released the lease.
    #[must_use]
    pub fn remote_address(&self) -> Option<SocketAddr> {
        let lease = self.lease.borrow();
        let row = lease.current_row().filter(|row| !row.is_released)?;
        (row.address != self.address).then_some(row.address)
    }

    /// Whether a planner in another process that holds the lease has answered lately.
    #[must_use]
    pub fn is_planner_responsive(&self, now: MonoTime) -> bool {
        let silent_ms = now.millis_since(self.last_answer_at.get());
        let is_held = self.is_remote_held.get() && self.remote_address().is_some();
        is_held && silent_ms < PLANNER_TIMEOUT_MS
    }

    /// Records the table's era. Orders stop at once if the table was restored, until the lease is
    /// written again.
    pub fn observe_era(&self, now: MonoTime, era: TableEra) {
        self.lease.borrow_mut().observe_era(now, era);
    }

    /// Records the lease row as read from the table.
    pub fn observe(&self, now: MonoTime, revision: RowRevision, row: Option<LeaseRow>) {
        self.lease.borrow_mut().observe(now, revision, row);
    }

    /// The lease write that is due, if any.
    #[must_use]
    pub fn intent(&self, now: MonoTime) -> Option<LeaseIntent> {
        let may_take = self.takeover_in_ms(now) == 0;
        self.lease.borrow().intent(now, may_take)
    }

    /// Milliseconds before this process may acquire a released lease; younger processes and those
    /// with more capacity go first.
    #[must_use]
    pub fn takeover_in_ms(&self, now: MonoTime) -> u64 {
        let released_for_ms = self.lease.borrow().released_for_ms(now);
        let age_ms = now.millis_since(self.opened_at);
        released_for_ms.map_or(0, |known_ms| {
            let delay_ms = age_delay_ms(age_ms) + self.capacity_delay_ms;
            delay_ms.saturating_sub(known_ms)
        })
    }

    /// Milliseconds until the lease must be renewed; `None` if it is not held.
    #[must_use]
    pub fn renewal_in_ms(&self, now: MonoTime) -> Option<u64> {
        self.lease.borrow().renewal_in_ms(now)
    }

    /// Applies a successful lease write. Returns the new planner's epoch if this process starts to
    /// plan.
    pub fn apply_commit(
        &self,
        now: MonoTime,
        sent_at: MonoTime,
        intent: &LeaseIntent,
        revision: RowRevision,
    ) -> Option<u64> {
        let mut lease = self.lease.borrow_mut();
        let predecessor = lease.predecessor(now, intent);
        lease.record_commit(sent_at, intent, revision);
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
        let pause_ms = match predecessor {
            LeasePredecessor::Nobody | LeasePredecessor::Itself => 0,
            LeasePredecessor::EndedProcess => HANDOVER_MARGIN_MS,
            // The previous holder had finished its orders when it released the lease.
            LeasePredecessor::Other { released_for_ms } => {
                (self.handover_pause_ms + HANDOVER_MARGIN_MS).saturating_sub(released_for_ms)
            }
        };
        *active = Some(ActivePlanner {
            planner: OrderPlanner::open(self.policy, intent.row.epoch, now + pause_ms),
            epoch: intent.row.epoch,
            entries: HashMap::new(),
            issuer: TokenIssuer::open(),
            accounts: AccountIssuer::open(now, self.account_bounds),
            speeds: SpeedBoard::open(),
        });
        Some(intent.row.epoch)
    }

    /// Stops planning if another process holds the lease. Returns whether it stopped.
    pub fn stop_if_lease_lost(&self) -> bool {
        let is_lost = self.is_active() && !self.lease.borrow().is_last_writer();
        if is_lost {
            *self.active.borrow_mut() = None;
        }
        is_lost
    }

    /// Stops planning; orders in flight continue.
    pub fn end_planning(&self) {
        *self.active.borrow_mut() = None;
    }

    /// The write that releases the lease; `None` if there is nothing to release.
    #[must_use]
    pub fn release(&self) -> Option<LeaseIntent> {
        self.lease.borrow_mut().release()
    }

    /// Records the planner's answer to a report; `revision` is that of the lease row, or 0 if the
    /// planner does not hold the lease. Returns whether it has lost the lease since its last answer.
    pub fn record_answer(&self, now: MonoTime, revision: u64) -> bool {
        let was_held = self.is_remote_held.replace(revision > 0);
        self.record_contact(now);
        if revision > 0 {
            self.lease
                .borrow_mut()
                .observe_revision(now, RowRevision(revision));
        }
        was_held && revision == 0
    }

    /// Records that the planner answered another call. A planner that has lost its lease does not
    /// count as responsive, so that another process takes the lease.
    pub fn record_contact(&self, now: MonoTime) {
        if self.is_remote_held.get() {
            self.last_answer_at.set(now);
        }
    }

    /// Records an entry's report and builds the response; `None` if this process does not plan.
    /// `accounts` are those of the configuration in force.
    #[must_use]
    pub fn record_report(
        &self,
        now: MonoTime,
        report: DemandReport,
        feeds: FeedVersions,
        accounts: Option<&AccountDirectory>,
    ) -> Option<DemandResponse> {
        let revision = self.lease.borrow().held_revision(now);
        let mut active = self.active.borrow_mut();
        let active = active.as_mut()?;
        active
            .entries
            .insert(report.entry.clone(), (now, report.address));
        active
            .entries
            .retain(|_, (at, _)| now.millis_since(*at) < ENTRY_TTL_MS);
        let tokens = active.issuer.exchange(now, &report.entry, &report.tokens);
        active.planner.set_rate_limits(active.issuer.limits());
        // Another planner may grant allowance if the lease is not held.
        let allowance = accounts.filter(|_| revision.is_some()).map(|accounts| {
            let issuer = &mut active.accounts;
            let grants = issuer.exchange(now, &report.entry, &report.allowance, accounts);
            log_exhausted(issuer);
            grants
        });
        if active.speeds.record(now, &report.entry, report.speeds) {
            active.planner.set_durations(&active.speeds.durations());
        }
        let wants = report.demand.wants.clone();
        active
            .planner
            .apply_demand(now, report.entry, report.demand);
        let forecasts = wants.iter().map(|waiting| {
            let forecast_ms = active.planner.forecast_ms(now, &waiting.need);
            LoadForecast(waiting.need.clone(), forecast_ms)
        });
        let response = DemandResponse {
            lease_revision: revision.map_or(0, |revision| revision.0),
            entry_count: u32::try_from(active.entries.len()).unwrap_or(u32::MAX),
            feeds,
            ages: FeedAges::default(),
            forecasts: forecasts.collect(),
            crashes: CrashUpdate::default(),
            tokens,
            allowance: allowance.unwrap_or_default(),
        };
        self.order_wake.notify();
        Some(response)
    }

    /// Addresses of up to `count` other live entries, latest report first.
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

    /// Placement changes after a mark; `None` if this process does not plan.
    #[must_use]
    pub fn update_since(&self, mark: FollowMark) -> Option<PlacementUpdate> {
        let active = self.active.borrow();
        Some(
            active
                .as_ref()?
                .planner
                .update_since(mark.epoch, mark.version),
        )
    }
}

fn log_exhausted(issuer: &mut AccountIssuer) {
    for exhausted in issuer.take_exhausted() {
        log::info!(
            account:% = exhausted.account,
            limit_per_s = exhausted.limit_per_s,
            granted_per_s = exhausted.granted_per_s,
            reserved_per_s = exhausted.reserved_per_s,
            waiting_units = exhausted.waiting_units,
            wait_ms = exhausted.wait_ms;
            "account exhausted"
        );
    }
}
