//! A daemon that runs as a child process.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use crate::errors::StandinError;

/// Interval between checks whether a process has exited.
const EXIT_POLL_MS: u64 = 50;

/// Signal that is sent to a daemon with `kill`.
#[derive(Debug, Clone, Copy)]
enum ProcessSignal {
    Stop,
    Continue,
    Terminate,
    HangUp,
}

impl ProcessSignal {
    const fn flag(self) -> &'static str {
        match self {
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
            Self::Terminate => "-TERM",
            Self::HangUp => "-HUP",
        }
    }
}

/// Daemon that runs as a child process; dropping it kills the process.
#[derive(Debug)]
pub struct DaemonProcess {
    daemon: PathBuf,
    config: PathBuf,
    /// Path of the log file.
    pub(crate) log: PathBuf,
    /// Address at which the daemon listens.
    pub address: SocketAddr,
    child: Option<Child>,
}

impl DaemonProcess {
    /// Describes a process without starting it.
    #[must_use]
    pub fn open(daemon: &Path, config: PathBuf, log: PathBuf, address: SocketAddr) -> Self {
        Self {
            daemon: daemon.to_owned(),
            config,
            log,
            address,
            child: None,
        }
    }

    /// Starts the process and appends its output to the log file.
    ///
    /// # Errors
    /// [`StandinError::Io`] if it cannot be started.
    pub fn start(&mut self) -> Result<(), StandinError> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.daemon)
            .arg("--config")
            .arg(&self.config)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Starts the process if it is not running.
    ///
    /// # Errors
    /// [`StandinError::Io`] if it cannot be started.
    pub fn start_if_ended(&mut self) -> Result<(), StandinError> {
        let has_ended = self.try_wait().is_some();
        if has_ended || !self.is_running() {
            self.start()?;
        }
        Ok(())
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Suspends the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(ProcessSignal::Stop);
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) {
        self.signal(ProcessSignal::Continue);
    }

    /// Sends SIGTERM, on which the daemon shuts down gracefully.
    pub fn terminate(&self) {
        self.signal(ProcessSignal::Terminate);
    }

    /// Sends SIGHUP, which tells the daemon that its settings may have changed.
    pub fn hang_up(&self) {
        self.signal(ProcessSignal::HangUp);
    }

    /// Exit status, if the process has exited since the last call; `None` otherwise.
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok().flatten();
        if status.is_some() {
            self.child = None;
        }
        status
    }

    /// Waits for the process to exit; `None` after `limit_ms`.
    pub async fn wait(&mut self, limit_ms: u64) -> Option<ExitStatus> {
        let deadline = Instant::now() + Duration::from_millis(limit_ms);
        while Instant::now() < deadline {
            if let Some(status) = self.try_wait() {
                return Some(status);
            }
            compio::time::sleep(Duration::from_millis(EXIT_POLL_MS)).await;
        }
        None
    }

    /// Whether the process was started and has not been killed or seen to exit.
    #[must_use]
    pub const fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Process id; `None` if the process is not running.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Largest resident memory of the running process so far, in kilobytes; `None` if it is not
    /// running.
    #[must_use]
    pub fn peak_memory_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        line.split_whitespace().find_map(|word| word.parse().ok())
    }

    /// Path of the configuration file.
    #[must_use]
    pub fn config_path(&self) -> &Path {
        &self.config
    }

    /// Content of the log file; empty if it cannot be read.
    #[must_use]
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, signal: ProcessSignal) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let _ = Command::new("kill").args([signal.flag(), &id]).status();
        }
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
