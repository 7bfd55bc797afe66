//! Signals that stop the daemon or make it check its settings again.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;

/// Milliseconds between checks of the flags.
const POLL_INTERVAL_MS: u64 = 50;

/// Records signals in flags. The handlers stay installed until the process exits: a signal that
/// arrives during the shutdown does not end the process.
#[derive(Debug)]
pub struct SignalWatch {
    is_stop_requested: Arc<AtomicBool>,
    is_reload_requested: Arc<AtomicBool>,
}

impl SignalWatch {
    /// Installs the handlers.
    ///
    /// # Errors
    /// The system's error if a handler cannot be installed.
    pub fn open() -> std::io::Result<Self> {
        let watch = Self {
            is_stop_requested: Arc::default(),
            is_reload_requested: Arc::default(),
        };
        flag::register(SIGTERM, Arc::clone(&watch.is_stop_requested))?;
        flag::register(SIGINT, Arc::clone(&watch.is_stop_requested))?;
        flag::register(SIGHUP, Arc::clone(&watch.is_reload_requested))?;
        Ok(watch)
    }

    /// Waits for SIGTERM or SIGINT; calls `reload` after each SIGHUP until then.
    pub async fn wait_for_stop(&self, reload: impl Fn()) {
        while !self.is_stop_requested.load(Ordering::Relaxed) {
            if self.is_reload_requested.swap(false, Ordering::Relaxed) {
                reload();
            }
            compio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }
}
