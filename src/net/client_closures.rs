//! Counters and log lines for clients that are cut off.

use std::cell::Cell;
use std::rc::Rc;

use crate::metrics::{ClosureCounter, ClosureLabels};
use crate::prelude::*;

/// Shortest time in milliseconds between two log lines with the same reason.
const LOG_INTERVAL_MS: u64 = 5_000;

/// Why a client was cut off or refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClosureReason {
    /// Too many connections in total.
    Connections,
    /// Too many connections from one address.
    Address,
    /// A request head that took too long.
    Head,
    /// An answer of which nothing was read.
    Unread,
    /// A body that arrived too slowly.
    SlowBody,
    /// A body that gave way to another one for lack of memory.
    DroppedBody,
}

impl ClosureReason {
    const ALL: [Self; 6] = [
        Self::Connections,
        Self::Address,
        Self::Head,
        Self::Unread,
        Self::SlowBody,
        Self::DroppedBody,
    ];

    const fn name(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Address => "address",
            Self::Head => "head",
            Self::Unread => "unread",
            Self::SlowBody => "slow_body",
            Self::DroppedBody => "dropped_body",
        }
    }
}

/// Log lines that were left out since the last one, by reason.
#[derive(Debug, Clone, Copy, Default)]
struct ClosureLog {
    logged_at: Option<MonoTime>,
    unlogged: u64,
}

/// Counts and logs closures. Clones share their state.
#[derive(Debug, Clone, Default)]
pub struct ClientClosures {
    counter: ClosureCounter,
    logs: Rc<[Cell<ClosureLog>; ClosureReason::ALL.len()]>,
}

impl ClientClosures {
    /// Counts closures in a metric.
    #[must_use]
    pub fn open(counter: ClosureCounter) -> Self {
        Self {
            counter,
            logs: Rc::default(),
        }
    }

    /// Counts a closure, and logs it unless one with the same reason was logged shortly before.
    pub fn record(&self, now: MonoTime, reason: ClosureReason) {
        let labels = ClosureLabels {
            reason: reason.name(),
        };
        self.counter.get_or_create(&labels).inc();
        let position = ClosureReason::ALL.iter().position(|known| *known == reason);
        let cell = &self.logs[position.unwrap_or_default()];
        let log = cell.get();
        let is_due = log
            .logged_at
            .is_none_or(|at| now.millis_since(at) >= LOG_INTERVAL_MS);
        if !is_due {
            cell.set(ClosureLog {
                unlogged: log.unlogged + 1,
                ..log
            });
            return;
        }
        log::warn!(reason = reason.name(), more = log.unlogged; "client cut off");
        cell.set(ClosureLog {
            logged_at: Some(now),
            unlogged: 0,
        });
    }
}
