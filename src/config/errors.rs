//! Errors of the daemon's settings file.

use derive_more::{Display, Error};

use crate::settings::SettingsFault;

/// The settings file cannot be used.
#[derive(Debug, Display, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[display("cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// The file has faults; all of them are listed.
    #[display("{}", list_faults(_0))]
    Faulty(#[error(not(source))] Vec<SettingsFault>),
}

fn list_faults(faults: &[SettingsFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
