//! The table row of a lease.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Who holds a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The holding instance.
    pub holder: InstanceName,
    /// Where peers reach the holder.
    pub address: SocketAddr,
    /// Drawn at the holding process's start; a restarted process is another holder.
    pub start_id: u64,
    /// Rises by one with each change of holder; never falls.
    pub epoch: u64,
    /// Rises with each renewal, so that each write changes the row.
    pub beat: u64,
    /// Set when the holder gives the lease up; another process may take it at once.
    #[serde(default)]
    pub is_released: bool,
}
