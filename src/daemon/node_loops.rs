//! Background loops of entry and agent.

use std::rc::Rc;
use std::time::Duration;

use compio::runtime::JoinHandle;

use super::{NodeContext, pull_settings};
use crate::settings::{SETTINGS_HEAD_KEY, SETTINGS_PREFIX, SettingsHead, SettingsRow};
use crate::table::{RowRevision, TableError, TableRow};

/// Starts the loops that poll the settings and the list of instances; dropping a handle stops its
/// loop. The settings are polled once in `list_polls_per_settings_poll` polls of the list: a
/// process that learns of changes from its peers needs the table less often.
#[must_use]
pub fn spawn_node_loops(
    node: &Rc<NodeContext>,
    list_polls_per_settings_poll: u64,
) -> Vec<JoinHandle<()>> {
    vec![
        compio::runtime::spawn(poll_settings(Rc::clone(node), list_polls_per_settings_poll)),
        compio::runtime::spawn(poll_members(Rc::clone(node))),
    ]
}

async fn poll_settings(node: Rc<NodeContext>, list_polls_per_settings_poll: u64) {
    let mut since = RowRevision::ABSENT;
    loop {
        match read_settings(&node, since).await {
            Ok(newest) => since = newest,
            Err(error) => {
                log::warn!(error:% = error; "settings not read");
                if node.settings.borrow().revision() == 0 {
                    pull_from_any_peer(&node).await;
                }
            }
        }
        let is_without_settings = node.settings.borrow().revision() == 0;
        let poll_periods = if is_without_settings {
            1
        } else {
            list_polls_per_settings_poll
        };
        let pause_ms = jittered(node.config.poll_ms * poll_periods);
        node.settings_wake.wait(pause_ms).await;
    }
}

/// Reads the subtrees written after a table revision, if the head has a newer settings revision.
/// Returns the newest table revision read, or `since` if the rows did not come into force, so that
/// they are read again.
async fn read_settings(node: &NodeContext, since: RowRevision) -> Result<RowRevision, TableError> {
    let row = node.table.read(SETTINGS_HEAD_KEY.to_owned()).await?;
    let head: SettingsHead = row.decode()?.unwrap_or_default();
    if head.revision <= node.settings.borrow().revision() {
        return Ok(since);
    }
    let prefix = format!("{SETTINGS_PREFIX}tree/");
    let rows = node.table.scan(prefix, since).await?;
    let decoded: Result<Vec<Option<SettingsRow>>, TableError> =
        rows.iter().map(TableRow::decode).collect();
    node.apply_settings(decoded?.into_iter().flatten().collect());
    if node.settings.borrow().revision() < head.revision {
        return Ok(since);
    }
    let newest = rows.iter().map(|row| row.revision).max();
    Ok(newest.unwrap_or(since))
}

async fn pull_from_any_peer(node: &NodeContext) {
    let peers = node.members.borrow().entry_addresses();
    for peer in peers {
        if peer != node.address && node.settings.borrow().revision() == 0 {
            pull_settings(node, peer).await;
        }
    }
}

async fn poll_members(node: Rc<NodeContext>) {
    loop {
        match node.membership_client.read().await {
            Ok(members) => node.members.borrow_mut().apply(node.now(), members),
            Err(error) => log::warn!(error:% = error; "list of instances not read"),
        }
        let pause_ms = jittered(node.config.poll_ms);
        compio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Shortens a period by a random part of up to a quarter, which spreads the polls of many
/// processes over time.
fn jittered(period_ms: u64) -> u64 {
    period_ms * 3 / 4 + fastrand::u64(..=period_ms / 4)
}
