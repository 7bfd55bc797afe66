//! Where the fleet's configuration and list of upstreams come from.

use std::rc::Rc;

use derive_more::Error;
use displaydoc::Display;
use futures_util::future::LocalBoxFuture;

use super::{FleetCatalog, UpstreamEntry};
use crate::net::ReadProgress;
use crate::prelude::*;
use crate::table::TableEra;

/// Position in the platform's change history up to which a reader has read. A later era begins anew
/// with an older version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FeedVersion {
    /// Era of the table.
    pub era: TableEra,
    /// Version of the table in that era.
    pub version: u64,
}

impl FeedVersion {
    /// A position in a table that was never restored.
    #[must_use]
    pub const fn in_first_era(version: u64) -> Self {
        Self {
            era: TableEra(0),
            version,
        }
    }
}

/// Why the configuration or the list of upstreams could not be read.
#[derive(Debug, Display, Error)]
pub enum SourceError {
    /// the platform no longer has the changes since the known version
    HistoryLost,
    /// the platform was restored from an older copy
    Restored,
    /// the platform refused with status {0}
    Refused(#[error(not(source))] u16),
    /// the platform did not respond within {0} ms
    Timeout(#[error(not(source))] u64),
    /// the platform cannot be reached: {0}
    Unreachable(crate::net::NetError),
    /// the response was truncated: {0}
    Truncated(crate::net::BodyError),
    /// the response cannot be decoded: {0}
    Unreadable(serde_json::Error),
    /// there is no configuration yet
    Missing,
}

impl SourceError {
    /// Whether the reader has to read everything anew.
    #[must_use]
    pub const fn is_position_lost(&self) -> bool {
        matches!(self, Self::HistoryLost | Self::Restored)
    }

    /// Whether the call was given up because its time was over.
    #[must_use]
    pub const fn is_timeout(&self) -> bool {
        use crate::net::{BodyError, NetError};
        matches!(
            self,
            Self::Timeout(_)
                | Self::Unreachable(NetError::ConnectTimeout(_))
                | Self::Truncated(BodyError::TooSlow(_))
        )
    }
}

/// Size of an answer of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AnswerSize {
    /// Number of changes, or of entries in an answer with the whole state.
    pub changes: usize,
    /// Bytes of their values as the platform encodes them.
    pub bytes: usize,
}

/// Result of reading or watching the configuration.
#[derive(Debug)]
pub struct CatalogUpdate {
    /// Size of the answer that brought it.
    pub size: AnswerSize,
    /// Position from which to continue.
    pub version: FeedVersion,
    /// The newest configuration if it changed, or the reason why it cannot be decoded.
    pub catalog: Option<Result<FleetCatalog, String>>,
}

/// A change of the list of upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamChange {
    /// The current entry of an upstream.
    Listed(UpstreamEntry),
    /// The entry was removed.
    Removed(UpstreamId),
    /// The entry cannot be decoded.
    Unreadable {
        /// Key of the entry.
        id: UpstreamId,
        /// Why it cannot be decoded.
        reason: String,
    },
}

/// Result of reading or watching the list of upstreams.
#[derive(Debug)]
pub struct UpstreamUpdate {
    /// Position from which to continue.
    pub version: FeedVersion,
    /// Version of the newest change in `changes`; the same in every process that has read it.
    pub newest_change: FeedVersion,
    /// Whether `changes` is a snapshot of all upstreams.
    pub is_snapshot: bool,
    /// Changes in the order in which they happened.
    pub changes: Vec<UpstreamChange>,
}

/// Source of the configuration and the list of upstreams; implemented by a platform's adapter.
pub trait FleetSource {
    /// Reads the newest configuration, or waits up to `wait_ms` for versions after `after`. `progress`
    /// counts the bytes that arrive.
    fn catalog(
        &self,
        after: Option<FeedVersion>,
        wait_ms: u64,
        progress: Rc<ReadProgress>,
    ) -> LocalBoxFuture<'_, Result<CatalogUpdate, SourceError>>;

    /// Reads the whole list, or waits up to `wait_ms` for changes after `after`. `progress` counts the
    /// bytes that arrive.
    fn upstreams(
        &self,
        after: Option<FeedVersion>,
        wait_ms: u64,
        progress: Rc<ReadProgress>,
    ) -> LocalBoxFuture<'_, Result<UpstreamUpdate, SourceError>>;
}
