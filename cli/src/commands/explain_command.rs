//! `quetzalpin explain` and `quetzalpin release`.

use std::process::ExitCode;

use hyper::Method;
use serde_json::Value;

use super::CommandContext;
use crate::errors::ToolError;
use crate::output::outln;

/// Prints the decisions that the entry has recorded about a request.
pub async fn run(context: &CommandContext, request: &str) -> Result<ExitCode, ToolError> {
    let path = format!("/decisions?request={request}");
    let records: Vec<Value> = context.client()?.get(&path).await?;
    if records.is_empty() {
        return Err(ToolError::NoDecision);
    }
    for record in &records {
        if context.is_json {
            outln!("{}", serde_json::to_string(record)?);
        } else {
            print_record(record);
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Releases a request from quarantine and prints how many crashes were forgiven.
pub async fn release(context: &CommandContext, fingerprint: &str) -> Result<ExitCode, ToolError> {
    let path = format!("/quarantine/{fingerprint}");
    let client = context.client()?;
    let crashes: usize = client
        .call(Method::DELETE, &path, &[], String::new())
        .await?;
    if context.is_json {
        outln!("{}", serde_json::json!({ "forgiven_crashes": crashes }));
    } else {
        outln!("released; {crashes} crashes forgiven");
    }
    Ok(ExitCode::SUCCESS)
}

fn print_record(record: &Value) {
    let text = |key: &str| record[key].as_str().unwrap_or("-").to_owned();
    match record["decision"].as_str() {
        Some("route") => outln!(
            "{} sent the request to {} ({}), {} ms before the deadline; forecast {} ms",
            text("decided_by"),
            text("instance"),
            record["choice"]["reason"].as_str().unwrap_or("-"),
            record["remaining_ms"],
            record["choice"]["finish_ms"],
        ),
        Some("refuse") => outln!(
            "refused: {} ({}), {} ms before the deadline",
            record["refusal"]["reason"].as_str().unwrap_or("-"),
            record["refusal"]["outcome"].as_str().unwrap_or("-"),
            record["remaining_ms"],
        ),
        _ => outln!("{record}"),
    }
    for target in record["targets"].as_array().into_iter().flatten() {
        outln!(
            "  {:<14} {:<7} {:<8} ready {:>6} ms  wait {:>6} ms  needs {:>6} ms  load {}/{}",
            target["instance"].as_str().unwrap_or("-"),
            target["locality"].as_str().unwrap_or("-"),
            target["state"].as_str().unwrap_or("-"),
            target["ready_ms"],
            target["wait_ms"],
            target["needed_ms"],
            target["load"],
            target["limit"],
        );
    }
}
