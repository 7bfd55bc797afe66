//! Sums over all engines, made once a tick so that no decision has to look through all engines for
//! each model.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use slotmap::SecondaryMap;

use super::DemandAggregator;
use super::engine_facts::EngineFacts;
use super::upstream_state::UpstreamState;
use crate::fleet::UpstreamKey;
use crate::prelude::*;

/// Usable copies of one model over all engines.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct CopyTotal {
    /// Number of engines that can serve the model.
    pub copies: usize,
    /// Requests in flight for the model at these engines.
    pub running: u32,
    /// Number of these engines that limit their request rate.
    pub limited: usize,
    /// Requests per second that the limited engines accept together.
    pub limited_per_s: f64,
}

impl CopyTotal {
    /// Requests per second that the copies serve, each of them at most `copy_per_s`.
    #[allow(clippy::cast_precision_loss)]
    pub fn rate_per_s(&self, copy_per_s: f64) -> f64 {
        let unlimited = (self.copies - self.limited) as f64;
        let limited_per_s = self.limited_per_s.min(self.limited as f64 * copy_per_s);
        unlimited * copy_per_s + limited_per_s
    }
}

/// Copies of each model, usable and on disks.
#[derive(Debug, Default)]
pub(super) struct TickIndex {
    copies: HashMap<ModelName, CopyTotal>,
    /// Engines with a local copy of each model, in the order of the engines.
    local: HashMap<ModelName, Vec<UpstreamKey>>,
    /// Facts gathered since the last change of any engine.
    facts: RefCell<SecondaryMap<UpstreamKey, Rc<EngineFacts>>>,
}

impl TickIndex {
    /// Counts the usable copies of each model.
    pub fn count_copies<'a>(
        &mut self,
        states: impl Iterator<Item = &'a UpstreamState>,
        demand: &DemandAggregator,
    ) {
        self.copies.clear();
        for state in states {
            for model in state.models.keys().filter(|model| state.can_serve(model)) {
                let total = self.copies.entry(model.clone()).or_default();
                total.copies += 1;
                total.running += demand.running(&state.target.id, model);
                if let Some(limit) = state.rate_limit {
                    total.limited += 1;
                    total.limited_per_s += limit.per_s();
                }
            }
        }
    }

    /// Collects the models that engines have local copies of.
    pub fn collect_local<'a>(
        &mut self,
        states: impl Iterator<Item = (UpstreamKey, &'a UpstreamState)>,
    ) {
        self.local.clear();
        for (key, state) in states {
            for model in &state.local_copies {
                self.local.entry(model.clone()).or_default().push(key);
            }
        }
    }

    /// Facts about an engine, gathered at the first call after a change.
    pub fn facts(&self, key: UpstreamKey, gather: impl FnOnce() -> EngineFacts) -> Rc<EngineFacts> {
        if let Some(facts) = self.facts.borrow().get(key) {
            return Rc::clone(facts);
        }
        let facts = Rc::new(gather());
        self.facts.borrow_mut().insert(key, Rc::clone(&facts));
        facts
    }

    /// Drops the facts about all engines, after a change of one.
    pub fn drop_facts(&self) {
        self.facts.borrow_mut().clear();
    }

    /// Usable copies of a model.
    pub fn total(&self, model: &ModelName) -> CopyTotal {
        self.copies.get(model).copied().unwrap_or_default()
    }

    /// Engines with a local copy of a model.
    pub fn local_holders(&self, model: &ModelName) -> &[UpstreamKey] {
        self.local.get(model).map_or(&[], Vec::as_slice)
    }
}
