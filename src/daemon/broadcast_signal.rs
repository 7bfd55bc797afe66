//! Wakes all waiting tasks.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// Counts notifications; a task waits for one after the number that it last saw.
#[derive(Debug, Default)]
pub struct BroadcastSignal {
    generation: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl BroadcastSignal {
    /// Wakes all tasks that wait now.
    pub fn notify(&self) {
        self.generation.set(self.generation.get() + 1);
        for waker in self.wakers.borrow_mut().drain(..) {
            waker.wake();
        }
    }

    /// Number of the newest notification. A task reads it before it checks its condition, so that
    /// it misses none.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Waits for a notification after the given number.
    pub async fn wait_after(&self, generation: u64) {
        poll_fn(|context| {
            if self.generation.get() > generation {
                return Poll::Ready(());
            }
            self.wakers.borrow_mut().push(context.waker().clone());
            Poll::Pending
        })
        .await;
    }
}
