//! Queue of the requests that wait for one upstream.

use std::collections::BTreeSet;

use derive_more::Error;
use displaydoc::Display;
use slotmap::SlotMap;

use super::{RankKey, RankShare, WorkItem, WorkKey};
use crate::prelude::*;

/// A bypassed rank saves credit for at most this many requests of the cost of its next one.
const MAX_CREDIT_REQUESTS: u64 = 4;

/// Scheduling policy; all but `RankFloors` are baselines for benchmarks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum QueuePolicy {
    /// Most urgent rank first, with guaranteed floors for the others; within a rank fair between
    /// teams and earliest deadline first.
    #[default]
    RankFloors,
    /// First come, first served.
    ArrivalOrder,
    /// Urgent first without floors.
    StrictRanks,
    /// One request of each rank in turn.
    RoundRobin,
}

/// the queue holds its maximum of waiting requests
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub struct QueueFull;

/// Result of a successful push.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PushOutcome {
    /// Key of the new request.
    pub key: WorkKey,
    /// A less urgent request that the caller must remove and refuse to make room.
    pub evicted: Option<WorkKey>,
}

#[derive(Debug)]
struct RankLane {
    share: RankShare,
    /// Waiting requests by deadline, then by arrival.
    order: BTreeSet<(MonoTime, u64, WorkKey)>,
    /// Service owed to this rank for having been bypassed, in hundredths of a millisecond.
    credit: u64,
    /// Service received by each waiting team, divided by its share.
    served: Vec<(TeamName, u64)>,
}

#[derive(Debug)]
struct QueuedWork<T> {
    item: WorkItem,
    sequence: u64,
    payload: T,
}

/// Waiting requests of one upstream, each with a payload of the caller.
#[derive(Debug)]
pub struct WorkQueue<T> {
    items: SlotMap<WorkKey, QueuedWork<T>>,
    lanes: Vec<RankLane>,
    policy: QueuePolicy,
    capacity: usize,
    next_sequence: u64,
    next_turn: usize,
}

impl<T> WorkQueue<T> {
    /// Creates a queue for the given ranks, most urgent first.
    #[must_use]
    pub fn open(ranks: Vec<RankShare>, capacity: usize, policy: QueuePolicy) -> Self {
        let mut queue = Self {
            items: SlotMap::with_key(),
            lanes: Vec::new(),
            policy,
            capacity,
            next_sequence: 0,
            next_turn: 0,
        };
        queue.set_ranks(ranks);
        queue
    }

    /// Applies changed ranks; waiting requests of a removed rank move to the least urgent one.
    /// An empty list is ignored.
    pub fn set_ranks(&mut self, ranks: Vec<RankShare>) {
        let is_unchanged = ranks.len() == self.lanes.len()
            && ranks.iter().zip(&self.lanes).all(|(a, b)| *a == b.share);
        if is_unchanged || ranks.is_empty() {
            return;
        }
        let old: Vec<RankName> = self.lanes.iter().map(|l| l.share.name.clone()).collect();
        let last = ranks.len() - 1;
        let position = |name: &RankName| ranks.iter().position(|rank| rank.name == *name);
        let new_positions: Vec<usize> = old.iter().map(|n| position(n).unwrap_or(last)).collect();
        self.lanes = ranks.into_iter().map(RankLane::open).collect();
        for (key, queued) in &mut self.items {
            queued.item.rank = RankKey(new_positions[queued.item.rank.0]);
            let entry = (queued.item.deadline, queued.sequence, key);
            self.lanes[queued.item.rank.0].order.insert(entry);
        }
    }

    /// Key of a named rank; the least urgent one if there is no such rank.
    #[must_use]
    pub fn rank_key(&self, name: &RankName) -> RankKey {
        let found = self.lanes.iter().position(|lane| lane.share.name == *name);
        RankKey(found.unwrap_or(self.lanes.len().saturating_sub(1)))
    }

    /// Ranks from most to least urgent.
    pub fn ranks(&self) -> impl Iterator<Item = (RankKey, &RankShare)> {
        let lanes = self.lanes.iter().enumerate();
        lanes.map(|(index, lane)| (RankKey(index), &lane.share))
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// A waiting request.
    #[must_use]
    pub fn item(&self, key: WorkKey) -> Option<&WorkItem> {
        self.items.get(key).map(|queued| &queued.item)
    }

    /// All waiting requests.
    pub fn items(&self) -> impl Iterator<Item = &WorkItem> {
        self.items.values().map(|queued| &queued.item)
    }

    /// Adds a request. A full queue evicts a request of a less urgent rank that uses more than
    /// its floor of the capacity; the caller must remove the evicted request and refuse it.
    ///
    /// # Errors
    /// [`QueueFull`] if no less urgent request can be evicted.
    pub fn push(&mut self, item: WorkItem, payload: T) -> Result<PushOutcome, QueueFull> {
        let mut evicted = None;
        if self.items.len() >= self.capacity {
            evicted = Some(self.eviction_candidate(item.rank).ok_or(QueueFull)?);
        }
        let rank = item.rank;
        let deadline = item.deadline;
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let team = item.team.clone();
        let key = self.items.insert(QueuedWork {
            item,
            sequence,
            payload,
        });
        let lane = &mut self.lanes[rank.0];
        lane.order.insert((deadline, sequence, key));
        lane.admit_team(&team);
        Ok(PushOutcome { key, evicted })
    }

    /// Removes a request.
    pub fn remove(&mut self, key: WorkKey) -> Option<(WorkItem, T)> {
        let queued = self.items.remove(key)?;
        let lane = &mut self.lanes[queued.item.rank.0];
        lane.order
            .remove(&(queued.item.deadline, queued.sequence, key));
        if lane.order.is_empty() {
            lane.credit = 0;
            lane.served.clear();
        }
        Some((queued.item, queued.payload))
    }

    /// Removes the request to run next, among those that `is_ready` allows.
    pub fn pop(&mut self, is_ready: impl Fn(&WorkItem) -> bool) -> Option<(WorkItem, T)> {
        let heads: Vec<Option<WorkKey>> = (0..self.lanes.len())
            .map(|lane| self.lane_head(lane, &is_ready))
            .collect();
        let chosen = match self.policy {
            QueuePolicy::RankFloors => self.pick_with_floors(&heads),
            QueuePolicy::StrictRanks => heads.iter().position(Option::is_some),
            QueuePolicy::RoundRobin => self.pick_in_turn(&heads),
            QueuePolicy::ArrivalOrder => self.pick_first_arrival(&heads),
        }?;
        let key = heads[chosen]?;
        self.charge_team(key);
        self.remove(key)
    }

    /// Requests that would miss their deadline even if dispatched after `ready_ms`, the time
    /// until their replica is loaded.
    pub fn infeasible(&self, now: MonoTime, ready_ms: impl Fn(&WorkItem) -> u64) -> Vec<WorkKey> {
        let is_late = |queued: &QueuedWork<T>| {
            let item = &queued.item;
            now + ready_ms(item) + item.needed_ms > item.deadline
        };
        let items = self.items.iter();
        items
            .filter(|(_, queued)| is_late(queued))
            .map(|(key, _)| key)
            .collect()
    }

    /// Requests of a rank by deadline, each with the service milliseconds of its rank that are
    /// ahead of it.
    pub fn lane(&self, rank: RankKey) -> impl Iterator<Item = (WorkKey, &WorkItem, u64)> {
        let mut own_ms = 0;
        let order = self.lanes.get(rank.0).into_iter().flat_map(|l| &l.order);
        order.map(move |(_, _, key)| {
            let item = &self.items[*key].item;
            let before_ms = own_ms;
            own_ms += item.service_ms;
            (*key, item, before_ms)
        })
    }

    /// Service milliseconds waiting in ranks more urgent than `rank`, and in `rank` itself with
    /// a deadline of `deadline` or earlier.
    #[must_use]
    pub fn work_ahead(&self, rank: RankKey, deadline: MonoTime) -> (u64, u64) {
        let mut urgent_ms = 0;
        let mut own_ms = 0;
        for item in self.items() {
            if item.rank < rank {
                urgent_ms += item.service_ms;
            } else if item.rank == rank && item.deadline <= deadline {
                own_ms += item.service_ms;
            }
        }
        (urgent_ms, own_ms)
    }

    fn eviction_candidate(&self, rank: RankKey) -> Option<WorkKey> {
        let lanes = self.lanes.iter().enumerate().skip(rank.0 + 1).rev();
        for (_, lane) in lanes {
            let floor = self.capacity * lane.share.floor_percent as usize / 100;
            if lane.order.len() > floor {
                return lane.order.last().map(|(_, _, key)| *key);
            }
        }
        None
    }

    fn lane_head(&self, lane: usize, is_ready: &impl Fn(&WorkItem) -> bool) -> Option<WorkKey> {
        let lane = &self.lanes[lane];
        let ready = |key: &WorkKey| self.items.get(*key).is_some_and(|q| is_ready(&q.item));
        let keys = lane.order.iter().map(|(_, _, key)| *key);
        match self.policy {
            QueuePolicy::RankFloors => self.fair_head(lane, ready),
            QueuePolicy::ArrivalOrder | QueuePolicy::RoundRobin => keys
                .filter(|key| ready(key))
                .min_by_key(|key| self.items[*key].sequence),
            QueuePolicy::StrictRanks => keys.into_iter().find(|key| ready(key)),
        }
    }

    fn fair_head(&self, lane: &RankLane, ready: impl Fn(&WorkKey) -> bool) -> Option<WorkKey> {
        let mut best: Option<(u64, WorkKey)> = None;
        let mut seen: Vec<&TeamName> = Vec::new();
        for (_, _, key) in &lane.order {
            let team = &self.items[*key].item.team;
            if seen.contains(&team) || !ready(key) {
                continue;
            }
            seen.push(team);
            let served = lane.served_of(team);
            if best.is_none_or(|(least, _)| served < least) {
                best = Some((served, *key));
            }
            if seen.len() == lane.served.len() {
                break;
            }
        }
        best.map(|(_, key)| key)
    }

    fn pick_with_floors(&mut self, heads: &[Option<WorkKey>]) -> Option<usize> {
        let top = heads.iter().position(Option::is_some)?;
        let owed = (top + 1..heads.len()).find(|index| {
            let cost = heads[*index].map(|key| self.cost_of(key));
            cost.is_some_and(|cost| self.lanes[*index].credit >= cost * 100)
        });
        let chosen = owed.unwrap_or(top);
        let cost = self.cost_of(heads[chosen]?);
        for (index, head) in heads.iter().enumerate().skip(top + 1) {
            if let Some(key) = head {
                let own_cost = self.cost_of(*key);
                let lane = &mut self.lanes[index];
                let earned = cost * u64::from(lane.share.floor_percent);
                let limit = own_cost * 100 * MAX_CREDIT_REQUESTS;
                lane.credit = (lane.credit + earned).min(limit);
            }
        }
        if owed.is_some() {
            let lane = &mut self.lanes[chosen];
            lane.credit = lane.credit.saturating_sub(cost * 100);
        }
        Some(chosen)
    }

    fn pick_in_turn(&mut self, heads: &[Option<WorkKey>]) -> Option<usize> {
        let count = heads.len();
        let turns = (0..count).map(|step| (self.next_turn + step) % count);
        let chosen = turns.into_iter().find(|index| heads[*index].is_some())?;
        self.next_turn = chosen + 1;
        Some(chosen)
    }

    fn pick_first_arrival(&self, heads: &[Option<WorkKey>]) -> Option<usize> {
        let indexed_heads = heads.iter().enumerate();
        indexed_heads
            .filter_map(|(index, head)| head.map(|key| (index, self.items[key].sequence)))
            .min_by_key(|(_, sequence)| *sequence)
            .map(|(index, _)| index)
    }

    fn charge_team(&mut self, key: WorkKey) {
        let item = &self.items[key].item;
        let cost = item.service_ms.max(1) * 1_000 / u64::from(item.share.max(1));
        let lane = &mut self.lanes[item.rank.0];
        for (team, served) in &mut lane.served {
            if *team == item.team {
                *served += cost;
            }
        }
    }

    fn cost_of(&self, key: WorkKey) -> u64 {
        self.items[key].item.service_ms.max(1)
    }
}

impl RankLane {
    const fn open(share: RankShare) -> Self {
        Self {
            share,
            order: BTreeSet::new(),
            credit: 0,
            served: Vec::new(),
        }
    }

    fn served_of(&self, team: &TeamName) -> u64 {
        let entry = self.served.iter().find(|(name, _)| name == team);
        entry.map_or(0, |(_, served)| *served)
    }

    /// A new team starts with the least service of any waiting team, so that it gets no credit
    /// for time in which it had no requests.
    fn admit_team(&mut self, team: &TeamName) {
        if self.served.iter().any(|(name, _)| name == team) {
            return;
        }
        let least = self.served.iter().map(|(_, served)| *served).min();
        self.served.push((team.clone(), least.unwrap_or(0)));
    }
}
