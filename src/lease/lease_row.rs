//! Table row of a lease.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::table::TableEra;

/// The stored state of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The holding instance.
    pub holder: InstanceName,
    /// Where peers reach the holder.
    pub address: SocketAddr,
    /// Identifies one start of the holding process, formed from the start time and random bits; a
    /// restarted process counts as another holder.
    pub start_id: u64,
    /// Increases by one each time the lease is acquired; never decreases.
    pub epoch: u64,
    /// Increases with each renewal, so that each write changes the row.
    pub beat: u64,
    /// Era of the table in which the row was written. A row of an earlier era comes from a copy, and
    /// later rows may be lost.
    #[serde(default)]
    pub era: TableEra,
    /// Set when the holder releases the lease; another process may acquire it at once.
    #[serde(default)]
    pub is_released: bool,
}
