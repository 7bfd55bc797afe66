//! Deletes expired run rows.

use std::rc::Rc;
use std::time::Duration;

use super::agent_context::AgentContext;
use super::lease_controller::partition_lease;
use crate::daemon::NodeContext;
use crate::decision::unix_ms;
use crate::run_once::{RUN_SHARDS, RunKey, RunRow};
use crate::table::{RowRevision, TableError, TableTxn};

/// Minimum interval between the sweeps of two shards, in milliseconds.
const MIN_SHARD_INTERVAL_MS: u64 = 1_000;

/// Interval of checks by an agent that does not sweep, in milliseconds.
const IDLE_POLL_MS: u64 = 10_000;

/// Maximum number of rows deleted in one transaction.
const MAX_ROWS_PER_TXN: usize = 64;

/// Sweeps the shards in turn while this agent holds the lease of partition 0; never
/// returns.
pub async fn run_sweeper(context: Rc<AgentContext>) {
    let mut shard = 0;
    loop {
        let lease = partition_lease(0);
        let is_sweeper = context
            .leases
            .borrow()
            .held(&lease, context.now())
            .is_some();
        let fleet = context.node.fleet();
        let (Ok(fleet), true) = (fleet, is_sweeper) else {
            compio::time::sleep(Duration::from_millis(IDLE_POLL_MS)).await;
            continue;
        };
        let keep_ms = fleet.limits.record_ms;
        match sweep_shard(&context.node, shard, keep_ms).await {
            Ok(0) => {}
            Ok(cleared) => log::info!(shard, cleared; "expired run rows deleted"),
            Err(error) => log::warn!(error:% = error; "expired run rows not deleted"),
        }
        shard = (shard + 1) % RUN_SHARDS;
        let pause_ms = (keep_ms / u64::from(RUN_SHARDS)).max(MIN_SHARD_INTERVAL_MS);
        compio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Deletes rows of a shard that have not changed for `keep_ms`, at most 64 in one
/// transaction. If one of them changes meanwhile, the transaction fails and none is
/// deleted. Returns the number of rows in the transaction, also when it fails on such a
/// change.
///
/// # Errors
/// [`TableError`] if the table did not answer.
pub async fn sweep_shard(
    node: &NodeContext,
    shard: u32,
    keep_ms: u64,
) -> Result<usize, TableError> {
    let prefix = RunKey::shard_prefix(shard);
    let rows = node.table.scan(prefix, RowRevision::ABSENT).await?;
    let now_unix_s = unix_ms() / 1_000;
    let mut txn = TableTxn::default();
    let mut count = 0;
    for row in &rows {
        let Some(run_row) = row.decode::<RunRow>()? else {
            continue;
        };
        if count < MAX_ROWS_PER_TXN && run_row.is_expired(now_unix_s, keep_ms / 1_000) {
            txn = txn.check(&row.key, row.revision).delete(&row.key);
            count += 1;
        }
    }
    if count > 0 {
        node.table.commit(txn).await?;
    }
    Ok(count)
}
