//! Limits the number of concurrent adapter loads of one agent.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use futures_channel::oneshot;

/// Counts adapter loads in flight; further loads wait in FIFO order.
///
/// The weight store's limit is divided equally among the agents, with at least one load
/// each. With more agents than allowed loads, the sum can exceed the limit; this is rare,
/// because adapter loads are short.
#[derive(Debug, Default)]
pub struct AdapterLimiter {
    active: Cell<usize>,
    waiting: RefCell<VecDeque<oneshot::Sender<()>>>,
}

/// Right to run one adapter load; dropping it lets the next waiting load start.
#[derive(Debug)]
pub struct AdapterPermit<'a>(&'a AdapterLimiter);

impl AdapterLimiter {
    /// Waits until fewer than `limit` adapter loads are in flight. A limit of 0 counts as 1.
    pub async fn acquire(&self, limit: usize) -> AdapterPermit<'_> {
        while self.active.get() >= limit.max(1) {
            let (sender, receiver) = oneshot::channel();
            self.waiting.borrow_mut().push_back(sender);
            let _ = receiver.await;
        }
        self.active.set(self.active.get() + 1);
        AdapterPermit(self)
    }
}

impl Drop for AdapterPermit<'_> {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
        while let Some(next) = self.0.waiting.borrow_mut().pop_front() {
            if next.send(()).is_ok() {
                return;
            }
        }
    }
}
