//! `quetzalpin explain --log`: the history of one request, collected from the logs of any number
//! of processes.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::ExitCode;

use serde_json::{Map, Value};

use crate::errors::ToolError;
use crate::output::outln;

/// Fields left out of the key-value list: they are printed elsewhere or carry no information
/// about the request.
const EXCLUDED_FIELDS: [&str; 4] = ["at_ms", "level", "event", "request"];

/// Parsed log line.
struct LogEvent {
    at_ms: u64,
    /// Text before the JSON object, such as the process name.
    source: String,
    fields: Map<String, Value>,
}

/// Prints the log events of a request in the order of their timestamps.
///
/// # Errors
/// [`ToolError::Log`] if the file cannot be read, [`ToolError::NotInLog`] if no line names the
/// request.
pub fn run(path: &Path, request: &str, is_json: bool) -> Result<ExitCode, ToolError> {
    let file = File::open(path).map_err(|source| log_file_error(path, source))?;
    let mut events = Vec::new();
    let mut malformed_count = 0_usize;
    for line in BufReader::new(file).split(b'\n') {
        let line = line.map_err(|source| log_file_error(path, source))?;
        let line = String::from_utf8_lossy(&line);
        match parse_event(&line) {
            Some(event) if event.fields.get("request").and_then(Value::as_str) == Some(request) => {
                events.push(event);
            }
            Some(_) => {}
            None => malformed_count += usize::from(line.contains(request)),
        }
    }
    if malformed_count > 0 {
        eprintln!("{malformed_count} lines that name the request cannot be read");
    }
    if events.is_empty() {
        return Err(ToolError::NotInLog(request.to_owned()));
    }
    events.sort_by_key(|event| event.at_ms);
    let start_ms = events[0].at_ms;
    for event in &events {
        if is_json {
            outln!("{}", serde_json::to_string(&event.fields)?);
        } else {
            outln!("{}", format_event(event, start_ms));
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn log_file_error(path: &Path, source: std::io::Error) -> ToolError {
    ToolError::Log {
        path: path.display().to_string(),
        source,
    }
}

fn parse_event(line: &str) -> Option<LogEvent> {
    let (source, text) = line.split_at(line.find('{')?);
    let fields: Map<String, Value> = serde_json::from_str(text.trim_end()).ok()?;
    Some(LogEvent {
        at_ms: fields.get("at_ms")?.as_u64()?,
        source: source.trim().to_owned(),
        fields,
    })
}

fn format_event(event: &LogEvent, start_ms: u64) -> String {
    let name = event.fields.get("event").and_then(Value::as_str);
    let mut parts = vec![format!(
        "{:>6} ms  {}",
        event.at_ms - start_ms,
        name.unwrap_or("-")
    )];
    for (key, value) in &event.fields {
        let is_empty = value.is_null() || value.as_str() == Some("");
        if is_empty || EXCLUDED_FIELDS.contains(&key.as_str()) {
            continue;
        }
        parts.push(match value.as_str() {
            Some(word) => format!("{key}={word}"),
            None => format!("{key}={value}"),
        });
    }
    if !event.source.is_empty() {
        parts.push(format!("[{}]", event.source));
    }
    parts.join("  ")
}
