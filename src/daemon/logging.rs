//! Logging as JSON lines on standard output.

use std::panic::PanicHookInfo;

use log::LevelFilter;
use log4rs::config::{Appender, Config, Root};

use super::DaemonError;
use super::line_writer::LineWriter;

/// Starts logging at the given level.
///
/// # Errors
/// [`DaemonError::Logging`] if a logger is already in place, [`DaemonError::LogThread`] if no
/// thread can be started.
///
/// # Panics
/// Never: the built-in configuration names only its own appender.
pub fn open_logging(level: LevelFilter) -> Result<(), DaemonError> {
    let appender = LineWriter::spawn(std::io::stdout()).map_err(DaemonError::LogThread)?;
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(appender)))
        .build(Root::builder().appender("stdout").build(level))
        .expect("the only appender is defined above");
    log4rs::init_config(config)?;
    std::panic::set_hook(Box::new(log_panic));
    Ok(())
}

/// Logs a panic. The runtime catches it, so that only the task that panicked ends.
fn log_panic(info: &PanicHookInfo<'_>) {
    let place = info.location().map(ToString::to_string).unwrap_or_default();
    let reason = info.payload_as_str().unwrap_or("no text");
    log::error!(place, reason; "task panicked");
}
