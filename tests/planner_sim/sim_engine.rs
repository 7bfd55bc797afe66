//! A simulated engine.

use std::collections::{BTreeMap, BTreeSet};

use quetzalpin::fleet::{HeldModel, ModelNeed};
use quetzalpin::orders::{EngineReport, OrderAnswer, OrderVerb};
use quetzalpin::prelude::*;

/// Memory of a simulated engine in megabytes.
pub const ENGINE_MB: f64 = 200_000.0;

/// Maximum number of adapters that a simulated engine holds.
pub const ADAPTER_SLOTS: usize = 8;

/// Memory of an adapter in megabytes.
pub const ADAPTER_MB: f64 = 66.0;

/// Duration of a load from the weight store in milliseconds.
pub const STORE_LOAD_MS: u64 = 6_000;

/// Duration of a load from the engine's disk in milliseconds.
pub const DISK_LOAD_MS: u64 = 500;

/// Duration of an unload without requests in flight in milliseconds.
pub const UNLOAD_MS: u64 = 30;

/// Carries out orders like a real engine: one load or unload of a whole model at a time.
#[derive(Debug, Default)]
pub struct SimEngine {
    pub order_count: u64,
    /// Number of orders refused because another one was in progress.
    pub overlapping_orders: u64,
    pub models: BTreeMap<ModelName, BTreeSet<AdapterName>>,
    pub on_disk: BTreeSet<ModelName>,
    /// Order in progress: verb, model, end in milliseconds, and whether the weights come from the
    /// store.
    pub running: Option<(OrderVerb, ModelName, u64, bool)>,
    pub is_disconnected: bool,
}

impl SimEngine {
    /// Completes the order in progress if it is due.
    pub fn advance(&mut self, now_ms: u64) {
        if self
            .running
            .as_ref()
            .is_none_or(|running| now_ms < running.2)
        {
            return;
        }
        match self.running.take() {
            Some((OrderVerb::Load, model, _, _)) => {
                self.on_disk.insert(model.clone());
                self.models.entry(model).or_default();
            }
            Some((OrderVerb::Unload, model, _, _)) => {
                self.models.remove(&model);
            }
            None => {}
        }
    }

    /// Answers an order like a real engine.
    pub fn order(
        &mut self,
        now_ms: u64,
        verb: OrderVerb,
        need: &ModelNeed,
        precondition: u64,
    ) -> OrderAnswer {
        if precondition != self.order_count || self.running.is_some() {
            self.overlapping_orders += u64::from(self.running.is_some());
            return OrderAnswer::Conflict;
        }
        let answer = match (verb, &need.adapter) {
            (OrderVerb::Load, None) if self.models.contains_key(&need.model) => {
                return OrderAnswer::AlreadyDone;
            }
            (OrderVerb::Load, None) => {
                let is_store = !self.on_disk.contains(&need.model);
                let load_ms = if is_store {
                    STORE_LOAD_MS
                } else {
                    DISK_LOAD_MS
                };
                self.running = Some((verb, need.model.clone(), now_ms + load_ms, is_store));
                OrderAnswer::Accepted
            }
            (OrderVerb::Unload, None) => {
                self.running = Some((verb, need.model.clone(), now_ms + UNLOAD_MS, false));
                OrderAnswer::Accepted
            }
            (OrderVerb::Load, Some(adapter)) => match self.models.get_mut(&need.model) {
                Some(adapters) => {
                    adapters.insert(adapter.clone());
                    OrderAnswer::Accepted
                }
                None => return OrderAnswer::Refused,
            },
            (OrderVerb::Unload, Some(adapter)) => {
                if let Some(adapters) = self.models.get_mut(&need.model) {
                    adapters.remove(adapter);
                }
                OrderAnswer::Accepted
            }
        };
        self.order_count += 1;
        answer
    }

    /// Megabytes in use, including a load in progress.
    pub fn used_mb(&self, model_mb: impl Fn(&ModelName) -> f64) -> f64 {
        let models: f64 = self.models.keys().map(&model_mb).sum();
        #[allow(clippy::cast_precision_loss)]
        let adapters = self.adapter_count() as f64 * ADAPTER_MB;
        let loading = match &self.running {
            Some((OrderVerb::Load, model, _, _)) => model_mb(model),
            _ => 0.0,
        };
        models + adapters + loading
    }

    /// Number of loaded adapters over all models.
    pub fn adapter_count(&self) -> usize {
        self.models.values().map(BTreeSet::len).sum()
    }

    /// The report that the engine returns.
    pub fn report(&self) -> EngineReport {
        let models = self.models.iter().map(|(model, adapters)| HeldModel {
            model: model.clone(),
            version: 1,
            adapters: adapters.iter().cloned().collect(),
        });
        EngineReport {
            started_at_ms: None,
            order_count: self.order_count,
            is_busy: self.running.is_some(),
            models: models.collect(),
            local_copies: self.on_disk.iter().cloned().collect(),
        }
    }
}
