//! Writes log lines on a thread of its own, so that a slow reader never holds up the daemon.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use log::Record;
use log4rs::append::Append;

use super::log_line::log_line;

/// Lines that wait for the writer at most; further ones are dropped and counted.
const MAX_WAITING_LINES: usize = 4_096;

/// Lines written together at most; the writer keeps no more than these besides the waiting ones.
const MAX_BATCH_LINES: usize = 512;

/// Milliseconds for which lines are gathered before they are written together.
const GATHER_MS: u64 = 50;

/// Stack of the writing thread in bytes; it keeps nothing on it.
const STACK_BYTES: usize = 64 * 1024;

/// Milliseconds that the end of a process waits for the last lines.
const FLUSH_MS: u64 = 1_000;

/// Milliseconds between tries to reach the writer while its queue is full.
const FLUSH_RETRY_MS: u64 = 5;

/// What the writing thread receives.
#[derive(Debug)]
enum LogItem {
    /// A line to write.
    Line(Vec<u8>),
    /// Tell the sender once all lines before this are written.
    Flush(SyncSender<()>),
}

/// Hands lines to a writing thread.
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
        let (sender, receiver) = sync_channel(MAX_WAITING_LINES);
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
        let deadline = Instant::now() + Duration::from_millis(FLUSH_MS);
        let mut item = LogItem::Flush(done_sender);
        while let Err(TrySendError::Full(returned)) = self.sender.try_send(item) {
            if Instant::now() >= deadline {
                return;
            }
            item = returned;
            thread::sleep(Duration::from_millis(FLUSH_RETRY_MS));
        }
        // A writer that is held up by its reader loses the lines that still wait.
        let _ = done.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

fn write_lines(receiver: &Receiver<LogItem>, dropped: &AtomicU64, mut output: impl Write) {
    while let Ok(first) = receiver.recv() {
        if matches!(first, LogItem::Line(_)) {
            thread::sleep(Duration::from_millis(GATHER_MS));
        }
        let mut batch = Vec::new();
        let mut waiting = Vec::new();
        let rest = std::iter::from_fn(|| receiver.try_recv().ok()).take(MAX_BATCH_LINES);
        for item in std::iter::once(first).chain(rest) {
            match item {
                LogItem::Line(line) => batch.extend_from_slice(&line),
                LogItem::Flush(done) => waiting.push(done),
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let event = "log lines dropped";
            let text = format!("{{\"level\":\"WARN\",\"event\":\"{event}\",\"lines\":{lost}}}\n");
            batch.extend_from_slice(text.as_bytes());
        }
        // A closed output leaves nobody to tell.
        if output
            .write_all(&batch)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
        for done in waiting {
            // The process may have given up waiting.
            let _ = done.try_send(());
        }
    }
}
