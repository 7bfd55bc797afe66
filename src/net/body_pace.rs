//! How fast a body must arrive.

use std::cell::{Cell, RefCell};
use std::task::Waker;

use crate::prelude::*;

/// Milliseconds over which the progress of a body is compared with that of others.
const COMPARE_MS: u64 = 1_000;

/// Seconds in which a body must be able to arrive at its present pace to be safe from giving way. No
/// request may take longer.
const HOPEFUL_S: u64 = 30;

/// Pace that a body must keep, so that a client that stops or drips gives its memory back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyPace {
    /// Milliseconds before the pace is looked at.
    pub grace_ms: u64,
    /// Milliseconds over which it is measured.
    pub window_ms: u64,
    /// Bytes per second that must arrive in a window.
    pub bytes_per_s: u64,
}

impl Default for BodyPace {
    fn default() -> Self {
        Self {
            grace_ms: 5_000,
            window_ms: 5_000,
            bytes_per_s: 256,
        }
    }
}

impl BodyPace {
    /// Bytes that must arrive in a window.
    #[must_use]
    pub fn window_bytes(self) -> usize {
        let bytes = self.bytes_per_s.saturating_mul(self.window_ms) / 1_000;
        usize::try_from(bytes).unwrap_or(usize::MAX).max(1)
    }
}

/// Progress of a body that is being read.
#[derive(Debug)]
pub struct BodyProgress {
    /// Bytes of the budget that the body has taken.
    pub held_bytes: Cell<usize>,
    received_bytes: Cell<usize>,
    /// Begin of the present comparison, and the bytes received until then.
    mark: Cell<(MonoTime, usize)>,
    /// Bytes per second in the comparison before; `None` before the first has ended.
    last_rate: Cell<Option<u64>>,
    has_given_way: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl BodyProgress {
    /// Progress of a body of which nothing has arrived.
    pub fn open(now: MonoTime) -> Self {
        Self {
            held_bytes: Cell::new(0),
            received_bytes: Cell::new(0),
            mark: Cell::new((now, 0)),
            last_rate: Cell::new(None),
            has_given_way: Cell::new(false),
            waker: RefCell::default(),
        }
    }

    /// Records that the body now has `bytes` bytes.
    pub fn record(&self, now: MonoTime, bytes: usize) {
        self.received_bytes.set(bytes);
        self.compare(now);
    }

    /// How much the body holds for what it brings: `None` if it is young or keeps up, otherwise more
    /// for a body that should give way first.
    pub fn burden(&self, now: MonoTime) -> Option<u64> {
        self.compare(now);
        let rate = self.last_rate.get()?;
        let held = u64::try_from(self.held_bytes.get()).unwrap_or(u64::MAX);
        let is_hopeless = rate.saturating_mul(HOPEFUL_S) < held && !self.has_given_way.get();
        is_hopeless.then(|| held / rate.max(1))
    }

    /// Tells the reader to end. Returns the bytes that it gives back.
    pub fn give_way(&self) -> usize {
        self.has_given_way.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
        self.held_bytes.replace(0)
    }

    /// Whether the reader must end.
    pub const fn has_given_way(&self) -> bool {
        self.has_given_way.get()
    }

    /// Sets what [`Self::give_way`] wakes.
    pub fn wake_with(&self, waker: &Waker) {
        self.waker.replace(Some(waker.clone()));
    }

    fn compare(&self, now: MonoTime) {
        let (since, bytes) = self.mark.get();
        let elapsed_ms = now.millis_since(since);
        if elapsed_ms < COMPARE_MS {
            return;
        }
        let received = self.received_bytes.get();
        let brought = u64::try_from(received - bytes).unwrap_or(u64::MAX);
        self.last_rate
            .set(Some(brought.saturating_mul(1_000) / elapsed_ms));
        self.mark.set((now, received));
    }
}
