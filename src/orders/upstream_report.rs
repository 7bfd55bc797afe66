//! How an engine's report changes the planner's view of it.

use std::collections::BTreeMap;

use super::upstream_state::{LoadedModel, REPORT_LAG_MS, REREAD_MS, UpstreamState};
use super::{EngineReport, OrderState, OrderVerb};
use crate::fleet::HeldModel;
use crate::prelude::*;

/// Number of consecutive reports with fewer orders than were accepted that are ignored as
/// outdated; the next one is trusted.
const MAX_OUTDATED_REPORTS: u32 = 8;

/// Milliseconds before an engine is read again that sent what is no report for the first time; doubles
/// up to the longest time.
const FIRST_INVALID_PAUSE_MS: u64 = 500;

/// Longest time in milliseconds before an engine is read again that sends no valid report.
const MAX_INVALID_PAUSE_MS: u64 = 16_000;

impl UpstreamState {
    /// Uses the engine for no order until it reports again, which is tried ever later.
    pub(super) fn record_invalid_report(&mut self, now: MonoTime) {
        let doublings = self.invalid_reports.min(MAX_INVALID_PAUSE_MS.ilog2());
        let pause_ms = (FIRST_INVALID_PAUSE_MS << doublings).min(MAX_INVALID_PAUSE_MS);
        self.invalid_reports = self.invalid_reports.saturating_add(1);
        self.order_state = OrderState::Stale {
            read_at: now + pause_ms,
        };
    }

    /// Applies the engine's report. Returns whether the usable models or adapters changed.
    pub(super) fn apply_report(&mut self, now: MonoTime, report: &EngineReport) -> bool {
        self.invalid_reports = 0;
        if self.is_other_start(report) {
            return self.suspend(now);
        }
        self.local_copies
            .extend(report.local_copies.iter().cloned());
        self.order_state = OrderState::Idle;
        if report.order_count < self.order_count && self.outdated_reports < MAX_OUTDATED_REPORTS {
            // The report was made before the newest accepted order.
            self.outdated_reports += 1;
            self.order_state = OrderState::Stale {
                read_at: now + REREAD_MS,
            };
            return false;
        }
        self.outdated_reports = 0;
        let before = self.holdings();
        let is_count_expected = report.order_count == self.order_count;
        self.order_count = report.order_count;
        if !is_count_expected {
            // The engine accepted an order whose answer was lost.
            self.running = None;
        }
        self.reconcile_running(now, report);
        self.reconcile_models(now, &report.models);
        if report.is_busy && self.running.is_none() {
            self.order_state = OrderState::Stale {
                read_at: now + REREAD_MS,
            };
        }
        before != self.holdings()
    }

    /// Whether the report is of a start that the upstream list does not name yet.
    fn is_other_start(&self, report: &EngineReport) -> bool {
        let reported = report.started_at_ms;
        self.started_at_ms != 0 && reported.is_some_and(|at| at != self.started_at_ms)
    }

    /// Uses the engine for nothing until the upstream list names its start. Returns whether usable
    /// models were forgotten.
    fn suspend(&mut self, now: MonoTime) -> bool {
        self.order_state = OrderState::Stale {
            read_at: now + 2 * REPORT_LAG_MS,
        };
        self.running = None;
        self.planned_model = None;
        let had_models = !self.models.is_empty();
        self.models.clear();
        had_models
    }

    fn reconcile_running(&mut self, now: MonoTime, report: &EngineReport) {
        let Some(order) = &mut self.running else {
            return;
        };
        let is_held = report.models.iter().any(|held| held.model == order.model);
        if is_held == (order.verb == OrderVerb::Load) {
            let order = self.running.take();
            if let Some(order) = order.filter(|order| order.verb == OrderVerb::Load) {
                self.has_completed_load = true;
                self.local_copies.insert(order.model);
            }
        } else if report.is_busy || now < order.due_at + REPORT_LAG_MS {
            order.due_at = now + REREAD_MS;
        } else {
            self.running = None;
        }
    }

    pub(super) fn reconcile_models(&mut self, now: MonoTime, held: &[HeldModel]) {
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
            if self.planned_model.as_ref() == Some(&model.model) {
                self.planned_model = None;
            }
        }
    }
}
