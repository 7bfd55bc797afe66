//! Signals of the platform.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;

/// Milliseconds between looks at the flags.
const LOOK_MS: u64 = 50;

/// Remembers signals in flags. The handlers stay for the whole life of the process: a signal
/// that comes while it shuts down does not end it.
#[derive(Debug)]
pub struct SignalWatch {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl SignalWatch {
    /// Installs the handlers.
    ///
    /// # Errors
    /// The system's error if a handler cannot be installed.
    pub fn open() -> std::io::Result<Self> {
        let watch = Self {
            stop: Arc::default(),
            reload: Arc::default(),
        };
        flag::register(SIGTERM, Arc::clone(&watch.stop))?;
        flag::register(SIGINT, Arc::clone(&watch.stop))?;
        flag::register(SIGHUP, Arc::clone(&watch.reload))?;
        Ok(watch)
    }

    /// Waits for the signal to stop; calls `reload` at each hang-up signal until then.
    pub async fn wait_for_stop(&self, reload: impl Fn()) {
        while !self.stop.load(Ordering::Relaxed) {
            if self.reload.swap(false, Ordering::Relaxed) {
                reload();
            }
            compio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        }
    }
}
