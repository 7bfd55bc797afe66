//! Plans the slots of each replica.

use std::collections::BTreeMap;

use super::{
    PlacementRow, PlannerInput, ReplicaDemand, SlotGrant, SlotState, UpstreamView, partition_of,
};
use crate::prelude::*;
use crate::routing::rendezvous_weight;
use crate::rpc::ReplicaState;
use crate::settings::{FleetSettings, ModelSettings};
use crate::table::RowRevision;

/// Percent of an upstream's concurrency that planned demand may fill.
const TARGET_FILL_PERCENT: u64 = 70;

/// Milliseconds for which a lower need must last before slots are revoked.
const SHRINK_AFTER_MS: u64 = 30_000;

/// Changes in one round at most, so that a planner's first round does not reach the table's
/// write limit.
const MAX_CHANGES: usize = 32;

/// A planned row, to be written only if the row's revision is unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementChange {
    /// Revision that the row must still have.
    pub expected: RowRevision,
    /// The new row; without slots it is deleted.
    pub row: PlacementRow,
}

#[derive(Debug, Clone, Copy)]
struct NeedHistory {
    need: u32,
    /// Since when the computed need has been below `need`; `None` if it is not.
    below_since: Option<MonoTime>,
}

/// Plans one partition of replicas. A rising need takes effect at once, a falling one after
/// a delay.
#[derive(Debug)]
pub struct PlacementPlanner {
    partition: u32,
    needs: BTreeMap<ReplicaName, NeedHistory>,
}

impl PlacementPlanner {
    /// Creates a planner for a partition.
    #[must_use]
    pub const fn open(partition: u32) -> Self {
        Self {
            partition,
            needs: BTreeMap::new(),
        }
    }

    /// Plans the changes of one round.
    pub fn plan(
        &mut self,
        now: MonoTime,
        settings: &FleetSettings,
        input: &PlannerInput,
    ) -> Vec<PlacementChange> {
        let mut committed_mb = committed_memory(settings, input);
        let mut changes = Vec::new();
        for (replica, is_wanted) in self.replicas_to_plan(settings, input) {
            if changes.len() >= MAX_CHANGES {
                break;
            }
            let need = if is_wanted {
                self.need_of(now, settings, input, &replica)
            } else {
                0
            };
            let known = input.rows.get(&replica);
            let expected = known.map_or(RowRevision::ABSENT, |(revision, _)| *revision);
            let old = known.map_or_else(
                || PlacementRow::empty(replica.clone()),
                |(_, row)| row.clone(),
            );
            let round = PlanRound {
                settings,
                input,
                replica: &replica,
            };
            let row = round.next_row(&old, need, &mut committed_mb);
            let is_obsolete = known.is_some() && !is_wanted && row.slots.is_empty();
            if row != old || is_obsolete {
                changes.push(PlacementChange { expected, row });
            }
        }
        changes
    }

    /// Replicas of this partition, with whether they are wanted: current versions, and old
    /// versions in use until the current one is loaded somewhere.
    fn replicas_to_plan(
        &self,
        settings: &FleetSettings,
        input: &PlannerInput,
    ) -> Vec<(ReplicaName, bool)> {
        let mut wanted = BTreeMap::new();
        for replica in input.rows.keys() {
            wanted.insert(
                replica.clone(),
                is_old_still_wanted(settings, input, replica),
            );
        }
        for (name, model) in &settings.models {
            wanted.insert(model.replica(name), true);
        }
        let partitions = settings.limits.partitions;
        wanted.retain(|replica, _| partition_of(replica, partitions) == self.partition);
        wanted.into_iter().collect()
    }

    fn need_of(
        &mut self,
        now: MonoTime,
        settings: &FleetSettings,
        input: &PlannerInput,
        replica: &ReplicaName,
    ) -> u32 {
        let demand = input.demand.get(replica).copied().unwrap_or_default();
        let limits = &settings.limits;
        let busy = busy_replicas(demand);
        let raw = (busy + limits.standby_slots.min(1)).max(limits.standby_slots);
        let need = raw.min(limits.max_slots.max(limits.standby_slots));
        let history = self.needs.entry(replica.clone()).or_insert(NeedHistory {
            need,
            below_since: None,
        });
        history.update(now, need)
    }
}

impl NeedHistory {
    fn update(&mut self, now: MonoTime, need: u32) -> u32 {
        if need >= self.need {
            self.need = need;
            self.below_since = None;
        } else {
            let since = *self.below_since.get_or_insert(now);
            if now.millis_since(since) >= SHRINK_AFTER_MS {
                self.need = need;
                self.below_since = None;
            }
        }
        self.need
    }
}

struct PlanRound<'a> {
    settings: &'a FleetSettings,
    input: &'a PlannerInput,
    replica: &'a ReplicaName,
}

impl PlanRound<'_> {
    fn next_row(
        &self,
        old: &PlacementRow,
        need: u32,
        committed_mb: &mut BTreeMap<InstanceName, u64>,
    ) -> PlacementRow {
        let mut row = old.clone();
        row.slots
            .retain(|slot| !self.input.gone.contains(&slot.instance));
        self.revoke_misplaced(&mut row);
        self.revoke_surplus(&mut row, need);
        self.add_missing(&mut row, need, committed_mb);
        self.mark_warm(&mut row);
        row
    }

    fn revoke_misplaced(&self, row: &mut PlacementRow) {
        for slot in &mut row.slots {
            let is_leaving = self.input.leaving.contains(&slot.instance);
            let view = self.view_of(&slot.instance);
            let is_misplaced = view.is_some_and(|view| !self.may_hold(view));
            if is_leaving || is_misplaced {
                slot.state = SlotState::Revoked;
            }
        }
    }

    /// Revokes slots beyond the need, those of unloaded replicas first.
    fn revoke_surplus(&self, row: &mut PlacementRow, need: u32) {
        let mut surplus = count_active(row).saturating_sub(need as usize);
        for is_loaded in [false, true] {
            for slot in row.slots.iter_mut().rev() {
                let is_active = slot.state != SlotState::Revoked;
                if surplus > 0 && is_active && self.is_loaded_at(&slot.instance) == is_loaded {
                    slot.state = SlotState::Revoked;
                    surplus -= 1;
                }
            }
        }
    }

    fn add_missing(
        &self,
        row: &mut PlacementRow,
        need: u32,
        committed_mb: &mut BTreeMap<InstanceName, u64>,
    ) {
        let memory_mb = self.model().map_or(0, |model| model.memory_mb);
        while count_active(row) < need as usize {
            let Some(instance) = self.best_instance(row, committed_mb) else {
                return;
            };
            *committed_mb.entry(instance.clone()).or_default() += memory_mb;
            row.slots.push(SlotGrant {
                instance,
                state: SlotState::Granted,
            });
        }
    }

    /// Keeps as many replicas loaded as sustained demand needs, and at least one while an old
    /// version is still to be replaced.
    fn mark_warm(&self, row: &mut PlacementRow) {
        let demand = self.input.demand.get(self.replica).copied();
        let mut warm = busy_replicas(demand.unwrap_or_default()) as usize;
        if self.replaces_loaded_version() {
            warm = warm.max(1);
        }
        let mut order: Vec<usize> = (0..row.slots.len()).collect();
        order.sort_by_key(|index| {
            let slot = &row.slots[*index];
            (
                !self.is_loaded_at(&slot.instance),
                slot.state != SlotState::Warm,
            )
        });
        for index in order {
            let slot = &mut row.slots[index];
            if slot.state == SlotState::Revoked {
                continue;
            }
            slot.state = if warm > 0 {
                SlotState::Warm
            } else {
                SlotState::Granted
            };
            warm = warm.saturating_sub(1);
        }
    }

    fn best_instance(
        &self,
        row: &PlacementRow,
        committed_mb: &BTreeMap<InstanceName, u64>,
    ) -> Option<InstanceName> {
        let candidates = self.input.upstreams.iter().filter(|view| {
            view.is_usable
                && self.may_hold(view)
                && row.slot_of(&view.instance).is_none()
                && !self.input.leaving.contains(&view.instance)
                && !self.input.gone.contains(&view.instance)
        });
        candidates
            .min_by_key(|view| self.placement_cost(row, view, committed_mb))
            .map(|view| view.instance.clone())
    }

    /// Lower is better: fewest slots in the same zone, then a cached checkpoint, then the smallest
    /// committed share of memory, then a stable pseudo-random order.
    fn placement_cost(
        &self,
        row: &PlacementRow,
        view: &UpstreamView,
        committed_mb: &BTreeMap<InstanceName, u64>,
    ) -> (usize, bool, u64, u64) {
        let holders = row.slots.iter().filter(|s| s.state != SlotState::Revoked);
        let same_zone = holders
            .filter(|slot| {
                let holder = self.view_of(&slot.instance);
                holder.is_some_and(|holder| holder.zone == view.zone)
            })
            .count();
        let is_cached = view.cached.contains(self.replica);
        let instance_committed_mb = committed_mb.get(&view.instance).copied().unwrap_or(0);
        let fill_percent = instance_committed_mb * 100 / view.memory_mb.max(1);
        let tie = rendezvous_weight(self.replica.as_str(), view.instance.as_str());
        (same_zone, !is_cached, fill_percent, u64::MAX - tie)
    }

    fn may_hold(&self, view: &UpstreamView) -> bool {
        self.model().is_none_or(|model| {
            model.memory_mb <= view.memory_mb
                && (model.regions.is_empty() || model.regions.contains(&view.region))
        })
    }

    fn model(&self) -> Option<&ModelSettings> {
        self.settings.model_of(self.replica)
    }

    fn view_of(&self, instance: &InstanceName) -> Option<&UpstreamView> {
        let mut upstreams = self.input.upstreams.iter();
        upstreams.find(|view| view.instance == *instance)
    }

    fn is_loaded_at(&self, instance: &InstanceName) -> bool {
        let view = self.view_of(instance);
        let state = view.and_then(|view| view.states.get(self.replica));
        state == Some(&ReplicaState::Loaded)
    }

    fn replaces_loaded_version(&self) -> bool {
        let model = self.replica.model();
        let current = self.model().map(|settings| settings.replica(&model));
        current.as_ref() == Some(self.replica)
            && loaded_replicas(self.input)
                .any(|other| other != self.replica && other.model() == model)
    }
}

fn count_active(row: &PlacementRow) -> usize {
    let slots = row.slots.iter();
    slots.filter(|s| s.state != SlotState::Revoked).count()
}

/// Number of replicas that sustained demand fills, plus one if requests are refused or more wait
/// than run; zero for demand that one cold replica can serve.
fn busy_replicas(demand: ReplicaDemand) -> u32 {
    let concurrency_milli = demand.arrivals_milli * demand.service_ms / 1_000;
    let per_replica_milli = u64::from(demand.limit.max(1)) * 10 * TARGET_FILL_PERCENT;
    let mut busy = concurrency_milli.div_ceil(per_replica_milli.max(1));
    let is_short = demand.refusals_milli > 0 || demand.waiting > demand.running;
    if concurrency_milli * 10 < per_replica_milli && !is_short {
        return 0;
    }
    if is_short {
        busy += 1;
    }
    u32::try_from(busy).unwrap_or(u32::MAX)
}

fn loaded_replicas(input: &PlannerInput) -> impl Iterator<Item = &ReplicaName> {
    let states = input.upstreams.iter().flat_map(|view| &view.states);
    states
        .filter(|(_, state)| **state == ReplicaState::Loaded)
        .map(|(replica, _)| replica)
}

/// An old version is kept while it is loaded and the current one is not loaded anywhere.
fn is_old_still_wanted(
    settings: &FleetSettings,
    input: &PlannerInput,
    replica: &ReplicaName,
) -> bool {
    let Some(model) = settings.model_of(replica) else {
        return false;
    };
    let current = model.replica(&replica.model());
    let is_current_loaded = loaded_replicas(input).any(|other| *other == current);
    let is_old_loaded = loaded_replicas(input).any(|other| other == replica);
    is_old_loaded && !is_current_loaded
}

fn committed_memory(settings: &FleetSettings, input: &PlannerInput) -> BTreeMap<InstanceName, u64> {
    let mut committed_mb = BTreeMap::new();
    for (_, row) in input.rows.values() {
        let memory_mb = settings.model_of(&row.replica).map_or(0, |m| m.memory_mb);
        for slot in &row.slots {
            *committed_mb.entry(slot.instance.clone()).or_default() += memory_mb;
        }
    }
    committed_mb
}
