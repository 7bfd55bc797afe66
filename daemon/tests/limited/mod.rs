//! A daemon with the limits of a small instance. Trials of its limits run one at a time.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Memory in megabytes of the instance: a third of the smallest gateway's.
pub const MEMORY_MB: u64 = 40;

/// File descriptors of the instance: a third of the smallest gateway's.
pub const DESCRIPTORS: usize = 1_025;

/// A program that starts the daemon with the limits; dropping it removes the program.
pub struct LimitedDaemon {
    /// The program.
    pub path: PathBuf,
}

impl LimitedDaemon {
    /// Writes the program.
    pub fn open() -> Self {
        let name = format!("quetzalpind-limited-{:016x}", fastrand::u64(..));
        let path = std::env::temp_dir().join(name);
        let daemon = Path::new(env!("CARGO_BIN_EXE_quetzalpind")).display();
        let script = format!(
            "#!/bin/sh\nulimit -n {DESCRIPTORS}\nexport QUETZALPIN_MEMORY_MB={MEMORY_MB}\n\
             exec '{daemon}' \"$@\"\n"
        );
        std::fs::write(&path, script).expect("a written program");
        let permissions = std::fs::Permissions::from_mode(0o700);
        std::fs::set_permissions(&path, permissions).expect("a program");
        Self { path }
    }
}

impl Drop for LimitedDaemon {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

static TURN: Mutex<()> = Mutex::new(());

/// Lets one trial of a test binary run at a time.
pub fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}
