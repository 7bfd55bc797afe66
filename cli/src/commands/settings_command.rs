//! `quetzalpin settings`: shows, compares and changes settings subtrees.

use std::path::Path;
use std::process::ExitCode;

use hyper::Method;
use quetzalpin::entry::ApplyOutcome;
use quetzalpin::settings::{SettingsRow, SubtreeName};

use super::CommandContext;
use crate::errors::ToolError;
use crate::flags::{Apply, SettingsCmd};
use crate::output::outln;

/// Exit code if the base revision is outdated or the settings are invalid.
const EXIT_NOT_APPLIED: u8 = 3;

/// Runs the selected settings command.
pub async fn run(context: &CommandContext, command: SettingsCmd) -> Result<ExitCode, ToolError> {
    match command {
        SettingsCmd::Show(show) => match show.subtree {
            Some(name) => show_one(context, &name).await,
            None => show_all(context).await,
        },
        SettingsCmd::Diff(diff) => show_diff(context, &diff.subtree, &diff.file).await,
        SettingsCmd::Apply(apply) => apply_file(context, &apply).await,
        SettingsCmd::History(history) => show_history(context, &history.subtree).await,
    }
}

fn subtree_path(name: &str) -> Result<String, ToolError> {
    let subtree = SubtreeName::parse(name);
    let subtree = subtree.ok_or_else(|| ToolError::UnknownSubtree(name.to_owned()))?;
    Ok(format!("/settings/{subtree}"))
}

async fn show_all(context: &CommandContext) -> Result<ExitCode, ToolError> {
    let rows: Vec<SettingsRow> = context.client()?.get("/settings").await?;
    print_rows(context, &rows)
}

async fn show_one(context: &CommandContext, name: &str) -> Result<ExitCode, ToolError> {
    let row: SettingsRow = context.client()?.get(&subtree_path(name)?).await?;
    if context.is_json {
        outln!("{}", serde_json::to_string(&row)?);
    } else {
        outln!(
            "; {} at revision {} by {}",
            row.subtree,
            row.revision,
            row.author
        );
        outln!("{}", row.text.trim_end());
    }
    Ok(ExitCode::SUCCESS)
}

async fn show_history(context: &CommandContext, name: &str) -> Result<ExitCode, ToolError> {
    let path = format!("{}/history", subtree_path(name)?);
    let rows: Vec<SettingsRow> = context.client()?.get(&path).await?;
    print_rows(context, &rows)
}

fn print_rows(context: &CommandContext, rows: &[SettingsRow]) -> Result<ExitCode, ToolError> {
    if context.is_json {
        outln!("{}", serde_json::to_string(rows)?);
        return Ok(ExitCode::SUCCESS);
    }
    outln!("{:<24} {:>8} {:>8}  author", "subtree", "revision", "bytes");
    for row in rows {
        let name = row.subtree.to_string();
        outln!(
            "{name:<24} {:>8} {:>8}  {}",
            row.revision,
            row.text.len(),
            row.author
        );
    }
    Ok(ExitCode::SUCCESS)
}

async fn show_diff(
    context: &CommandContext,
    name: &str,
    file: &Path,
) -> Result<ExitCode, ToolError> {
    let row: SettingsRow = context.client()?.get(&subtree_path(name)?).await?;
    let text = std::fs::read_to_string(file)?;
    let old: Vec<&str> = row.text.lines().collect();
    let new: Vec<&str> = text.lines().collect();
    outln!("; in force: {} at revision {}", row.subtree, row.revision);
    for line in diff_lines(&old, &new) {
        outln!("{line}");
    }
    Ok(ExitCode::SUCCESS)
}

/// Lines that only one side contains, each with its section, sorted by section and text;
/// removed lines are marked `-`, added lines `+`.
fn diff_lines(old: &[&str], new: &[&str]) -> Vec<String> {
    let old = with_sections(old);
    let new = with_sections(new);
    let removed = old.iter().filter(|line| !new.contains(line));
    let added = new.iter().filter(|line| !old.contains(line));
    let mut lines: Vec<(usize, String)> = Vec::new();
    for (section, text) in removed {
        lines.push((0, format!("- {section} {text}")));
    }
    for (section, text) in added {
        lines.push((1, format!("+ {section} {text}")));
    }
    lines.sort_by(|a, b| a.1[2..].cmp(&b.1[2..]).then(a.0.cmp(&b.0)));
    lines.into_iter().map(|(_, line)| line).collect()
}

/// Pairs each line with its section; skips empty lines and comments.
fn with_sections<'a>(lines: &[&'a str]) -> Vec<(&'a str, &'a str)> {
    let mut section = "";
    let mut sectioned_lines = Vec::new();
    for line in lines {
        let line = line.trim();
        if line.starts_with('[') {
            section = line;
        }
        if !line.is_empty() && !line.starts_with(';') {
            sectioned_lines.push((section, line));
        }
    }
    sectioned_lines
}

async fn apply_file(context: &CommandContext, apply: &Apply) -> Result<ExitCode, ToolError> {
    let text = std::fs::read_to_string(&apply.file)?;
    let mut path = subtree_path(&apply.subtree)?;
    if apply.dry_run {
        path.push_str("?dry_run=true");
    }
    let author = apply.author.clone().or_else(|| std::env::var("USER").ok());
    let headers = [
        ("if-match", apply.based_on.to_string()),
        ("x-author", author.unwrap_or_else(|| "unnamed".to_owned())),
    ];
    let client = context.client()?;
    let outcome: ApplyOutcome = client.call(Method::PUT, &path, &headers, text).await?;
    if context.is_json {
        outln!("{}", serde_json::to_string(&outcome)?);
    } else {
        print_outcome(&outcome, apply.dry_run);
    }
    Ok(match outcome {
        ApplyOutcome::Applied(_) => ExitCode::SUCCESS,
        _ => ExitCode::from(EXIT_NOT_APPLIED),
    })
}

fn print_outcome(outcome: &ApplyOutcome, is_dry_run: bool) {
    match outcome {
        ApplyOutcome::Applied(revision) if is_dry_run => {
            outln!("valid; nothing changed, revision in force {revision}");
        }
        ApplyOutcome::Applied(revision) => outln!("in force from revision {revision}"),
        ApplyOutcome::Invalid(faults) => {
            outln!("not applied, {} faults:", faults.len());
            for fault in faults {
                outln!("  {fault}");
            }
        }
        ApplyOutcome::Conflict(conflict) => {
            outln!("not applied: based on revision {}, but", conflict.based_on);
            match &conflict.current {
                Some(row) => {
                    outln!(
                        "{} is at revision {} by {}",
                        row.subtree,
                        row.revision,
                        row.author
                    );
                    let current: Vec<&str> = row.text.lines().collect();
                    let rejected: Vec<&str> = conflict.rejected.lines().collect();
                    for line in diff_lines(&current, &rejected) {
                        outln!("  {line}");
                    }
                }
                None => outln!("the subtree does not exist"),
            }
        }
    }
}
