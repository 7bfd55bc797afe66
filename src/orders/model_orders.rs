//! Orders of whole models: wanted ones, further copies, and loads ahead of need.

use super::bring_purpose::{BringPurpose, MOST_URGENT_RANK};
use super::demand_book::WantSum;
use super::order_planner::{NextOrder, PlanView, engine_plan};
use super::swap_choice::{SwapOption, SwapView, load_source, swap_option};
use super::upstream_ledger::UpstreamLedger;
use super::{LoadSource, OrderPlanner};
use crate::fleet::{EngineConfig, ModelNeed, UpstreamKey};
use crate::prelude::*;

/// Milliseconds over which loads from the weight store are counted against its rate.
const STORE_WINDOW_MS: u64 = 5_000;

/// Milliseconds after which an unfinished goal of an engine is given up.
const GOAL_LIFE_MS: u64 = 6_000;

/// Milliseconds that a less urgent request waits for an engine with an idle model before a busy
/// one may make room; an idle one turns up within a second or two.
const PRESSING_MS: u64 = 4_000;

/// Least gain of a model that requests wait for, in requests a second.
const WANTED_GAIN_PER_S: f64 = 0.6;

/// Multiple of the limit for a copy's rate above which a further copy is urgent.
const URGENT_CROWDING: f64 = 1.5;

/// Milliseconds until an engine has answered the call that is under way.
const ANSWER_MS: u64 = 200;

/// Part of a further copy's gain up to which it may take the place of a model's last copy.
const LAST_COPY_SHARE: f64 = 0.5;

/// Gain of a model that is loaded ahead, in requests a second.
const PREFETCH_GAIN_PER_S: f64 = 0.35;

/// Rate that an adapter of a model is taken for when models are loaded ahead, in requests a
/// second: operators add adapters to models that are used.
const ADAPTER_HINT_PER_S: f64 = 1.0;

impl OrderPlanner {
    /// Goes on with engines where room was made for a model.
    pub(super) fn continue_goals(&mut self, view: PlanView<'_>) {
        let goals: Vec<(UpstreamKey, ModelName)> = self
            .ledgers
            .iter()
            .filter(|(_, ledger)| ledger.is_free() && ledger.running.is_none())
            .filter_map(|(key, ledger)| Some((key, ledger.goal.clone()?)))
            .collect();
        for (key, model) in goals {
            let is_old = view.now.millis_since(self.ledgers[key].goal_at) > GOAL_LIFE_MS;
            let option = self.option_at(view, key, &model, BringPurpose::Goal);
            match option.filter(|_| !is_old) {
                Some(option) => self.pursue(view, key, &model, &option, BringPurpose::Goal),
                None => self.ledgers[key].goal = None,
            }
        }
    }

    /// Brings the models that requests of some ranks wait for.
    pub(super) fn serve_models(&mut self, view: PlanView<'_>, is_turn: impl Fn(u8) -> bool) {
        let mut missing: Vec<(&ModelNeed, &WantSum)> = view
            .wants
            .iter()
            .filter(|(_, sum)| is_turn(sum.rank))
            .collect();
        missing.sort_by_key(|(_, sum)| (sum.rank, sum.since));
        for (need, sum) in missing {
            let is_held = self.reached().any(|ledger| ledger.can_serve(&need.model));
            if !is_held {
                let waited_ms = view.now.millis_since(sum.since);
                let purpose = BringPurpose::Wanted {
                    rank: sum.rank,
                    is_pressing: sum.rank == MOST_URGENT_RANK || waited_ms >= PRESSING_MS,
                };
                self.bring_further(view, &sum.service, &need.model, purpose);
            }
        }
    }

    /// Brings a model unless it is on its way already. One that comes from the weight store may
    /// be brought from another engine's own copy meanwhile.
    fn bring_further(
        &mut self,
        view: PlanView<'_>,
        service: &ServiceName,
        model: &ModelName,
        purpose: BringPurpose,
    ) {
        let is_copy_coming = self.reached().any(|ledger| ledger.is_bringing_copy(model));
        let is_coming = self.reached().any(|ledger| ledger.is_bringing(model));
        if is_copy_coming {
            return;
        }
        let purpose = if is_coming {
            BringPurpose::Bridge
        } else {
            purpose
        };
        self.bring(view, service, model, purpose);
    }

    /// Engines that entries can reach.
    fn reached(&self) -> impl Iterator<Item = &UpstreamLedger> {
        self.ledgers
            .values()
            .filter(|ledger| !self.demand.is_unreachable(&ledger.target.id))
    }

    /// Gives crowded models a further copy.
    pub(super) fn add_copies(&mut self, view: PlanView<'_>) {
        let mut crowded: Vec<(ServiceName, ModelName, bool)> = Vec::new();
        for service in view.catalog.services() {
            let Some(plan) = &service.engine else {
                continue;
            };
            for model in plan.models.keys() {
                if let Some(is_urgent) = self.crowding(view, plan, model) {
                    crowded.push((service.name.clone(), model.clone(), is_urgent));
                }
            }
        }
        for (service, model, is_urgent) in crowded {
            let purpose = BringPurpose::Copy { is_urgent };
            self.bring_further(view, &service, &model, purpose);
        }
    }

    /// Loads models that no engine has a copy of, while the weight store has nothing to do.
    pub(super) fn prefetch(&mut self, view: PlanView<'_>) {
        if !self.may_load_from_store(view, BringPurpose::Prefetch) {
            return;
        }
        let mut missing: Vec<(f64, ServiceName, ModelName)> = Vec::new();
        for service in view.catalog.services() {
            let Some(plan) = &service.engine else {
                continue;
            };
            for (model, known) in &plan.models {
                let has_copy = |ledger: &UpstreamLedger| {
                    ledger.local_copies.contains(model) || ledger.is_bringing(model)
                };
                if !self.ledgers.values().any(has_copy) {
                    let hint = if known.adapter_count > 0 {
                        ADAPTER_HINT_PER_S
                    } else {
                        0.0
                    };
                    let rate = self.demand.rate(view.now, model) + hint;
                    missing.push((rate, service.name.clone(), model.clone()));
                }
            }
        }
        missing.sort_by(|left, right| right.0.total_cmp(&left.0));
        for (_, service, model) in missing {
            if !self.may_load_from_store(view, BringPurpose::Prefetch) {
                return;
            }
            self.bring(view, &service, &model, BringPurpose::Prefetch);
        }
    }

    /// Whether a model's copies are crowded, and if so, whether far beyond their limit.
    fn crowding(&self, view: PlanView<'_>, plan: &EngineConfig, model: &ModelName) -> Option<bool> {
        let copies = u32::try_from(self.copies(model)).unwrap_or(u32::MAX);
        if copies == 0 {
            return None;
        }
        let holders = self
            .ledgers
            .values()
            .filter(|ledger| ledger.can_serve(model));
        let running: u32 = holders
            .map(|ledger| self.demand.running(&ledger.target.id, model))
            .sum();
        let rate = self.demand.rate(view.now, model);
        let limit = f64::from(copies) * self.policy.copy_rate_per_s;
        let is_busy = running * 100 > copies * plan.slots * self.policy.crowded_percent;
        (is_busy || rate > limit).then_some(rate > limit * URGENT_CROWDING)
    }

    /// Whether an engine with a copy on its own disk is free before a load from the weight
    /// store would be done.
    fn is_local_copy_sooner(
        &self,
        view: PlanView<'_>,
        service: &ServiceName,
        model: &ModelName,
        store: &SwapOption,
        purpose: BringPurpose,
    ) -> bool {
        let busy = self.ledgers.iter().filter(|(_, ledger)| {
            ledger.service == *service
                && ledger.is_ready
                && !self.demand.is_unreachable(&ledger.target.id)
                && !ledger.models.contains_key(model)
                && load_source(ledger, model) == LoadSource::Local
        });
        busy.filter_map(|(key, ledger)| {
            let option = self.option_at(view, key, model, purpose)?;
            let wait_ms = ledger.running.as_ref().map_or(ANSWER_MS, |order| {
                order.due_at.millis_since(view.now) + ANSWER_MS
            });
            #[allow(clippy::cast_precision_loss)]
            Some(option.cost_ms + wait_ms as f64)
        })
        .any(|cost_ms| cost_ms < store.cost_ms)
    }

    fn bring(
        &mut self,
        view: PlanView<'_>,
        service: &ServiceName,
        model: &ModelName,
        purpose: BringPurpose,
    ) {
        let may_store = self.may_load_from_store(view, purpose);
        let free: Vec<UpstreamKey> = self
            .ledgers
            .iter()
            .filter(|(_, ledger)| ledger.service == *service)
            .filter(|(_, ledger)| !self.demand.is_unreachable(&ledger.target.id))
            .filter(|(_, ledger)| ledger.is_free() && ledger.running.is_none())
            .filter(|(_, ledger)| ledger.goal.is_none() && !ledger.models.contains_key(model))
            .filter(|(_, ledger)| may_store || load_source(ledger, model) == LoadSource::Local)
            .map(|(key, _)| key)
            .collect();
        let options = free.into_iter().filter_map(|key| {
            let option = self.option_at(view, key, model, purpose)?;
            Some((key, option))
        });
        let best = options.min_by(|left, right| left.1.cost_ms.total_cmp(&right.1.cost_ms));
        let Some((key, option)) = best else { return };
        let is_better_later = option.source == LoadSource::Store
            && self.is_local_copy_sooner(view, service, model, &option, purpose);
        if !is_better_later {
            self.pursue(view, key, model, &option, purpose);
        }
    }

    fn option_at(
        &self,
        view: PlanView<'_>,
        key: UpstreamKey,
        model: &ModelName,
        purpose: BringPurpose,
    ) -> Option<SwapOption> {
        let ledger = self.ledgers.get(key)?;
        let copies = |name: &ModelName| self.copies(name);
        let is_wanted =
            |name: &ModelName| purpose != BringPurpose::Goal && view.wanted.contains(name);
        let gain_purpose = if purpose == BringPurpose::Goal {
            ledger.goal_purpose
        } else {
            purpose
        };
        let gain_per_s = self.gain_per_s(view, model, copies(model), gain_purpose);
        let swap = SwapView {
            now: view.now,
            plan: engine_plan(view.catalog, ledger)?,
            demand: &self.demand,
            policy: self.policy,
            copies: &copies,
            wanted: &is_wanted,
            gain_per_s,
            may_wait_for_runs: gain_purpose.may_wait_for_runs(),
            last_copy_gain_per_s: if gain_purpose.is_copy() {
                gain_per_s * LAST_COPY_SHARE
            } else {
                gain_per_s
            },
        };
        swap_option(&swap, ledger, model)
    }

    /// Requests a second that a copy brought for a purpose would serve.
    #[allow(clippy::cast_precision_loss)]
    fn gain_per_s(
        &self,
        view: PlanView<'_>,
        model: &ModelName,
        copies: usize,
        purpose: BringPurpose,
    ) -> f64 {
        let rate = self.demand.rate(view.now, model);
        match purpose {
            BringPurpose::Wanted { .. } | BringPurpose::Goal => rate.max(WANTED_GAIN_PER_S),
            BringPurpose::Bridge if copies == 0 => rate.max(WANTED_GAIN_PER_S),
            BringPurpose::Copy { .. } | BringPurpose::Bridge => rate / (copies as f64 + 1.0),
            BringPurpose::Prefetch => PREFETCH_GAIN_PER_S,
        }
    }

    /// Takes the next step towards a model: unloads the first victim, or loads the model.
    fn pursue(
        &mut self,
        view: PlanView<'_>,
        key: UpstreamKey,
        model: &ModelName,
        option: &SwapOption,
        purpose: BringPurpose,
    ) {
        let ledger = &mut self.ledgers[key];
        if ledger.goal.as_ref() != Some(model) {
            ledger.goal = Some(model.clone());
            ledger.goal_at = view.now;
            ledger.goal_purpose = purpose;
        }
        let order = match option.victims.first() {
            Some(victim) => NextOrder::unload(whole(victim)),
            None => NextOrder::load(whole(model), option.source),
        };
        if option.victims.is_empty() && option.source == LoadSource::Store {
            self.store_starts.push_back(view.now);
        }
        self.send(view.now, key, order, purpose.reason());
    }

    /// Whether the weight store has a place for another load with a purpose.
    #[allow(clippy::cast_precision_loss)]
    fn may_load_from_store(&mut self, view: PlanView<'_>, purpose: BringPurpose) -> bool {
        let is_old = |at: &MonoTime| view.now.millis_since(*at) > STORE_WINDOW_MS;
        while self.store_starts.front().is_some_and(is_old) {
            self.store_starts.pop_front();
        }
        let plans = view
            .catalog
            .services()
            .filter_map(|service| service.engine.as_ref());
        let per_s = plans
            .map(|plan| plan.loads_per_s)
            .fold(f64::INFINITY, f64::min);
        let window_s = STORE_WINDOW_MS as f64 / 1_000.0;
        let is_in_rate = self.store_starts.len() as f64 + 1.0 <= per_s * window_s;
        let loading = self
            .ledgers
            .values()
            .filter(|ledger| ledger.is_store_loading())
            .count();
        loading < purpose.store_loads(&self.policy) && is_in_rate
    }
}

/// The model without an adapter.
fn whole(model: &ModelName) -> ModelNeed {
    ModelNeed {
        model: model.clone(),
        adapter: None,
    }
}
