//! The daemon: `quetzalpind --config FILE`.

use std::path::Path;
use std::process::ExitCode;

use log::LevelFilter;
use quetzalpin::config::DaemonConfig;
use quetzalpin::daemon::{DaemonError, DaemonHandle, open_logging};
use quetzalpin_platform::open_ports;
use signal_watch::SignalWatch;

mod signal_watch;

mod flags {
    #![allow(missing_docs, clippy::all, clippy::pedantic)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Serves rarely used models: an entry for callers, or the agent beside an upstream.
        cmd quetzalpind {
            /// Settings file of this daemon.
            required -c, --config path: PathBuf
            /// Check the settings file and stop.
            optional --check
            /// Log level: error, warn, info or debug.
            optional --log level: String
        }
    }
}

/// Exit code for faulty settings.
const EXIT_SETTINGS: u8 = 2;

/// Exit code for a failed start.
const EXIT_START: u8 = 3;

fn main() -> ExitCode {
    let flags = flags::Quetzalpind::from_env_or_exit();
    let config = match read_config(&flags.config) {
        Ok(config) => config,
        Err(code) => return code,
    };
    if flags.check {
        println!("{}: valid", flags.config.display());
        return ExitCode::SUCCESS;
    }
    let level = flags.log.as_deref().unwrap_or("info").parse();
    let Ok(level) = level else {
        eprintln!("--log: expected error, warn, info or debug");
        return ExitCode::from(EXIT_SETTINGS);
    };
    match run(config, &flags.config, level) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_START)
        }
    }
}

fn read_config(path: &Path) -> Result<DaemonConfig, ExitCode> {
    DaemonConfig::open(path).map_err(|error| {
        eprintln!("{error}");
        ExitCode::from(EXIT_SETTINGS)
    })
}

fn run(config: DaemonConfig, path: &Path, level: LevelFilter) -> Result<(), DaemonError> {
    let running_config = config.clone();
    open_logging(level)?;
    let signals = SignalWatch::open().map_err(quetzalpin::net::NetError::Socket)?;
    let runtime = compio::runtime::Runtime::new().map_err(quetzalpin::net::NetError::Socket)?;
    runtime.block_on(async {
        let handle = DaemonHandle::spawn_with_ports(config, |node, buffers| {
            open_ports(node.table, node.timeout_ms, buffers)
        })
        .await?;
        log::info!(address:% = handle.address(); "listening");
        signals
            .wait_for_stop(|| check_reload(path, &running_config))
            .await;
        log::info!("stopping");
        let cut = handle.shutdown().await;
        log::info!(cut; "stopped");
        log::logger().flush();
        Ok(())
    })
}

/// Checks the settings file again and logs the result. Addresses and roles cannot change while a
/// process runs: a changed file takes effect at the next start.
fn check_reload(path: &Path, running: &DaemonConfig) {
    match DaemonConfig::open(path) {
        Ok(config) if config == *running => log::info!(changed = false; "settings read again"),
        Ok(_) => log::warn!(changed = true; "settings read again: in force at the next start"),
        Err(error) => log::error!(error:% = error; "settings rejected"),
    }
}
