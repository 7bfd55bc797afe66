//! Follows placement rows and releases revoked slots.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use super::agent_context::AgentContext;
use crate::placement::{PLACEMENT_PREFIX, PlacementRow, SlotState};
use crate::prelude::*;
use crate::table::{RowRevision, TableError, TableTxn, TxnOutcome};

/// Divisor of a model's load time when its checkpoint is cached near the engine.
const CACHED_LOAD_DIVISOR: u64 = 3;

/// Poll interval in milliseconds while a revoked slot is being released.
const RELEASE_POLL_MS: u64 = 200;

/// Placement rows of the whole fleet, as of the last read.
#[derive(Debug, Default)]
pub struct PlacementCache {
    /// Rows with their revisions, by replica.
    pub rows: BTreeMap<ReplicaName, (RowRevision, PlacementRow)>,
    /// Highest revision read; the next read starts there.
    last_revision: RowRevision,
    /// Whether the rows have been read at least once.
    pub is_read: bool,
}

/// Runs the placement loop; never returns.
pub async fn run_slots(context: Rc<AgentContext>) {
    loop {
        if let Err(error) = poll_rows(&context).await {
            log::warn!(error:% = error; "placement not read");
        }
        apply_rows(&context);
        let releasable = context.residency.borrow().releasable();
        for replica in &releasable {
            if let Err(error) = release_slot(&context, replica).await {
                log::warn!(error:% = error; "revoked slot not released");
            }
        }
        let is_revoking = context
            .residency
            .borrow()
            .slots()
            .iter()
            .any(|(_, state)| *state == SlotState::Revoked);
        let pause_ms = if is_revoking {
            RELEASE_POLL_MS
        } else {
            context.node.config.poll_ms
        };
        compio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

async fn poll_rows(context: &AgentContext) -> Result<(), TableError> {
    let last_revision = context.placements.borrow().last_revision;
    let rows = context
        .node
        .table
        .scan(PLACEMENT_PREFIX.to_owned(), last_revision)
        .await?;
    let mut cache = context.placements.borrow_mut();
    for row in &rows {
        let name = row.key.trim_start_matches(PLACEMENT_PREFIX);
        let replica = ReplicaName::from(name);
        let known = cache.rows.get(&replica);
        if known.is_some_and(|(revision, _)| *revision > row.revision) {
            continue;
        }
        match row.decode::<PlacementRow>()? {
            Some(placement) => {
                cache.rows.insert(replica, (row.revision, placement));
            }
            None => {
                cache.rows.remove(&replica);
            }
        }
        cache.last_revision = cache.last_revision.max(row.revision);
    }
    cache.is_read = true;
    Ok(())
}

/// Grants and withdraws slots in the residency manager to match the placement rows.
fn apply_rows(context: &AgentContext) {
    let cache = context.placements.borrow();
    if !cache.is_read || context.engine.is_none() {
        return;
    }
    let Ok(fleet) = context.node.fleet() else {
        return;
    };
    let mut manager = context.residency.borrow_mut();
    let cached = &context.engine_view.borrow().cached;
    let before = manager.slots();
    for (replica, (_, row)) in &cache.rows {
        let Some(slot) = row.slot_of(context.instance()) else {
            continue;
        };
        let Some(model) = fleet.model_of(replica) else {
            manager.withdraw(replica);
            continue;
        };
        let load_ms = if cached.contains(replica) {
            model.load_ms / CACHED_LOAD_DIVISOR
        } else {
            model.load_ms
        };
        manager.grant(replica, slot.state, model.memory_mb, load_ms);
    }
    for (replica, _) in &before {
        let row = cache.rows.get(replica);
        let is_kept = row.is_some_and(|(_, row)| row.slot_of(context.instance()).is_some());
        if !is_kept {
            manager.withdraw(replica);
        }
    }
    manager.mark_slots_known();
    if manager.slots() != before {
        context.report_wake.notify();
        context.dispatch_wake.notify();
    }
}

async fn release_slot(context: &AgentContext, replica: &ReplicaName) -> Result<(), TableError> {
    let known = context.placements.borrow().rows.get(replica).cloned();
    let Some((revision, mut row)) = known else {
        return Ok(());
    };
    row.slots
        .retain(|slot| slot.instance != *context.instance());
    let key = PlacementRow::row_key(replica);
    let txn = TableTxn::default()
        .check(&key, revision)
        .write(&key, &row)?;
    if let TxnOutcome::Committed(revision) = context.node.table.commit(txn).await? {
        let mut cache = context.placements.borrow_mut();
        cache.rows.insert(replica.clone(), (revision, row));
        drop(cache);
        context.residency.borrow_mut().withdraw(replica);
        context.report_wake.notify();
    }
    Ok(())
}
