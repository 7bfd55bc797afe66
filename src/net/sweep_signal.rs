//! Starts the sweeps of a connection table when there is something to watch.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// Set by connections whose progress has to be watched. No timer runs while it is not set.
#[derive(Debug, Default)]
pub struct SweepSignal {
    is_armed: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl SweepSignal {
    /// Creates a signal that is not set.
    pub fn open() -> Rc<Self> {
        Rc::default()
    }

    /// Asks for sweeps.
    pub fn arm(&self) {
        if !self.is_armed.replace(true)
            && let Some(waker) = self.waker.take()
        {
            waker.wake();
        }
    }

    /// Ends the sweeps until the next call of [`Self::arm`].
    pub fn disarm(&self) {
        self.is_armed.set(false);
    }

    /// Waits until sweeps are asked for.
    pub async fn armed(&self) {
        poll_fn(|context| {
            if self.is_armed.get() {
                return Poll::Ready(());
            }
            self.waker.replace(Some(context.waker().clone()));
            Poll::Pending
        })
        .await;
    }
}
