//! Errors at the start of a daemon.

use derive_more::{Error, From};
use displaydoc::Display;

use crate::membership::MembershipError;
use crate::net::NetError;
use crate::table::TableError;

/// A daemon could not start.
#[derive(Debug, Display, Error, From)]
pub enum DaemonError {
    /// network: {0}
    Net(NetError),
    /// table: {0}
    Table(TableError),
    /// list of instances: {0}
    Membership(MembershipError),
    /// a gateway needs the adapter of a platform
    NoAdapter,
    /// logging: {0}
    Logging(log::SetLoggerError),
    /// log thread: {0}
    #[from(ignore)]
    LogThread(std::io::Error),
}
