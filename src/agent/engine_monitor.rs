//! Health check of the engine: polls its state and detects crashes, restarts and lost
//! answers.

use std::rc::Rc;
use std::time::Duration;

use super::agent_context::AgentContext;
use super::engine_view::CrashVerdict;
use crate::daemon::store_crash;
use crate::engine::{EngineClient, EngineState};
use crate::prelude::*;
use crate::quarantine::crash_id;
use crate::rpc::CrashReport;

/// Interval between two reads of the engine state, in milliseconds.
const POLL_MS: u64 = 250;

/// Interval in milliseconds between two reads while the engine is unhealthy, and between
/// two checks for the cause of a disconnect.
const URGENT_POLL_MS: u64 = 50;

/// Time in milliseconds after which an undiagnosed disconnect counts as a crash.
const DIAGNOSIS_TIMEOUT_MS: u64 = 3_000;

/// Polls the engine; returns at once if the upstream is a plain service.
pub async fn run_monitor(context: Rc<AgentContext>) {
    let Some(engine) = context.engine.clone() else {
        return;
    };
    loop {
        read_state(&context, &engine).await;
        let is_urgent = !context.is_healthy();
        let pause_ms = if is_urgent { URGENT_POLL_MS } else { POLL_MS };
        compio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Determines whether a request lost its connection because the engine crashed. Returns the
/// number of the crash, or `None` if the engine is alive.
pub async fn diagnose_disconnect(context: &AgentContext, boot_id: u64) -> Option<u64> {
    let since = context.now();
    loop {
        let verdict = {
            let view = context.engine_view.borrow();
            view.verdict(context.instance(), boot_id, since)
        };
        match verdict {
            CrashVerdict::Alive => return None,
            CrashVerdict::Crashed(crash) => return Some(crash),
            CrashVerdict::Open if context.now().millis_since(since) > DIAGNOSIS_TIMEOUT_MS => {
                return Some(crash_id(context.instance(), boot_id));
            }
            CrashVerdict::Open => {
                compio::time::sleep(Duration::from_millis(URGENT_POLL_MS)).await;
            }
        }
    }
}

async fn read_state(context: &Rc<AgentContext>, engine: &EngineClient) {
    let asked_at = context.now();
    match engine.state().await {
        Ok(state) => apply_state(context, asked_at, state),
        Err(error) => {
            log::warn!(error:% = error; "engine state not read");
            apply_failure(context);
        }
    }
}

fn apply_state(context: &Rc<AgentContext>, asked_at: MonoTime, state: EngineState) {
    let was_healthy = context.is_healthy();
    let old_boot = context.engine_view.borrow().boot_id;
    let has_restarted = {
        let mut view = context.engine_view.borrow_mut();
        let has_restarted = view.record_success(asked_at, state.boot_id, state.fence);
        view.cached = state.cached;
        view.signal_lost(context.now(), &state.running);
        has_restarted
    };
    if let (true, Some(boot_id)) = (has_restarted, old_boot) {
        handle_crash(context, boot_id);
        context.residency.borrow_mut().clear_after_crash();
    }
    context
        .limiter
        .borrow_mut()
        .set_ceiling(state.max_batch.min(context.config.concurrency));
    context
        .residency
        .borrow_mut()
        .reconcile(asked_at, &state.holdings);
    if has_restarted || !was_healthy {
        context.report_wake.notify();
        context.dispatch_wake.notify();
    }
}

fn apply_failure(context: &Rc<AgentContext>) {
    let now = context.now();
    let went_down = context.engine_view.borrow_mut().record_failure(now);
    let boot_id = context.engine_view.borrow().boot_id;
    if let (true, Some(boot_id)) = (went_down, boot_id) {
        handle_crash(context, boot_id);
        context.report_wake.notify();
    }
}

/// Records the requests that were in flight at a crash, and reports them to entries and to
/// the table.
fn handle_crash(context: &Rc<AgentContext>, boot_id: u64) {
    let crash = crash_id(context.instance(), boot_id);
    let now = context.now();
    let new_reports = {
        let mut view = context.engine_view.borrow_mut();
        view.record_crash(now, crash, boot_id)
    };
    if new_reports.is_empty() {
        return;
    }
    let mut quarantine = context.quarantine.borrow_mut();
    for report in &new_reports {
        quarantine.record(now, report.fingerprint, report.crash);
    }
    drop(quarantine);
    context.node.metrics.crashes.inc();
    log::error!(crash, requests = new_reports.len(); "engine crashed");
    compio::runtime::spawn(store_crashes(Rc::clone(context), new_reports)).detach();
    context.report_wake.notify();
}

/// Stores the crash in the table for entries that start later; running entries learn of it
/// from the next report.
async fn store_crashes(context: Rc<AgentContext>, reports: Vec<CrashReport>) {
    for report in reports {
        let node = Rc::clone(&context.node);
        store_crash(node, report.fingerprint, report.crash).await;
    }
}
