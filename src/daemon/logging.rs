//! JSON lines on standard output.

use log::LevelFilter;
use log4rs::append::console::ConsoleAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;

use super::DaemonError;

/// Starts logging at the given level.
///
/// # Errors
/// [`DaemonError::Logging`] if a logger is already in place.
///
/// # Panics
/// Never: the built-in configuration names only its own appender.
pub fn open_logging(level: LevelFilter) -> Result<(), DaemonError> {
    let appender = ConsoleAppender::builder()
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(appender)))
        .build(Root::builder().appender("stdout").build(level))
        .expect("the only appender is defined above");
    log4rs::init_config(config)?;
    Ok(())
}
