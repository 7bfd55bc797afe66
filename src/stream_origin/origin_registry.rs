//! The origins of streams that a process knows, and which of them the table lacks.

use std::collections::{BTreeMap, HashMap, VecDeque};

use super::origin_row::{ORIGIN_TTL_MS, shard};
use super::{StreamOrigin, origin_key, stream_id};
use crate::prelude::*;
use crate::quarantine::RequestFingerprint;
use crate::table::{TableError, TableTxn};

/// Origins kept at most; the oldest are dropped first.
const MAX_ORIGINS: usize = 16_384;

/// Rows that one transaction changes at most.
const MAX_BATCH_ROWS: usize = 90;

/// Expired rows that wait at most before they are deleted without a new row to write.
const MAX_EXPIRED_ROWS: usize = 32;

/// What is known of one stream.
#[derive(Debug, Clone)]
struct KnownOrigin {
    /// `None` if streams of several origins have the same id.
    origin: Option<StreamOrigin>,
    at: MonoTime,
}

/// Changes of rows of one shard.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OriginBatch {
    written: Vec<(RequestFingerprint, StreamOrigin)>,
    deleted: Vec<RequestFingerprint>,
}

impl OriginBatch {
    /// The transaction that makes the changes; `row` adds the time to an origin.
    ///
    /// # Errors
    /// [`TableError::Decode`] if a row cannot be encoded.
    pub fn txn<R: serde::Serialize>(
        &self,
        row: impl Fn(&StreamOrigin) -> R,
    ) -> Result<TableTxn, TableError> {
        let mut txn = TableTxn::default();
        for (stream, origin) in &self.written {
            txn = txn.write(&origin_key(*stream), &row(origin))?;
        }
        for stream in &self.deleted {
            txn = txn.delete(&origin_key(*stream));
        }
        Ok(txn)
    }

    fn row_count(&self) -> usize {
        self.written.len() + self.deleted.len()
    }

    /// Number of origins that the batch writes.
    #[must_use]
    pub const fn written_count(&self) -> usize {
        self.written.len()
    }
}

/// The origins of the streams that this process began or looked up.
#[derive(Debug, Default)]
pub struct OriginRegistry {
    known: HashMap<RequestFingerprint, KnownOrigin>,
    /// All of `known`, the oldest first.
    order: VecDeque<RequestFingerprint>,
    /// Streams of this process that the table may lack, or must lose because their origin is
    /// ambiguous; the oldest first.
    unsaved: VecDeque<RequestFingerprint>,
    /// Streams whose rows this process has to delete.
    expired: VecDeque<RequestFingerprint>,
}

impl OriginRegistry {
    /// Creates an empty registry.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Records a stream that this process has begun to deliver, under the id of the client's attempt.
    pub fn record_begun(&mut self, now: MonoTime, request: &str, origin: StreamOrigin) {
        let stream = stream_id(request);
        if let Some(known) = self.known.get_mut(&stream) {
            if known.origin.as_ref().is_some_and(|first| *first != origin) {
                known.origin = None;
                self.unsaved.push_back(stream);
            }
            return;
        }
        self.insert(now, stream, origin);
        self.unsaved.push_back(stream);
    }

    /// Records an origin that was read from the table.
    pub fn record_read(&mut self, now: MonoTime, request: &str, origin: StreamOrigin) {
        let stream = stream_id(request);
        if !self.known.contains_key(&stream) {
            self.insert(now, stream, origin);
        }
    }

    /// Whether this process knows the stream. `Some(None)` if its origin is ambiguous.
    #[must_use]
    pub fn find(&self, request: &str) -> Option<Option<&StreamOrigin>> {
        let known = self.known.get(&stream_id(request))?;
        Some(known.origin.as_ref())
    }

    /// Whether the table may lack a stream that this process began.
    #[must_use]
    pub fn has_unsaved(&self) -> bool {
        !self.unsaved.is_empty()
    }

    /// Records that the table was restored from an older copy, which may lack any stream.
    pub fn mark_all_unsaved(&mut self) {
        self.unsaved.clone_from(&self.order);
    }

    /// Forgets streams that are too old to be taken up.
    pub fn expire(&mut self, now: MonoTime) {
        self.expire_known(now);
        let is_known = |stream: &RequestFingerprint| self.known.contains_key(stream);
        while self.unsaved.front().is_some_and(|stream| !is_known(stream)) {
            self.unsaved.pop_front();
        }
    }

    fn expire_known(&mut self, now: MonoTime) {
        while let Some(stream) = self.order.front().copied() {
            let is_due = self
                .known
                .get(&stream)
                .is_none_or(|known| now.millis_since(known.at) >= ORIGIN_TTL_MS);
            if !is_due && self.known.len() <= MAX_ORIGINS {
                return;
            }
            self.order.pop_front();
            self.known.remove(&stream);
            self.expired.push_back(stream);
            if self.expired.len() > MAX_ORIGINS {
                self.expired.pop_front();
            }
        }
    }

    /// The next changes of the table, of one shard each. They are due once streams have begun, or
    /// many rows have expired.
    #[must_use]
    pub fn take_batches(&mut self) -> Vec<OriginBatch> {
        if self.unsaved.is_empty() && self.expired.len() < MAX_EXPIRED_ROWS {
            return Vec::new();
        }
        let mut batches = BTreeMap::new();
        self.add_unsaved(&mut batches);
        self.add_expired(&mut batches);
        batches.into_values().collect()
    }

    /// Writes the streams that the table may lack, and deletes those whose origin is ambiguous.
    fn add_unsaved(&mut self, batches: &mut BTreeMap<u64, OriginBatch>) {
        let count = self.unsaved.len().min(MAX_BATCH_ROWS);
        for stream in self.unsaved.drain(..count) {
            let Some(known) = self.known.get(&stream) else {
                continue;
            };
            let batch = batches.entry(shard(stream)).or_default();
            match &known.origin {
                Some(origin) => batch.written.push((stream, origin.clone())),
                None => batch.deleted.push(stream),
            }
        }
    }

    /// Deletes expired rows of the shards that are written anyway, or of all if none is.
    fn add_expired(&mut self, batches: &mut BTreeMap<u64, OriginBatch>) {
        let may_add_shards = batches.is_empty();
        for stream in std::mem::take(&mut self.expired) {
            let row_count = batches.get(&shard(stream)).map(OriginBatch::row_count);
            if row_count.map_or(may_add_shards, |count| count < MAX_BATCH_ROWS) {
                let batch = batches.entry(shard(stream)).or_default();
                batch.deleted.push(stream);
            } else {
                self.expired.push_back(stream);
            }
        }
    }

    /// Keeps the changes of a batch that may not have reached the table.
    pub fn put_back(&mut self, batch: OriginBatch) {
        for (stream, _) in batch.written.into_iter().rev() {
            self.unsaved.push_front(stream);
        }
        self.expired.extend(batch.deleted);
    }

    fn insert(&mut self, now: MonoTime, stream: RequestFingerprint, origin: StreamOrigin) {
        let known = KnownOrigin {
            origin: Some(origin),
            at: now,
        };
        self.known.insert(stream, known);
        self.order.push_back(stream);
    }
}
