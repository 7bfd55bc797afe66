//! Where the fleet's configuration and list of upstreams come from.

use derive_more::{Display as DeriveDisplay, Error};
use displaydoc::Display;
use futures_util::future::LocalBoxFuture;

use super::{FleetCatalog, UpstreamEntry};
use crate::prelude::*;

/// Point in the platform's history up to which a reader has followed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, DeriveDisplay)]
pub struct FeedVersion(pub u64);

/// Why news could not be read.
#[derive(Debug, Display, Error)]
pub enum SourceError {
    /// the history after the known version is gone
    HistoryLost,
    /// the platform refused with status {0}
    Refused(#[error(not(source))] u16),
    /// the platform did not answer within {0} ms
    Timeout(#[error(not(source))] u64),
    /// the platform cannot be reached: {0}
    Unreachable(crate::net::NetError),
    /// the answer was cut: {0}
    Truncated(crate::net::BodyError),
    /// the answer cannot be read: {0}
    Unreadable(serde_json::Error),
    /// there is no configuration yet
    Missing,
}

/// News of the configuration.
#[derive(Debug)]
pub struct CatalogUpdate {
    /// Where to go on from.
    pub version: FeedVersion,
    /// The newest configuration, if it changed; a text says why it cannot be read.
    pub catalog: Option<Result<FleetCatalog, String>>,
}

/// A change of the list of upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamChange {
    /// An upstream's entry as it is now.
    Listed(UpstreamEntry),
    /// The entry is gone.
    Removed(UpstreamId),
    /// The entry names no upstream.
    Unreadable {
        /// Key of the entry.
        id: UpstreamId,
        /// What is wrong with it.
        reason: String,
    },
}

/// News of the list of upstreams.
#[derive(Debug)]
pub struct UpstreamUpdate {
    /// Where to go on from.
    pub version: FeedVersion,
    /// Whether `changes` lists all upstreams that exist.
    pub is_snapshot: bool,
    /// The changes in order.
    pub changes: Vec<UpstreamChange>,
}

/// Reads configuration and list; implemented by the adapter of a platform.
pub trait FleetSource {
    /// Reads the configuration, or waits up to `wait_ms` for one newer than `after`.
    fn catalog(
        &self,
        after: Option<FeedVersion>,
        wait_ms: u64,
    ) -> LocalBoxFuture<'_, Result<CatalogUpdate, SourceError>>;

    /// Reads the whole list, or waits up to `wait_ms` for changes after `after`.
    fn upstreams(
        &self,
        after: Option<FeedVersion>,
        wait_ms: u64,
    ) -> LocalBoxFuture<'_, Result<UpstreamUpdate, SourceError>>;
}
