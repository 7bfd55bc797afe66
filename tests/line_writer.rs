//! The log writer with a reader that is slow or blocked.

use std::io::{Result, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use log::{Level, Record};
use log4rs::append::Append;
use quetzalpin::daemon::{LineWriter, log_line};

/// Number of lines appended while the reader is blocked; more than the writer's queue holds.
const APPENDED_LINES: usize = 6_000;

/// Blocks every write until the test opens the gate.
struct GatedOutput {
    gate: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for GatedOutput {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        // Once the sender is dropped, writes no longer block.
        let _ = self.gate.recv();
        self.written
            .lock()
            .expect("no panic")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

fn spawn_gated_writer() -> (LineWriter, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (open_gate, gate) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = GatedOutput {
        gate,
        written: Arc::clone(&written),
    };
    let writer = LineWriter::spawn(output).expect("a thread");
    (writer, open_gate, written)
}

fn append_line(writer: &LineWriter, text: &str) {
    let arguments = format_args!("{text}");
    let record = Record::builder().level(Level::Info).args(arguments).build();
    writer.append(&record).expect("an append never fails");
}

#[test]
fn a_blocked_reader_does_not_block_appends_and_dropped_lines_are_reported() {
    let (writer, open_gate, written) = spawn_gated_writer();
    for _ in 0..APPENDED_LINES {
        append_line(&writer, "line");
    }
    assert!(writer.dropped() > 0, "nothing was dropped");
    drop(open_gate);
    writer.flush();
    writer.flush();
    let text = String::from_utf8(written.lock().expect("no panic").clone()).expect("text");
    assert!(
        text.contains("log lines dropped"),
        "the dropped lines are not reported"
    );
}

#[test]
fn a_flush_returns_after_the_last_lines_are_written() {
    let (writer, open_gate, written) = spawn_gated_writer();
    drop(open_gate);
    append_line(&writer, "first");
    append_line(&writer, "last");
    writer.flush();
    let text = String::from_utf8(written.lock().expect("no panic").clone()).expect("text");
    assert!(text.contains("first") && text.contains("last"));
}

#[test]
fn a_line_is_one_json_object_with_its_fields() {
    let fields = [("request", "r \"1\"\n")];
    let arguments = format_args!("attempt");
    let record = Record::builder()
        .level(Level::Warn)
        .args(arguments)
        .key_values(&fields)
        .build();
    let line = log_line(&record);
    let text = String::from_utf8(line).expect("text");
    assert_eq!(text.lines().count(), 1);
    let value: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(value["event"], "attempt");
    assert_eq!(value["level"], "WARN");
    assert_eq!(value["request"], "r \"1\"\n");
}
