//! Permit for one trial at a time.

use std::cell::Cell;
use std::rc::Rc;

/// Allows one trial at a time in a process.
#[derive(Debug, Default)]
pub struct TrialPermit {
    is_taken: Cell<bool>,
}

impl TrialPermit {
    /// Takes the permit; `None` while another trial runs.
    #[must_use]
    pub fn take(permit: &Rc<Self>) -> Option<TrialGuard> {
        if permit.is_taken.replace(true) {
            return None;
        }
        Some(TrialGuard(Rc::clone(permit)))
    }
}

/// A trial in progress; dropping it returns the permit.
#[derive(Debug)]
pub struct TrialGuard(Rc<TrialPermit>);

impl Drop for TrialGuard {
    fn drop(&mut self) {
        self.0.is_taken.set(false);
    }
}
