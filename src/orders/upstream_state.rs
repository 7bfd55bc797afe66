//! The planner's view of one engine.

use std::collections::{BTreeMap, BTreeSet};

use super::load_purpose::LoadPurpose;
use super::{LoadSource, OrderState, OrderVerb, RunningOrder, UpstreamHoldings};
use super::{OrderAnswer, UpstreamTarget};
use crate::fleet::{EngineConfig, HeldModel, ModelNeed, UpstreamEntry};
use crate::prelude::*;
use crate::rate_limit::RequestRate;

/// Milliseconds by which an engine's report lags behind its state.
pub(super) const REPORT_LAG_MS: u64 = 250;

/// Milliseconds between reads of an engine's report while an order is in progress.
pub(super) const REREAD_MS: u64 = 150;

/// Milliseconds added to a load's configured duration before the model counts as usable.
const LOAD_MARGIN_MS: u64 = 25;

/// Milliseconds until an accepted unload of a model without requests in flight is complete.
const IDLE_UNLOAD_MS: u64 = 40;

/// Milliseconds until an accepted adapter load is complete; the slowest adapters take 10 ms.
const ADAPTER_LOAD_MS: u64 = 10;

/// A loaded model.
#[derive(Debug, Clone)]
pub(super) struct LoadedModel {
    /// Usable adapters, each with the time from which it counts as loaded.
    pub adapters: BTreeMap<AdapterName, MonoTime>,
    /// When the model became usable.
    pub since: MonoTime,
}

/// State of one engine as the planner tracks it: loaded models, local copies and orders.
#[derive(Debug)]
pub struct UpstreamState {
    pub(super) target: UpstreamTarget,
    pub(super) service: ServiceName,
    pub(super) started_at_ms: u64,
    /// Version of the engine's software; `None` if its entry names none.
    pub(super) software: Option<SoftwareVersion>,
    pub(super) is_ready: bool,
    /// Request rate that the engine accepts; `None` without a limit.
    pub(super) rate_limit: Option<RequestRate>,
    /// Work per time relative to its peers; 1 if it is not known to differ.
    pub(super) speed: f64,
    /// Number of orders known to be accepted; the precondition of the next order.
    pub(super) order_count: u64,
    /// Models that count as occupying memory. A model being unloaded stays until its unload ends
    /// or, without requests in flight, until the order is accepted.
    pub(super) models: BTreeMap<ModelName, LoadedModel>,
    pub(super) local_copies: BTreeSet<ModelName>,
    /// Models as the upstream list last stated them.
    listed: Vec<HeldModel>,
    pub(super) order_state: OrderState,
    /// Number of consecutive reports that were older than the newest accepted order.
    pub(super) outdated_reports: u32,
    /// Number of consecutive answers that were no report.
    pub(super) invalid_reports: u32,
    pub(super) running: Option<RunningOrder>,
    /// Whether the latest load of a whole model ended with the model in memory; false while it runs.
    pub(super) has_completed_load: bool,
    /// Model that is to be loaded here, and that models are being evicted for. `None` if no load is
    /// planned.
    pub(super) planned_model: Option<ModelName>,
    /// When the load was planned.
    pub(super) planned_at: MonoTime,
    /// Why the load was planned.
    pub(super) planned_purpose: LoadPurpose,
    /// Version of the latest change of the usable models or adapters.
    pub(super) changed_version: u64,
}

impl UpstreamState {
    /// Creates the state of an engine from its entry in the upstream list.
    #[must_use]
    pub fn open(now: MonoTime, entry: &UpstreamEntry) -> Self {
        let mut state = Self {
            target: UpstreamTarget {
                id: entry.id.clone(),
                address: entry.address,
            },
            service: entry.service.clone(),
            started_at_ms: entry.started_at_ms,
            software: entry.software.clone(),
            is_ready: true,
            rate_limit: None,
            speed: 1.0,
            order_count: 0,
            models: BTreeMap::new(),
            local_copies: entry.local_copies.iter().cloned().collect(),
            listed: entry.models.clone(),
            order_state: OrderState::Stale { read_at: now },
            outdated_reports: 0,
            invalid_reports: 0,
            running: None,
            has_completed_load: false,
            planned_model: None,
            planned_at: now,
            planned_purpose: LoadPurpose::Prefetch,
            changed_version: 0,
        };
        state.reconcile_models(now, &entry.models);
        state
    }

    /// Identity and address of the engine.
    #[must_use]
    pub const fn target(&self) -> &UpstreamTarget {
        &self.target
    }

    /// Whether the engine is ready and no call to it is in flight or due.
    #[must_use]
    pub fn is_free(&self) -> bool {
        self.is_ready && self.order_state == OrderState::Idle
    }

    /// Megabytes in use by models and adapters that are loaded, being loaded or being unloaded.
    #[must_use]
    pub fn used_mb(&self, config: &EngineConfig) -> f64 {
        let loaded: f64 = self
            .models
            .iter()
            .map(|(name, held)| {
                model_mb(config, name) + adapter_mb(config, name, held.adapters.len())
            })
            .sum();
        let loading = self
            .running
            .as_ref()
            .filter(|order| order.verb == OrderVerb::Load);
        loaded + loading.map_or(0.0, |order| model_mb(config, &order.model))
    }

    /// Number of loaded adapters over all models.
    #[must_use]
    pub fn adapter_count(&self) -> usize {
        self.models.values().map(|held| held.adapters.len()).sum()
    }

    /// Whether requests for the model can be sent to this engine.
    #[must_use]
    pub fn can_serve(&self, model: &ModelName) -> bool {
        self.is_ready && self.models.contains_key(model) && !self.is_unloading(model)
    }

    /// Whether the engine runs a software version that the need allows.
    #[must_use]
    pub fn is_allowed_for(&self, need: &ModelNeed) -> bool {
        need.allows(self.software.as_ref())
    }

    /// Whether requests that need the model, with or without its adapter, can be sent to this engine.
    #[must_use]
    pub fn can_serve_model_of(&self, need: &ModelNeed) -> bool {
        self.is_allowed_for(need) && self.can_serve(&need.model)
    }

    /// Whether requests that need the model and adapter can be sent to this engine.
    #[must_use]
    pub fn can_serve_need(&self, need: &ModelNeed) -> bool {
        let has_adapter = |name: &AdapterName| {
            let held = self.models.get(&need.model);
            held.is_some_and(|held| held.adapters.contains_key(name))
        };
        self.can_serve_model_of(need) && need.adapter.as_ref().is_none_or(has_adapter)
    }

    /// Whether a load of the model is in progress, in flight or planned.
    #[must_use]
    pub fn has_pending_load(&self, model: &ModelName) -> bool {
        let is_sent = matches!(
            &self.order_state,
            OrderState::Sent { verb: OrderVerb::Load, need, .. }
                if need.model == *model && need.adapter.is_none()
        );
        self.is_loading(model) || is_sent || self.planned_model.as_ref() == Some(model)
    }

    /// Whether a load of the model from the engine's local copy is in progress, in flight or
    /// planned.
    #[must_use]
    pub fn has_pending_local_load(&self, model: &ModelName) -> bool {
        self.has_pending_load(model) && !self.has_pending_store_load()
    }

    /// Whether any load from the weight store is in progress, in flight, or planned and waiting for
    /// evictions.
    #[must_use]
    pub fn has_pending_store_load(&self) -> bool {
        if self
            .planned_model
            .as_ref()
            .is_some_and(|model| !self.local_copies.contains(model))
        {
            return true;
        }
        let is_sent = matches!(
            &self.order_state,
            OrderState::Sent { verb: OrderVerb::Load, source: LoadSource::Store, need }
                if need.adapter.is_none()
        );
        self.is_loading_from_store() || is_sent
    }

    /// Whether a load of the model is in progress.
    #[must_use]
    pub fn is_loading(&self, model: &ModelName) -> bool {
        self.running
            .as_ref()
            .is_some_and(|order| order.verb == OrderVerb::Load && order.model == *model)
    }

    /// Milliseconds until the order in progress is due; 0 without one.
    #[must_use]
    pub fn due_in_ms(&self, now: MonoTime) -> u64 {
        let order = self.running.as_ref();
        order.map_or(0, |order| order.due_at.millis_since(now))
    }

    /// Whether a load from the weight store is in progress.
    #[must_use]
    pub fn is_loading_from_store(&self) -> bool {
        self.running
            .as_ref()
            .is_some_and(|order| order.source == LoadSource::Store && order.verb == OrderVerb::Load)
    }

    /// Models and adapters that requests can be sent here for.
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

    /// Records that an order was sent. An adapter stops being usable as soon as its unload is sent.
    pub(super) fn record_sent(&mut self, verb: OrderVerb, need: ModelNeed, source: LoadSource) {
        if let (OrderVerb::Unload, Some(adapter)) = (verb, &need.adapter)
            && let Some(held) = self.models.get_mut(&need.model)
        {
            held.adapters.remove(adapter);
        }
        self.order_state = OrderState::Sent { verb, need, source };
    }

    /// Applies the answer to the order in flight; `None` if there was none. Returns whether the
    /// usable models or adapters may have changed.
    pub(super) fn apply_answer(
        &mut self,
        now: MonoTime,
        answer: Option<OrderAnswer>,
        load_ms: u64,
        is_used: bool,
    ) -> bool {
        let OrderState::Sent { verb, need, source } =
            std::mem::replace(&mut self.order_state, OrderState::Idle)
        else {
            return false;
        };
        match answer {
            Some(OrderAnswer::Accepted) => {
                self.order_count = self.order_count.saturating_add(1);
                self.start_order(now, verb, need, source, load_ms, is_used);
                true
            }
            Some(OrderAnswer::AlreadyDone | OrderAnswer::Conflict) => {
                self.order_state = OrderState::Stale {
                    read_at: now + REREAD_MS,
                };
                true
            }
            _ => {
                self.order_state = OrderState::Stale {
                    read_at: now + REPORT_LAG_MS,
                };
                true
            }
        }
    }

    fn start_order(
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
                self.has_completed_load = false;
                self.running = Some(RunningOrder {
                    verb,
                    model: need.model,
                    source,
                    due_at: now + wait_ms,
                });
            }
        }
    }

    /// Schedules a read of an idle engine's report, because the engine answered that it lacks a
    /// model that this state lists.
    pub(super) fn mark_stale(&mut self, now: MonoTime) {
        if self.order_state == OrderState::Idle {
            self.order_state = OrderState::Stale { read_at: now };
        }
    }

    /// Completes an order that is due, or schedules a read of the engine's report where only the
    /// engine knows. Returns whether the usable models changed.
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
        // Only the engine knows when an unload that waits for requests, or a load from the store,
        // ends.
        if self.order_state == OrderState::Idle {
            self.order_state = OrderState::Stale { read_at: now };
        }
        false
    }

    /// Applies the engine's entry in the upstream list. The entry states neither its age nor how
    /// many orders it reflects, so a change only leads to a read of the engine's report.
    pub(super) fn apply_entry(&mut self, now: MonoTime, entry: &UpstreamEntry) {
        self.local_copies.extend(entry.local_copies.iter().cloned());
        let is_changed = entry.models != self.listed;
        if !is_changed {
            return;
        }
        self.listed.clone_from(&entry.models);
        let is_waiting = self.running.as_ref().is_some_and(|order| {
            order.source == LoadSource::Store || order.verb == OrderVerb::Unload
        });
        if is_waiting && self.order_state == OrderState::Idle {
            self.order_state = OrderState::Stale { read_at: now };
        }
    }

    fn finish_load(&mut self, now: MonoTime, model: &ModelName) {
        self.local_copies.insert(model.clone());
        let loaded = LoadedModel {
            adapters: BTreeMap::new(),
            since: now,
        };
        self.models.entry(model.clone()).or_insert(loaded);
        if self.planned_model.as_ref() == Some(model) {
            self.planned_model = None;
        }
    }

    fn is_unloading(&self, model: &ModelName) -> bool {
        let is_running = self
            .running
            .as_ref()
            .is_some_and(|order| order.verb == OrderVerb::Unload && order.model == *model);
        let is_sent = matches!(
            &self.order_state,
            OrderState::Sent { verb: OrderVerb::Unload, need, .. }
                if need.model == *model && need.adapter.is_none()
        );
        is_running || is_sent
    }
}

/// Megabytes of a model; an unknown model counts as filling the whole engine.
pub(super) fn model_mb(config: &EngineConfig, model: &ModelName) -> f64 {
    config
        .models
        .get(model)
        .map_or(config.memory_mb, |model_config| model_config.memory_mb)
}

#[allow(clippy::cast_precision_loss)]
fn adapter_mb(config: &EngineConfig, model: &ModelName, count: usize) -> f64 {
    let each = config
        .models
        .get(model)
        .map_or(0.0, |model_config| model_config.adapter_mb);
    each * count as f64
}
