//! Wakes one waiting task.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};
use std::time::Duration;

/// Holds a notification until the only waiting task receives it.
#[derive(Debug, Default)]
pub struct WakeSignal {
    is_set: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl WakeSignal {
    /// Wakes the waiting task, or the next one to wait.
    pub fn notify(&self) {
        self.is_set.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Whether a notification waits to be received.
    #[must_use]
    pub const fn is_set(&self) -> bool {
        self.is_set.get()
    }

    /// Waits for a notification or for the given milliseconds.
    pub async fn wait(&self, limit_ms: u64) {
        let notified = poll_fn(|context| {
            if self.is_set.replace(false) {
                return Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        });
        let _ = compio::time::timeout(Duration::from_millis(limit_ms), notified).await;
    }
}
