//! Reads the engine's state and finds crashes and lost answers.

use std::rc::Rc;
use std::time::Duration;

use super::agent_context::AgentContext;
use super::engine_view::CrashVerdict;
use crate::daemon::store_crash;
use crate::engine::{EngineClient, EngineState};
use crate::prelude::*;
use crate::quarantine::crash_number;
use crate::rpc::CrashReport;

/// Milliseconds between two reads.
const READ_MS: u64 = 250;

/// Milliseconds between two reads while a request's trouble is unexplained.
const URGENT_READ_MS: u64 = 50;

/// Milliseconds for which a request waits for an explanation.
const VERDICT_LIMIT_MS: u64 = 3_000;

/// Watches the engine for ever.
pub async fn run_monitor(context: Rc<AgentContext>) {
    let Some(engine) = context.engine.clone() else {
        return;
    };
    loop {
        read_state(&context, &engine).await;
        let is_urgent = !context.is_healthy();
        let pause_ms = if is_urgent { URGENT_READ_MS } else { READ_MS };
        compio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Finds out whether a request's connection broke because the engine died; the number of
/// the crash if so.
pub async fn explain_trouble(context: &AgentContext, boot_id: u64) -> Option<u64> {
    let since = context.now();
    loop {
        let verdict = {
            let view = context.engine_view.borrow();
            view.verdict(context.instance(), boot_id, since)
        };
        match verdict {
            CrashVerdict::Alive => return None,
            CrashVerdict::Crashed(crash) => return Some(crash),
            CrashVerdict::Open if context.now().millis_since(since) > VERDICT_LIMIT_MS => {
                return Some(crash_number(context.instance(), boot_id));
            }
            CrashVerdict::Open => {
                compio::time::sleep(Duration::from_millis(URGENT_READ_MS)).await;
            }
        }
    }
}

async fn read_state(context: &Rc<AgentContext>, engine: &EngineClient) {
    let asked_at = context.now();
    match engine.state().await {
        Ok(state) => take_state(context, asked_at, state),
        Err(error) => {
            log::warn!(error:% = error; "engine state not read");
            take_failure(context);
        }
    }
}

fn take_state(context: &Rc<AgentContext>, asked_at: MonoTime, state: EngineState) {
    let was_healthy = context.is_healthy();
    let old_boot = context.engine_view.borrow().boot_id;
    let restarted = {
        let mut view = context.engine_view.borrow_mut();
        let restarted = view.read_ok(asked_at, state.boot_id, state.fence);
        view.cached = state.cached;
        view.signal_lost(context.now(), &state.running);
        restarted
    };
    if let (true, Some(boot_id)) = (restarted, old_boot) {
        note_crash(context, boot_id);
        context.holder.borrow_mut().engine_lost();
    }
    context
        .limiter
        .borrow_mut()
        .set_ceiling(state.max_batch.min(context.config.concurrency));
    context
        .holder
        .borrow_mut()
        .reconcile(asked_at, &state.holdings);
    if restarted || !was_healthy {
        context.report.notify();
        context.dispatch.notify();
    }
}

fn take_failure(context: &Rc<AgentContext>) {
    let now = context.now();
    let went_down = context.engine_view.borrow_mut().read_failed(now);
    let boot_id = context.engine_view.borrow().boot_id;
    if let (true, Some(boot_id)) = (went_down, boot_id) {
        note_crash(context, boot_id);
        context.report.notify();
    }
}

/// Remembers what was in flight and tells entries and the table.
fn note_crash(context: &Rc<AgentContext>, boot_id: u64) {
    let crash = crash_number(context.instance(), boot_id);
    let now = context.now();
    let fresh = {
        let mut view = context.engine_view.borrow_mut();
        view.record_crash(now, crash, boot_id)
    };
    if fresh.is_empty() {
        return;
    }
    let mut quarantine = context.quarantine.borrow_mut();
    for report in &fresh {
        quarantine.record(now, report.fingerprint, report.crash);
    }
    drop(quarantine);
    context.node.metrics.crashes.inc();
    log::error!(crash, requests = fresh.len(); "engine crashed");
    compio::runtime::spawn(keep_crashes(Rc::clone(context), fresh)).detach();
    context.report.notify();
}

/// Keeps the crash in the table for entries that start later; peers hear of it directly.
async fn keep_crashes(context: Rc<AgentContext>, reports: Vec<CrashReport>) {
    for report in reports {
        let node = Rc::clone(&context.node);
        store_crash(node, report.fingerprint, report.crash).await;
    }
}
