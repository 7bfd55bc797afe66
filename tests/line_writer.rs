//! The log writer with readers that are slow or have stopped.

use std::io::{Result, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use log::{Level, Record};
use log4rs::append::Append;
use quetzalpin::daemon::{LineWriter, log_line};

/// Lines offered to a writer whose reader has stopped; more than it keeps.
const OFFERED_LINES: usize = 6_000;

/// Blocks every write until the test lets it go on.
struct GatedOutput {
    gate: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for GatedOutput {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        // A closed gate lets everything pass.
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

fn gated() -> (LineWriter, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (open_gate, gate) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = GatedOutput {
        gate,
        written: Arc::clone(&written),
    };
    let writer = LineWriter::spawn(output).expect("a thread");
    (writer, open_gate, written)
}

fn offer(writer: &LineWriter, text: &str) {
    let arguments = format_args!("{text}");
    let record = Record::builder().level(Level::Info).args(arguments).build();
    writer.append(&record).expect("an append never fails");
}

#[test]
fn a_stopped_reader_holds_nobody_up_and_losses_are_told() {
    let (writer, open_gate, written) = gated();
    for _ in 0..OFFERED_LINES {
        offer(&writer, "line");
    }
    assert!(writer.dropped() > 0, "nothing was dropped");
    drop(open_gate);
    writer.flush();
    writer.flush();
    let text = String::from_utf8(written.lock().expect("no panic").clone()).expect("text");
    assert!(text.contains("log lines dropped"), "the loss is not told");
}

#[test]
fn the_last_lines_are_written_before_a_flush_returns() {
    let (writer, open_gate, written) = gated();
    drop(open_gate);
    offer(&writer, "first");
    offer(&writer, "last");
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
