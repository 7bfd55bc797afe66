//! One log record as one line of JSON.

use std::io::Write;

use log::Record;
use log::kv::{Error, Key, Value, VisitSource};

use crate::decision::unix_ms;

/// Writes a record's fields after its time, level and message.
struct FieldWriter<'a> {
    line: &'a mut Vec<u8>,
}

impl<'kvs> VisitSource<'kvs> for FieldWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.line.push(b',');
        write_json(self.line, key.as_str());
        self.line.push(b':');
        let start = self.line.len();
        if serde_json::to_writer(&mut *self.line, &value).is_err() {
            self.line.truncate(start);
            write_json(self.line, &value.to_string());
        }
        Ok(())
    }
}

/// Formats a record as a line, including the line end.
#[must_use]
pub fn log_line(record: &Record<'_>) -> Vec<u8> {
    let mut line = Vec::with_capacity(256);
    let _ = write!(
        line,
        "{{\"at_ms\":{},\"level\":\"{}\",\"event\":",
        unix_ms(),
        record.level()
    );
    write_json(&mut line, &record.args().to_string());
    let mut writer = FieldWriter { line: &mut line };
    // The writer above never fails.
    let _ = record.key_values().visit(&mut writer);
    line.extend_from_slice(b"}\n");
    line
}

fn write_json(line: &mut Vec<u8>, text: &str) {
    // Writing text to memory as JSON cannot fail.
    let _ = serde_json::to_writer(line, text);
}
