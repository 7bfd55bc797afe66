//! Applies changes to the settings tree.

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

/// Tries of an apply that meets changes of other subtrees or lost answers.
const MAX_TRIES: u32 = 8;

/// A change was based on a revision that is no longer the newest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsConflict {
    /// Revision that the change was based on.
    pub based_on: u64,
    /// The subtree as it is now.
    pub current: Option<SettingsRow>,
    /// The text that was not applied.
    pub rejected: String,
}

/// Result of an apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ApplyOutcome {
    /// In force from this revision on.
    Applied(u64),
    /// Another change came first; nothing was changed.
    Conflict(SettingsConflict),
    /// The tree would not be valid; nothing was changed.
    Invalid(Vec<SettingsFault>),
}

/// An apply whose effect is not known.
#[derive(Debug, Display, Error)]
pub enum ApplyError {
    /// the table did not answer: {0}
    Table(TableError),
    /// other changes kept coming first
    Contended,
}

/// A proposed text for one subtree.
#[derive(Debug, Clone)]
pub struct SettingsChange {
    /// Which subtree.
    pub subtree: SubtreeName,
    /// Revision of the subtree that the change is based on; zero for a new one.
    pub based_on: u64,
    /// The new text.
    pub text: String,
    /// Who applies it.
    pub author: String,
    /// Check only.
    pub dry_run: bool,
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

/// Table key of an accepted text in the history.
#[must_use]
pub fn history_prefix(subtree: &SubtreeName) -> String {
    format!("{SETTINGS_PREFIX}history/{subtree}/")
}

/// Applies a change, if the whole tree stays valid and nothing came first.
///
/// # Errors
/// [`ApplyError`] if the table's answers do not tell what happened.
pub async fn apply_change(
    node: &NodeContext,
    change: &SettingsChange,
) -> Result<ApplyOutcome, ApplyError> {
    let attempt = AttemptId::random();
    let mut last_error = None;
    for _ in 0..MAX_TRIES {
        match try_apply(node, change, attempt).await {
            Ok(Some(outcome)) => return Ok(outcome),
            Ok(None) => {}
            Err(error) => last_error = Some(error),
        }
    }
    Err(last_error.map_or(ApplyError::Contended, ApplyError::Table))
}

/// One try; `None` if another subtree's change came between.
async fn try_apply(
    node: &NodeContext,
    change: &SettingsChange,
    attempt: AttemptId,
) -> Result<Option<ApplyOutcome>, TableError> {
    let tree = read_tree(node).await?;
    let current = tree.find(&change.subtree);
    if let Some((_, row)) = current
        && row.attempt == attempt
    {
        return Ok(Some(finish(node, row.clone())));
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
    if change.dry_run {
        return Ok(Some(ApplyOutcome::Applied(current_revision)));
    }
    let txn = change_txn(&tree, &row)?;
    match node.table.commit(txn).await? {
        TxnOutcome::Committed(_) => Ok(Some(finish(node, row))),
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

fn finish(node: &NodeContext, row: SettingsRow) -> ApplyOutcome {
    let revision = row.revision;
    node.apply_settings(vec![row]);
    node.settings_hint.notify();
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
