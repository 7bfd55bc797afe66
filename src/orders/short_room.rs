//! What the planner decides differently for services whose engines have too little room for their
//! models: which load comes first, and what may be evicted for it.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use super::OrderPlanner;
use super::demand_aggregator::WaitingTotal;
use super::load_purpose::LoadPurpose;
use super::load_value::{LoadValue, REQUESTED_PER_S};
use super::order_planner::TickView;
use super::room_shortage::is_room_short;
use crate::fleet::{FleetCatalog, ModelNeed};
use crate::prelude::*;

impl OrderPlanner {
    /// Finds the services whose room is short. Logs a change.
    pub(super) fn find_short_services(&mut self, catalog: &FleetCatalog) {
        let engine_count = |name: &ServiceName| {
            let engines = self.upstreams.values();
            engines.filter(|state| state.service == *name).count()
        };
        let short = catalog.services().filter(|service| {
            let config = service.engine.as_ref();
            config.is_some_and(|config| is_room_short(config, engine_count(&service.name), false))
        });
        let short = short.map(|service| service.name.clone()).collect();
        if short != self.short_services {
            log::info!(services:? = short; "services with too little room for their models");
        }
        self.short_services = short;
    }

    /// Where room is short, puts the loads with the highest value for each second first, whatever
    /// their rank. Loads elsewhere stay in the order of their urgency, behind them.
    pub(super) fn sort_by_value(
        &self,
        view: TickView<'_>,
        missing: &mut [(&ModelNeed, &WaitingTotal)],
    ) {
        if self.short_services.is_empty() {
            return;
        }
        missing.sort_by_cached_key(|(need, total)| {
            let is_short = self.short_services.contains(&total.service);
            let value = self.load_value(view.now, need, total).filter(|_| is_short);
            Reverse(value.map_or(0, LoadValue::thousandths))
        });
    }

    /// Whether a request gains from a load that begins now. Always where room is enough: the model
    /// stays for later requests.
    pub(super) fn gains_from_load(
        &self,
        view: TickView<'_>,
        need: &ModelNeed,
        total: &WaitingTotal,
    ) -> bool {
        !self.short_services.contains(&total.service)
            || self.load_value(view.now, need, total).is_some()
    }

    /// Gain of a load where room is short, in requests per second, which the rate of an evicted model
    /// must stay below. `None` where room is enough, or if the usual gain applies.
    pub(super) fn short_gain_per_s(
        &self,
        view: TickView<'_>,
        service: &ServiceName,
        model: &ModelName,
        purpose: LoadPurpose,
    ) -> Option<f64> {
        if !self.short_services.contains(service) {
            return None;
        }
        match purpose {
            LoadPurpose::Wanted { .. } => {
                let wants = view.wants.iter();
                let wants = wants.filter(|(need, _)| need.model == *model);
                let values =
                    wants.filter_map(|(need, total)| self.load_value(view.now, need, total));
                values.map(LoadValue::rate_per_s).reduce(f64::max)
            }
            LoadPurpose::Prefetch => Some(self.demand.rate(view.now, model).max(REQUESTED_PER_S)),
            LoadPurpose::Copy { .. } | LoadPurpose::Interim | LoadPurpose::Planned => None,
        }
    }

    /// Rate that the last copy of another model must stay below to be evicted for an extra copy, in
    /// requests per second: only a model that is not requested gives way. `None` where room is enough.
    pub(super) fn short_copy_gain_per_s(&self, service: &ServiceName) -> Option<f64> {
        self.short_services
            .contains(service)
            .then_some(REQUESTED_PER_S)
    }

    /// Highest value of a load of the model for the requests that wait for it. `None` where room is
    /// enough, or if no request gains from it.
    pub(super) fn wanted_value(&self, now: MonoTime, model: &ModelName) -> Option<LoadValue> {
        if self.short_services.is_empty() {
            return None;
        }
        let wants = self.demand.wants().iter().filter(|(need, total)| {
            need.model == *model && self.short_services.contains(&total.service)
        });
        let values = wants.filter_map(|(need, total)| self.load_value(now, need, total));
        values.max_by(|left, right| left.gain.total_cmp(&right.gain))
    }

    /// Logs each model that is not loaded, since the requests that wait for it end before its load
    /// would.
    pub(super) fn log_useless_loads(&mut self, view: TickView<'_>) {
        if self.short_services.is_empty() {
            return;
        }
        let is_useless = |(need, total): &(&ModelNeed, &WaitingTotal)| {
            self.copies(&need.model) == 0
                && !self.gains_from_load(view, need, total)
                && !self
                    .upstreams
                    .values()
                    .any(|state| state.has_pending_load(&need.model))
        };
        let useless: BTreeSet<ModelNeed> = view
            .wants
            .iter()
            .filter(is_useless)
            .map(|(need, _)| need.clone())
            .collect();
        for need in useless.difference(&self.useless_needs) {
            let total = &view.wants[need];
            log::info!(
                need:% = need,
                rank = total.rank,
                count = total.count,
                left_ms = total.usable_until.map(|until| until.millis_since(view.now)),
                rate_per_s = self.demand.rate(view.now, &need.model),
                forecast_ms = self.forecast_ms(view.now, need),
                store_limit = self.capacity.load_limit(view.now);
                "model not loaded, requests end before the load"
            );
        }
        self.useless_needs = useless;
    }

    /// Value of a load that begins now; `None` if no request gains from it.
    pub(super) fn load_value(
        &self,
        now: MonoTime,
        need: &ModelNeed,
        total: &WaitingTotal,
    ) -> Option<LoadValue> {
        let catalog = self.catalog.as_ref()?;
        let config = catalog.service(&total.service)?.engine.as_ref()?;
        let model_config = config.models.get(&need.model)?;
        let load_ms = if self.index.local_holders(&need.model).is_empty() {
            model_config.store_load_ms
        } else {
            model_config.disk_load_ms
        };
        let rate_per_s = self.demand.rate(now, &need.model);
        LoadValue::of(now, total, rate_per_s, load_ms)
    }
}
