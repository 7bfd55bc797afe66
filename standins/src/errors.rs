//! Errors of stand-ins and of fleets made of them.

use derive_more::{Error, From};
use displaydoc::Display;
use quetzalpin::config::ConfigError;
use quetzalpin::daemon::DaemonError;
use quetzalpin::net::NetError;

/// A stand-in, client or fleet failed.
#[derive(Debug, Display, Error, From)]
pub enum StandinError {
    /// {0}
    Net(NetError),
    /// {0}
    Daemon(DaemonError),
    /// {0}
    Config(ConfigError),
    /// {0}
    Io(std::io::Error),
    /// {0}
    Client(cyper::Error),
    /// the fleet was not ready within {0} ms
    #[from(ignore)]
    NotReady(#[error(not(source))] u64),
}
