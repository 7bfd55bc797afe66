//! Writes log lines on a separate thread, so that a slow reader never blocks the daemon.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use log::Record;
use log4rs::append::Append;

use super::log_line::log_line;

/// Capacity of the queue in lines; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Largest batch in lines; the writer holds no more than these besides the queue.
const MAX_BATCH_LINES: usize = 512;

/// Milliseconds for which the writer collects lines into a batch.
const BATCH_DELAY_MS: u64 = 50;

/// Stack size of the writer thread in bytes; it keeps its data on the heap.
const STACK_BYTES: usize = 64 * 1024;

/// Milliseconds that a flush at the end of the process waits for the last lines.
const FLUSH_TIMEOUT_MS: u64 = 1_000;

/// Milliseconds between attempts to send a flush while the queue is full.
const FLUSH_RETRY_MS: u64 = 5;

/// Message to the writer thread.
#[derive(Debug)]
enum LogItem {
    /// A line to write.
    Line(Vec<u8>),
    /// Signal the sender once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Log appender that sends lines to a writer thread.
#[derive(Debug)]
pub struct LineWriter {
    sender: SyncSender<LogItem>,
    dropped: Arc<AtomicU64>,
}

impl LineWriter {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    /// The system's error if no thread can be started.
    pub fn spawn(output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || write_lines(&receiver, &counter, output))?;
        Ok(Self { sender, dropped })
    }

    /// Lines dropped and not yet reported.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl Append for LineWriter {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        if let Err(TrySendError::Full(_)) = self.sender.try_send(LogItem::Line(log_line(record))) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {
        let (done_sender, done) = sync_channel(1);
        let deadline = Instant::now() + Duration::from_millis(FLUSH_TIMEOUT_MS);
        let mut item = LogItem::Flush(done_sender);
        while let Err(TrySendError::Full(returned)) = self.sender.try_send(item) {
            if Instant::now() >= deadline {
                return;
            }
            item = returned;
            thread::sleep(Duration::from_millis(FLUSH_RETRY_MS));
        }
        // If the reader blocks the writer, the lines that are still queued are lost.
        let _ = done.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

fn write_lines(receiver: &Receiver<LogItem>, dropped: &AtomicU64, mut output: impl Write) {
    while let Ok(first) = receiver.recv() {
        if matches!(first, LogItem::Line(_)) {
            thread::sleep(Duration::from_millis(BATCH_DELAY_MS));
        }
        let mut batch = Vec::new();
        let mut flushes = Vec::new();
        let rest = std::iter::from_fn(|| receiver.try_recv().ok()).take(MAX_BATCH_LINES);
        for item in std::iter::once(first).chain(rest) {
            match item {
                LogItem::Line(line) => batch.extend_from_slice(&line),
                LogItem::Flush(done) => flushes.push(done),
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let event = "log lines dropped";
            let text = format!("{{\"level\":\"WARN\",\"event\":\"{event}\",\"lines\":{lost}}}\n");
            batch.extend_from_slice(text.as_bytes());
        }
        // The output is closed, so the error cannot be reported.
        if output
            .write_all(&batch)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
        for done in flushes {
            // The flush may have timed out.
            let _ = done.try_send(());
        }
    }
}
