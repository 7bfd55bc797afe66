//! What one connection of a client does at present, and since when.

use std::cell::Cell;
use std::rc::Rc;

use super::sweep_signal::SweepSignal;
use crate::prelude::*;
use crate::time::MonoClock;

/// Start of the first bytes of a client that speaks HTTP/2.
const PREFACE_START: &[u8] = b"PRI * HTTP/2";

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// No byte of the next request has arrived.
    Idle,
    /// Part of a request head has arrived.
    Head,
    /// At least one request is being answered.
    Busy,
}

/// Progress of one connection. The stream and the service update it; the connection table reads it.
pub struct ConnectionProgress {
    clock: MonoClock,
    phase: Cell<ConnectionPhase>,
    phase_since: Cell<MonoTime>,
    /// Requests that are being answered.
    open_requests: Cell<usize>,
    has_served: Cell<bool>,
    /// Whether the client speaks HTTP/2, whose bytes between requests are no head.
    is_multiplexed: Cell<bool>,
    /// When the client first left bytes unread; `None` while all that is ready is sent.
    blocked_since: Cell<Option<MonoTime>>,
    /// Asks the table to look at this connection later on.
    sweeps: Rc<SweepSignal>,
}

/// A request that is being answered; dropping it ends the answer.
pub struct OpenAnswer(Rc<ConnectionProgress>);

impl ConnectionProgress {
    /// Creates the progress of a connection that has just been accepted.
    pub fn open(clock: MonoClock, sweeps: Rc<SweepSignal>) -> Rc<Self> {
        Rc::new(Self {
            clock,
            phase: Cell::new(ConnectionPhase::Idle),
            phase_since: Cell::new(clock.now()),
            open_requests: Cell::new(0),
            has_served: Cell::new(false),
            is_multiplexed: Cell::new(false),
            blocked_since: Cell::new(None),
            sweeps,
        })
    }

    /// Present phase.
    pub const fn phase(&self) -> ConnectionPhase {
        self.phase.get()
    }

    /// Milliseconds in the present phase.
    pub fn phase_ms(&self, now: MonoTime) -> u64 {
        now.millis_since(self.phase_since.get())
    }

    /// Whether a whole request has arrived on this connection.
    pub const fn has_served(&self) -> bool {
        self.has_served.get()
    }

    /// Milliseconds since the first byte of a head that has not arrived whole.
    pub fn head_ms(&self, now: MonoTime) -> Option<u64> {
        let is_head = self.phase.get() == ConnectionPhase::Head && !self.is_multiplexed.get();
        is_head.then(|| self.phase_ms(now))
    }

    /// Milliseconds for which the client has read nothing although bytes are ready for it.
    pub fn unread_ms(&self, now: MonoTime) -> Option<u64> {
        let since = self.blocked_since.get();
        since.map(|since| now.millis_since(since))
    }

    /// Records that bytes of the client have arrived.
    pub fn record_read(&self, bytes: &[u8]) {
        if self.phase.get() == ConnectionPhase::Idle {
            if !self.has_served.get() && bytes.starts_with(PREFACE_START) {
                self.is_multiplexed.set(true);
            }
            self.enter(ConnectionPhase::Head);
            self.sweeps.arm();
        }
    }

    /// Records whether the client's side took bytes, or has no room for any.
    pub fn record_write(&self, is_blocked: bool) {
        if !is_blocked {
            self.blocked_since.set(None);
        } else if self.blocked_since.get().is_none() {
            self.blocked_since.set(Some(self.clock.now()));
            self.sweeps.arm();
        }
    }

    /// Records that a whole request head has arrived.
    pub fn begin_answer(self: &Rc<Self>, is_multiplexed: bool) -> OpenAnswer {
        self.is_multiplexed.set(is_multiplexed);
        self.has_served.set(true);
        self.open_requests.set(self.open_requests.get() + 1);
        self.enter(ConnectionPhase::Busy);
        OpenAnswer(Rc::clone(self))
    }

    fn enter(&self, phase: ConnectionPhase) {
        self.phase.set(phase);
        self.phase_since.set(self.clock.now());
    }
}

impl Drop for OpenAnswer {
    fn drop(&mut self) {
        let left = self.0.open_requests.get() - 1;
        self.0.open_requests.set(left);
        if left == 0 {
            self.0.enter(ConnectionPhase::Idle);
        }
    }
}
