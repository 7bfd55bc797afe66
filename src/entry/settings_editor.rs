//! Applies changes to the settings tree, by compare-and-swap in the table.

use derive_more::Error;
use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::daemon::NodeContext;
use crate::prelude::*;
use crate::settings::{
    SETTINGS_HEAD_KEY, SETTINGS_PREFIX, SettingsFault, SettingsHead, SettingsRow, SubtreeName,
    parse_tree,
};
use crate::table::{RowRevision, TableError, TableRow, TableTxn, TxnOutcome};

/// Maximum number of commit attempts of one change, which retries after concurrent changes of
/// other subtrees and after table errors.
const MAX_COMMIT_ATTEMPTS: u32 = 8;

/// A rejected change, based on a revision that is no longer the newest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsConflict {
    /// Revision that the change was based on.
    pub based_on: u64,
    /// The subtree as stored now; `None` if it does not exist.
    pub current: Option<SettingsRow>,
    /// The text that was not applied.
    pub rejected: String,
}

/// Outcome of applying a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ApplyOutcome {
    /// Applied; in force from this revision on. For a dry run, the subtree's revision, unchanged.
    Applied(u64),
    /// Rejected without effect, because another change was committed first.
    Conflict(SettingsConflict),
    /// Rejected without effect, because the resulting tree has these faults.
    Invalid(Vec<SettingsFault>),
}

/// Failure to apply a change; whether the change took effect is not known.
#[derive(Debug, Display, Error)]
pub enum ApplyError {
    /// the table did not answer: {0}
    Table(TableError),
    /// too many concurrent changes of the settings
    Contended,
}

/// A proposed text for one subtree.
#[derive(Debug, Clone)]
pub struct SettingsChange {
    /// The subtree to change.
    pub subtree: SubtreeName,
    /// Revision of the subtree that the change is based on; zero for a new one.
    pub based_on: u64,
    /// The new text.
    pub text: String,
    /// Author of the change.
    pub author: String,
    /// Whether to validate the change without committing it.
    pub is_dry_run: bool,
}

struct CurrentTree {
    head: SettingsHead,
    head_revision: RowRevision,
    rows: Vec<(RowRevision, SettingsRow)>,
}

impl CurrentTree {
    fn find(&self, subtree: &SubtreeName) -> Option<&(RowRevision, SettingsRow)> {
        self.rows.iter().find(|(_, row)| row.subtree == *subtree)
    }
}

/// Table key prefix of the accepted texts of a subtree.
#[must_use]
pub fn history_prefix(subtree: &SubtreeName) -> String {
    format!("{SETTINGS_PREFIX}history/{subtree}/")
}

/// Applies a change if the whole tree stays valid and the subtree has not changed since the
/// revision that the change is based on.
///
/// # Errors
/// [`ApplyError`] if the outcome is not known after the last attempt.
pub async fn apply_change(
    node: &NodeContext,
    change: &SettingsChange,
) -> Result<ApplyOutcome, ApplyError> {
    let attempt = AttemptId::random();
    let mut last_error = None;
    for _ in 0..MAX_COMMIT_ATTEMPTS {
        match try_commit(node, change, attempt).await {
            Ok(Some(outcome)) => return Ok(outcome),
            Ok(None) => {}
            Err(error) => last_error = Some(error),
        }
    }
    Err(last_error.map_or(ApplyError::Contended, ApplyError::Table))
}

/// One attempt; `None` if a concurrent change was committed first. A row with the change's own
/// attempt identifier shows that an earlier commit succeeded though its answer was lost.
async fn try_commit(
    node: &NodeContext,
    change: &SettingsChange,
    attempt: AttemptId,
) -> Result<Option<ApplyOutcome>, TableError> {
    let tree = read_tree(node).await?;
    let current = tree.find(&change.subtree);
    if let Some((_, row)) = current
        && row.attempt == attempt
    {
        return Ok(Some(publish_row(node, row.clone())));
    }
    let current_revision = current.map_or(0, |(_, row)| row.revision);
    if current_revision != change.based_on {
        let conflict = SettingsConflict {
            based_on: change.based_on,
            current: current.map(|(_, row)| row.clone()),
            rejected: change.text.clone(),
        };
        return Ok(Some(ApplyOutcome::Conflict(conflict)));
    }
    let row = SettingsRow {
        subtree: change.subtree.clone(),
        revision: tree.head.revision + 1,
        text: change.text.clone(),
        author: change.author.clone(),
        attempt,
    };
    if let Err(faults) = parse_tree(&candidate_rows(&tree, &row)) {
        return Ok(Some(ApplyOutcome::Invalid(faults)));
    }
    if change.is_dry_run {
        return Ok(Some(ApplyOutcome::Applied(current_revision)));
    }
    let txn = change_txn(&tree, &row)?;
    match node.table.commit(txn).await? {
        TxnOutcome::Committed(_) => Ok(Some(publish_row(node, row))),
        TxnOutcome::Conflict(_) => Ok(None),
    }
}

fn candidate_rows(tree: &CurrentTree, changed: &SettingsRow) -> Vec<SettingsRow> {
    let others = tree.rows.iter().map(|(_, row)| row);
    let mut rows: Vec<SettingsRow> = others
        .filter(|row| row.subtree != changed.subtree)
        .cloned()
        .collect();
    rows.push(changed.clone());
    rows
}

fn change_txn(tree: &CurrentTree, row: &SettingsRow) -> Result<TableTxn, TableError> {
    let key = row.subtree.row_key();
    let row_revision = tree
        .find(&row.subtree)
        .map_or(RowRevision::ABSENT, |(revision, _)| *revision);
    let head = SettingsHead {
        revision: row.revision,
    };
    let history_key = format!("{}{:012}", history_prefix(&row.subtree), row.revision);
    TableTxn::default()
        .check(SETTINGS_HEAD_KEY, tree.head_revision)
        .check(&key, row_revision)
        .write(SETTINGS_HEAD_KEY, &head)?
        .write(&key, row)?
        .write(&history_key, row)
}

fn publish_row(node: &NodeContext, row: SettingsRow) -> ApplyOutcome {
    let revision = row.revision;
    node.apply_settings(vec![row]);
    node.settings_wake.notify();
    ApplyOutcome::Applied(revision)
}

async fn read_tree(node: &NodeContext) -> Result<CurrentTree, TableError> {
    let head_row = node.table.read(SETTINGS_HEAD_KEY.to_owned()).await?;
    let head: Option<SettingsHead> = head_row.decode()?;
    let prefix = format!("{SETTINGS_PREFIX}tree/");
    let rows = node.table.scan(prefix, RowRevision::ABSENT).await?;
    Ok(CurrentTree {
        head_revision: if head.is_some() {
            head_row.revision
        } else {
            RowRevision::ABSENT
        },
        head: head.unwrap_or_default(),
        rows: decode_rows(&rows)?,
    })
}

fn decode_rows(rows: &[TableRow]) -> Result<Vec<(RowRevision, SettingsRow)>, TableError> {
    let mut decoded = Vec::new();
    for row in rows {
        if let Some(settings_row) = row.decode()? {
            decoded.push((row.revision, settings_row));
        }
    }
    Ok(decoded)
}
