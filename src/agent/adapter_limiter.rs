//! Limits the adapter loads of one agent.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use futures_channel::oneshot;

/// Counts adapter loads under way; waiting ones go first come, first served.
///
/// Each agent takes an equal part of the store's limit, at least one load. Adapter loads
/// are short, so that the parts rarely overlap even where there are more agents than places.
#[derive(Debug, Default)]
pub struct AdapterLimiter {
    active: Cell<usize>,
    waiting: RefCell<VecDeque<oneshot::Sender<()>>>,
}

/// A place; dropping it lets the next load begin.
#[derive(Debug)]
pub struct AdapterPermit<'a>(&'a AdapterLimiter);

impl AdapterLimiter {
    /// Waits for a place among `places`.
    pub async fn enter(&self, places: usize) -> AdapterPermit<'_> {
        while self.active.get() >= places.max(1) {
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
