//! Open connections of a server, their limits, and which of them are closed for lack of progress.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_channel::oneshot;
use slotmap::{SlotMap, new_key_type};

use super::client_closures::{ClientClosures, ClosureReason};
use super::connection_progress::{ConnectionPhase, ConnectionProgress};
use super::sweep_signal::SweepSignal;
use crate::prelude::*;
use crate::time::MonoClock;

new_key_type! {
    /// An open connection.
    struct ConnectionKey;
}

/// Age in milliseconds below which a connection that waits for its first request is closed for another
/// one only if there is no older one: an ordinary caller sends its head at once.
const YOUNG_MS: u64 = 1_000;

/// Part of the limit for unread answers after which a connection may give way to another one, as a
/// divisor.
const STALLED_DIVISOR: u64 = 3;

/// Milliseconds between two looks at connections in which a head or an unread answer is on its way.
const SWEEP_MS: u64 = 500;

/// Multiple of [`SWEEP_MS`] after which a sweep is late and left out.
const LATE_FACTOR: u64 = 3;

/// Limits on the connections of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Largest number of open connections.
    pub max_open: usize,
    /// Largest number of open connections from one address.
    pub max_per_address: usize,
    /// Milliseconds from the first byte of a request head to its end.
    pub head_ms: u64,
    /// Milliseconds for which a client may read nothing of what is ready for it.
    pub unread_ms: u64,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            max_open: 4_096,
            max_per_address: 4_096,
            head_ms: 5_000,
            unread_ms: 15_000,
        }
    }
}

struct OpenConnection {
    address: IpAddr,
    progress: Rc<ConnectionProgress>,
    /// Closes the connection; `None` once that has begun.
    close: Option<oneshot::Sender<()>>,
}

/// All open connections of one server.
pub struct ConnectionTable {
    limits: ConnectionLimits,
    clock: MonoClock,
    closures: ClientClosures,
    connections: RefCell<SlotMap<ConnectionKey, OpenConnection>>,
    /// Connections by address, without those that are being closed; every count is above zero.
    by_address: RefCell<HashMap<IpAddr, usize>>,
    /// Connections that are not being closed.
    open_count: Cell<usize>,
    sweeps: Rc<SweepSignal>,
}

/// A place in a [`ConnectionTable`]; dropping it gives the place back.
pub struct ConnectionSlot {
    table: Rc<ConnectionTable>,
    key: ConnectionKey,
    /// What the connection does at present.
    pub progress: Rc<ConnectionProgress>,
}

impl ConnectionTable {
    /// Creates a table without connections.
    #[must_use]
    pub fn open(limits: ConnectionLimits, closures: ClientClosures) -> Rc<Self> {
        Rc::new(Self {
            limits,
            clock: MonoClock::open(),
            closures,
            connections: RefCell::default(),
            by_address: RefCell::default(),
            open_count: Cell::new(0),
            sweeps: SweepSignal::open(),
        })
    }

    /// Takes a place for a new connection. If there is none, a connection without a request gives way.
    /// Returns the place and a signal on which the connection must close; `None` if all are at work.
    pub fn admit(
        self: &Rc<Self>,
        address: IpAddr,
    ) -> Option<(ConnectionSlot, oneshot::Receiver<()>)> {
        let now = self.clock.now();
        let of_address = self.by_address.borrow().get(&address).copied();
        if of_address.unwrap_or_default() >= self.limits.max_per_address
            && !self.make_room(now, Some(address))
        {
            self.closures.record(now, ClosureReason::Address);
            return None;
        }
        if self.open_count.get() >= self.limits.max_open && !self.make_room(now, None) {
            self.closures.record(now, ClosureReason::Connections);
            return None;
        }
        let (close, closed) = oneshot::channel();
        let progress = ConnectionProgress::open(self.clock, Rc::clone(&self.sweeps));
        let key = self.connections.borrow_mut().insert(OpenConnection {
            address,
            progress: Rc::clone(&progress),
            close: Some(close),
        });
        self.open_count.set(self.open_count.get() + 1);
        *self.by_address.borrow_mut().entry(address).or_default() += 1;
        let slot = ConnectionSlot {
            table: Rc::clone(self),
            key,
            progress,
        };
        Some((slot, closed))
    }

    /// Sweeps while there is a connection to watch; never ends.
    pub async fn run_sweeps(&self) {
        loop {
            self.sweeps.armed().await;
            let slept_from = self.clock.now();
            compio::time::sleep(Duration::from_millis(SWEEP_MS)).await;
            // After this process was suspended, the timer ends before the connections have read and
            // written what they could in the meantime.
            let is_late = self.clock.now().millis_since(slept_from) > LATE_FACTOR * SWEEP_MS;
            if !is_late && !self.sweep() {
                self.sweeps.disarm();
            }
        }
    }

    /// Closes the connections whose head takes too long or whose client does not read. Returns whether
    /// another sweep is necessary.
    fn sweep(&self) -> bool {
        let now = self.clock.now();
        let mut overdue = Vec::new();
        let mut is_watching = false;
        for (key, connection) in &*self.connections.borrow() {
            let progress = &connection.progress;
            let head_ms = progress.head_ms(now);
            let unread_ms = progress.unread_ms(now);
            if unread_ms.is_some_and(|unread_ms| unread_ms > self.limits.unread_ms) {
                overdue.push((key, ClosureReason::Unread));
            } else if head_ms.is_some_and(|head_ms| head_ms > self.limits.head_ms) {
                overdue.push((key, ClosureReason::Head));
            } else {
                is_watching |= head_ms.is_some() || unread_ms.is_some();
            }
        }
        for (key, reason) in overdue {
            self.close(now, key, reason);
        }
        is_watching
    }

    /// Closes the connection that does least: one whose first head is longest on its way, or else the
    /// one that is idle for longest, or else one whose client has long read nothing. `false` if there is
    /// none.
    fn make_room(&self, now: MonoTime, address: Option<IpAddr>) -> bool {
        let stalled_ms = self.limits.unread_ms / STALLED_DIVISOR;
        let rank = |progress: &ConnectionProgress| {
            // The server may have given up the body of an answer whose last bytes are still unread.
            if let Some(unread_ms) = progress.unread_ms(now) {
                return (unread_ms > stalled_ms).then_some(3);
            }
            match progress.phase() {
                ConnectionPhase::Busy => None,
                _ if progress.has_served() => Some(1),
                _ if progress.phase_ms(now) < YOUNG_MS => Some(2),
                _ => Some(0),
            }
        };
        let victim = {
            let connections = self.connections.borrow();
            let candidates = connections.iter().filter_map(|(key, connection)| {
                let is_candidate = connection.close.is_some()
                    && address.is_none_or(|address| address == connection.address);
                let progress = &connection.progress;
                let rank = rank(progress).filter(|_| is_candidate)?;
                Some((rank, u64::MAX - progress.phase_ms(now), key))
            });
            candidates.min()
        };
        let Some((_, _, key)) = victim else {
            return false;
        };
        let reason = match address {
            Some(_) => ClosureReason::Address,
            None => ClosureReason::Connections,
        };
        self.close(now, key, reason);
        true
    }

    fn close(&self, now: MonoTime, key: ConnectionKey, reason: ClosureReason) {
        let mut connections = self.connections.borrow_mut();
        let Some(connection) = connections.get_mut(key) else {
            return;
        };
        let Some(close) = connection.close.take() else {
            return;
        };
        let address = connection.address;
        drop(connections);
        // The receiver lives as long as the connection.
        let _ = close.send(());
        self.release(address);
        self.closures.record(now, reason);
    }

    fn release(&self, address: IpAddr) {
        self.open_count.set(self.open_count.get() - 1);
        let mut by_address = self.by_address.borrow_mut();
        if let Some(count) = by_address.get_mut(&address) {
            *count -= 1;
            if *count == 0 {
                by_address.remove(&address);
            }
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let removed = self.table.connections.borrow_mut().remove(self.key);
        if let Some(connection) = removed.filter(|connection| connection.close.is_some()) {
            self.table.release(connection.address);
        }
    }
}
