//! What the planner knows of one engine.

use std::collections::{BTreeMap, BTreeSet};

use super::bring_purpose::BringPurpose;
use super::{EngineReport, LoadSource, OrderStep, OrderVerb, RunningOrder, UpstreamHoldings};
use super::{OrderAnswer, UpstreamTarget};
use crate::fleet::{EngineConfig, HeldModel, ModelNeed, UpstreamEntry};
use crate::prelude::*;

/// Milliseconds by which an engine's own report lags behind its state.
pub(super) const REPORT_LAG_MS: u64 = 250;

/// Milliseconds between reads of an engine's state while an order runs.
const REREAD_MS: u64 = 150;

/// Reports that may be older than the newest accepted order before they are believed.
const MAX_OLDER_REPORTS: u32 = 8;

/// Milliseconds added to a load's known duration before the model counts as usable.
const LOAD_MARGIN_MS: u64 = 25;

/// Milliseconds until an accepted unload of a model without requests is done.
const IDLE_UNLOAD_MS: u64 = 40;

/// Milliseconds until an accepted adapter load is done; the slowest adapters take 10 ms.
const ADAPTER_LOAD_MS: u64 = 10;

/// A loaded model.
#[derive(Debug, Clone)]
pub(super) struct LoadedModel {
    /// Usable adapters with the time of their last order or use.
    pub adapters: BTreeMap<AdapterName, MonoTime>,
    /// When it became usable.
    pub since: MonoTime,
}

/// One engine: what it holds, what it was ordered, and what it may hold.
#[derive(Debug)]
pub struct UpstreamLedger {
    pub(super) target: UpstreamTarget,
    pub(super) service: ServiceName,
    pub(super) started_at_ms: u64,
    pub(super) is_ready: bool,
    /// Orders accepted, as far as is known; the precondition of the next order.
    pub(super) order_count: u64,
    /// Models that take up memory, those being unloaded included.
    pub(super) models: BTreeMap<ModelName, LoadedModel>,
    pub(super) local_copies: BTreeSet<ModelName>,
    /// Models as the list last had them.
    listed: Vec<HeldModel>,
    pub(super) step: OrderStep,
    /// Reports in a row that were older than the newest accepted order.
    older_reports: u32,
    pub(super) running: Option<RunningOrder>,
    /// The model that the present unloads make room for.
    pub(super) goal: Option<ModelName>,
    /// When the goal was set.
    pub(super) goal_at: MonoTime,
    /// Why the goal was set.
    pub(super) goal_purpose: BringPurpose,
    /// Version of the news that last changed what is usable.
    pub(super) changed_in: u64,
}

impl UpstreamLedger {
    /// Opens the ledger of an engine as it is listed.
    #[must_use]
    pub fn open(now: MonoTime, entry: &UpstreamEntry) -> Self {
        let mut ledger = Self {
            target: UpstreamTarget {
                id: entry.id.clone(),
                address: entry.address,
            },
            service: entry.service.clone(),
            started_at_ms: entry.started_at_ms,
            is_ready: true,
            order_count: 0,
            models: BTreeMap::new(),
            local_copies: entry.local_copies.iter().cloned().collect(),
            listed: entry.models.clone(),
            step: OrderStep::Stale { read_at: now },
            older_reports: 0,
            running: None,
            goal: None,
            goal_at: now,
            goal_purpose: BringPurpose::Prefetch,
            changed_in: 0,
        };
        ledger.adopt(now, &entry.models);
        ledger
    }

    /// The engine that the ledger is about.
    #[must_use]
    pub const fn target(&self) -> &UpstreamTarget {
        &self.target
    }

    /// Whether a new order may be given now.
    #[must_use]
    pub fn is_free(&self) -> bool {
        self.is_ready && self.step == OrderStep::Idle
    }

    /// Megabytes in use: loaded, being loaded and being unloaded.
    #[must_use]
    pub fn used_mb(&self, plan: &EngineConfig) -> f64 {
        let loaded: f64 = self
            .models
            .iter()
            .map(|(name, held)| model_mb(plan, name) + adapter_mb(plan, name, held.adapters.len()))
            .sum();
        let loading = self
            .running
            .as_ref()
            .filter(|order| order.verb == OrderVerb::Load);
        loaded + loading.map_or(0.0, |order| model_mb(plan, &order.model))
    }

    /// Adapters in use over all models.
    #[must_use]
    pub fn adapter_count(&self) -> usize {
        self.models.values().map(|held| held.adapters.len()).sum()
    }

    /// Whether requests for the model can be sent here.
    #[must_use]
    pub fn can_serve(&self, model: &ModelName) -> bool {
        self.is_ready && self.models.contains_key(model) && !self.is_unloading(model)
    }

    /// Whether requests that need the model and adapter can be sent here.
    #[must_use]
    pub fn can_serve_need(&self, need: &ModelNeed) -> bool {
        let has_adapter = |name: &AdapterName| {
            let held = self.models.get(&need.model);
            held.is_some_and(|held| held.adapters.contains_key(name))
        };
        self.can_serve(&need.model) && need.adapter.as_ref().is_none_or(has_adapter)
    }

    /// Whether the model is being brought here.
    #[must_use]
    pub fn is_bringing(&self, model: &ModelName) -> bool {
        let is_loading = self
            .running
            .as_ref()
            .is_some_and(|order| order.verb == OrderVerb::Load && order.model == *model);
        let is_sent = matches!(
            &self.step,
            OrderStep::Sent { verb: OrderVerb::Load, need, .. }
                if need.model == *model && need.adapter.is_none()
        );
        is_loading || is_sent || self.goal.as_ref() == Some(model)
    }

    /// Whether the model is being brought here from the engine's own copy.
    #[must_use]
    pub fn is_bringing_copy(&self, model: &ModelName) -> bool {
        self.is_bringing(model) && !self.is_store_loading()
    }

    /// Whether a load from the weight store runs here, was ordered, or waits for room.
    #[must_use]
    pub fn is_store_loading(&self) -> bool {
        if self
            .goal
            .as_ref()
            .is_some_and(|model| !self.local_copies.contains(model))
        {
            return true;
        }
        let is_running = self.running.as_ref().is_some_and(|order| {
            order.source == LoadSource::Store && order.verb == OrderVerb::Load
        });
        let is_sent = matches!(
            &self.step,
            OrderStep::Sent { verb: OrderVerb::Load, source: LoadSource::Store, need }
                if need.adapter.is_none()
        );
        is_running || is_sent
    }

    /// What can be served here.
    #[must_use]
    pub fn holdings(&self) -> UpstreamHoldings {
        let usable = self.models.iter().filter(|(name, _)| self.can_serve(name));
        UpstreamHoldings {
            id: self.target.id.clone(),
            started_at_ms: self.started_at_ms,
            models: usable
                .map(|(name, held)| (name.clone(), held.adapters.keys().cloned().collect()))
                .collect(),
        }
    }

    /// Records that an order was sent.
    pub(super) fn order_sent(&mut self, verb: OrderVerb, need: ModelNeed, source: LoadSource) {
        if let (OrderVerb::Unload, Some(adapter)) = (verb, &need.adapter)
            && let Some(held) = self.models.get_mut(&need.model)
        {
            held.adapters.remove(adapter);
        }
        self.step = OrderStep::Sent { verb, need, source };
    }

    /// Takes the answer to the order that was sent; `None` where there was none.
    /// Returns whether what is usable changed.
    pub(super) fn order_answered(
        &mut self,
        now: MonoTime,
        answer: Option<OrderAnswer>,
        load_ms: u64,
        is_used: bool,
    ) -> bool {
        let OrderStep::Sent { verb, need, source } =
            std::mem::replace(&mut self.step, OrderStep::Idle)
        else {
            return false;
        };
        match answer {
            Some(OrderAnswer::Accepted) => {
                self.order_count += 1;
                self.begin(now, verb, need, source, load_ms, is_used);
                true
            }
            Some(OrderAnswer::AlreadyDone | OrderAnswer::Conflict) => {
                self.step = OrderStep::Stale {
                    read_at: now + REREAD_MS,
                };
                true
            }
            _ => {
                self.step = OrderStep::Stale {
                    read_at: now + REPORT_LAG_MS,
                };
                true
            }
        }
    }

    fn begin(
        &mut self,
        now: MonoTime,
        verb: OrderVerb,
        need: ModelNeed,
        source: LoadSource,
        load_ms: u64,
        is_used: bool,
    ) {
        match (verb, need.adapter) {
            (OrderVerb::Load, Some(adapter)) => {
                if let Some(held) = self.models.get_mut(&need.model) {
                    held.adapters.insert(adapter, now + ADAPTER_LOAD_MS);
                }
            }
            (OrderVerb::Unload, Some(_)) => {}
            (verb, None) => {
                let wait_ms = match verb {
                    OrderVerb::Load => load_ms + LOAD_MARGIN_MS,
                    OrderVerb::Unload if is_used => REREAD_MS,
                    OrderVerb::Unload => {
                        self.models.remove(&need.model);
                        IDLE_UNLOAD_MS
                    }
                };
                self.running = Some(RunningOrder {
                    verb,
                    model: need.model,
                    source,
                    due_at: now + wait_ms,
                });
            }
        }
    }

    /// Has the engine's state read, because it denied what the ledger says.
    pub(super) fn doubt(&mut self, now: MonoTime) {
        if self.step == OrderStep::Idle {
            self.step = OrderStep::Stale { read_at: now };
        }
    }

    /// Moves on with time. Returns whether what is usable changed.
    pub(super) fn advance(&mut self, now: MonoTime) -> bool {
        let Some(order) = self.running.clone().filter(|order| now >= order.due_at) else {
            return false;
        };
        if order.verb == OrderVerb::Load && order.source == LoadSource::Local {
            self.running = None;
            self.finish_load(now, &order.model);
            return true;
        }
        if order.verb == OrderVerb::Unload && !self.models.contains_key(&order.model) {
            self.running = None;
            return false;
        }
        // Only the engine knows when an unload or a load from the store has ended.
        if self.step == OrderStep::Idle {
            self.step = OrderStep::Stale { read_at: now };
        }
        false
    }

    /// Takes the engine's own state. Returns whether what is usable changed.
    pub(super) fn take_report(&mut self, now: MonoTime, report: &EngineReport) -> bool {
        self.local_copies
            .extend(report.local_copies.iter().cloned());
        self.step = OrderStep::Idle;
        if report.order_count < self.order_count && self.older_reports < MAX_OLDER_REPORTS {
            // The report is older than an accepted order.
            self.older_reports += 1;
            self.step = OrderStep::Stale {
                read_at: now + REREAD_MS,
            };
            return false;
        }
        self.older_reports = 0;
        let before = self.holdings();
        let is_ours = report.order_count == self.order_count;
        self.order_count = report.order_count;
        if !is_ours {
            // An order without an answer was accepted.
            self.running = None;
        }
        self.settle_running(now, report);
        self.adopt(now, &report.models);
        if report.is_busy && self.running.is_none() {
            self.step = OrderStep::Stale {
                read_at: now + REREAD_MS,
            };
        }
        before != self.holdings()
    }

    /// Takes the entry of the list. It tells neither how old it is nor how many orders it
    /// knows of, so that a changed one only leads to a read of the engine's state.
    pub(super) fn take_entry(&mut self, now: MonoTime, entry: &UpstreamEntry) {
        self.local_copies.extend(entry.local_copies.iter().cloned());
        let is_news = entry.models != self.listed;
        if !is_news {
            return;
        }
        self.listed.clone_from(&entry.models);
        let is_waiting = self.running.as_ref().is_some_and(|order| {
            order.source == LoadSource::Store || order.verb == OrderVerb::Unload
        });
        if is_waiting && self.step == OrderStep::Idle {
            self.step = OrderStep::Stale { read_at: now };
        }
    }

    fn settle_running(&mut self, now: MonoTime, report: &EngineReport) {
        let Some(order) = &mut self.running else {
            return;
        };
        let is_held = report.models.iter().any(|held| held.model == order.model);
        if is_held == (order.verb == OrderVerb::Load) {
            let order = self.running.take();
            if let Some(order) = order.filter(|order| order.verb == OrderVerb::Load) {
                self.local_copies.insert(order.model);
            }
        } else if report.is_busy || now < order.due_at + REPORT_LAG_MS {
            order.due_at = now + REREAD_MS;
        } else {
            self.running = None;
        }
    }

    fn finish_load(&mut self, now: MonoTime, model: &ModelName) {
        self.local_copies.insert(model.clone());
        let loaded = LoadedModel {
            adapters: BTreeMap::new(),
            since: now,
        };
        self.models.entry(model.clone()).or_insert(loaded);
        if self.goal.as_ref() == Some(model) {
            self.goal = None;
        }
    }

    fn adopt(&mut self, now: MonoTime, held: &[HeldModel]) {
        self.models
            .retain(|name, _| held.iter().any(|model| model.model == *name));
        for model in held {
            let loaded = self
                .models
                .entry(model.model.clone())
                .or_insert_with(|| LoadedModel {
                    adapters: BTreeMap::new(),
                    since: now,
                });
            loaded
                .adapters
                .retain(|name, _| model.adapters.contains(name));
            for adapter in &model.adapters {
                loaded.adapters.entry(adapter.clone()).or_insert(now);
            }
            self.local_copies.insert(model.model.clone());
            if self.goal.as_ref() == Some(&model.model) {
                self.goal = None;
            }
        }
    }

    fn is_unloading(&self, model: &ModelName) -> bool {
        let is_running = self
            .running
            .as_ref()
            .is_some_and(|order| order.verb == OrderVerb::Unload && order.model == *model);
        let is_sent = matches!(
            &self.step,
            OrderStep::Sent { verb: OrderVerb::Unload, need, .. }
                if need.model == *model && need.adapter.is_none()
        );
        is_running || is_sent
    }
}

/// Megabytes of a model; an unknown one counts as filling the engine.
pub(super) fn model_mb(plan: &EngineConfig, model: &ModelName) -> f64 {
    plan.models
        .get(model)
        .map_or(plan.memory_mb, |known| known.memory_mb)
}

#[allow(clippy::cast_precision_loss)]
fn adapter_mb(plan: &EngineConfig, model: &ModelName, count: usize) -> f64 {
    let each = plan.models.get(model).map_or(0.0, |known| known.adapter_mb);
    each * count as f64
}
