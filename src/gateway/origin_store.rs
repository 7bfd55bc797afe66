//! Finds out which software version began a stream, and keeps that in the platform's table, so that
//! it outlives the process that knows it.

use std::rc::Rc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use futures_util::future::join_all;

use super::origin_check::CHECK_BATCH_MS;
use super::{CallPlan, GatewayContext, ResumePoint};
use crate::decision::unix_ms;
use crate::fleet::{RouteRule, SourceError, UpstreamChange};
use crate::prelude::*;
use crate::stream_origin::{
    OriginBatch, OriginRow, StreamOrigin, origin_key, shard_prefixes, stream_id,
};
use crate::table::{RowRevision, TableError, TableTxn};

/// Milliseconds for which origins of new streams are batched into one write.
const BATCH_MS: u64 = 60;

/// Milliseconds before a failed write is repeated for the first time; doubles up to the longest.
const FIRST_RETRY_MS: u64 = 100;

/// Longest time in milliseconds before a failed write is repeated.
const MAX_RETRY_MS: u64 = 1_000;

/// Milliseconds between two checks for expired origins while no stream begins.
const EXPIRY_CHECK_MS: u64 = 5_000;

/// Milliseconds after which a row that is missing is read once more: the process that began the
/// stream may be about to write it.
const REREAD_MS: u64 = CHECK_BATCH_MS + 5 * BATCH_MS;

/// `Retry-After` in milliseconds if the table does not tell the origin of a stream now.
const UNREADABLE_RETRY_MS: u64 = 1_000;

/// Milliseconds after a restore of the table within which other processes write again what it lacks.
const REWRITE_MS: u64 = 2_300;

/// Milliseconds between two searches for rows that ended processes left behind.
const SWEEP_MS: u64 = 300_000;

/// Milliseconds after its start before a process searches for the first time.
const FIRST_SWEEP_MS: u64 = 30_000;

/// Rows that one transaction deletes at most.
const MAX_SWEPT_ROWS: usize = 90;

/// Why a stream cannot go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OriginMissing {
    /// Milliseconds after which the client may try again; `None` if that is in vain.
    pub retry_ms: Option<u64>,
}

/// Why the origin of a stream could not be found out.
#[derive(Debug, Display, Error, From)]
enum OriginFailure {
    /// The table did not tell.
    #[display("{_0}")]
    Table(TableError),
    /// The list of upstreams could not be read.
    #[display("{_0}")]
    List(SourceError),
}

impl OriginFailure {
    const fn dependency(&self) -> &'static str {
        match self {
            Self::Table(_) => "table",
            Self::List(_) => "list of upstreams",
        }
    }
}

impl GatewayContext {
    /// Finds out where the stream began that a request takes up.
    ///
    /// # Errors
    /// [`OriginMissing`] if nobody knows, or not now.
    pub(super) async fn find_origin(
        &self,
        plan: &CallPlan,
        rule: &RouteRule,
        resume: &ResumePoint,
    ) -> Result<StreamOrigin, OriginMissing> {
        let found = match &resume.first_attempt {
            Some(first_attempt) => self
                .look_up_origin(first_attempt)
                .await
                .map_err(OriginFailure::from),
            None => self.derive_origin(rule).await.map_err(OriginFailure::from),
        };
        log::info!(
            request:% = plan.request,
            first_attempt = resume.first_attempt.as_deref(),
            after = resume.after,
            software = found.as_ref().ok().and_then(Option::as_ref).map(|origin| origin.software.as_str()),
            is_table_away = found.is_err(),
            left_ms = plan.ends_at.millis_since(self.now());
            "client takes a stream up again"
        );
        match found {
            Ok(Some(origin)) => Ok(origin),
            Ok(None) => Err(OriginMissing {
                retry_ms: self.is_being_rewritten().then_some(UNREADABLE_RETRY_MS),
            }),
            Err(error) => {
                log::warn!(dependency = error.dependency(), error:% = error; "origin of a stream not read");
                let retry_ms = Some(UNREADABLE_RETRY_MS);
                Err(OriginMissing { retry_ms })
            }
        }
    }

    /// Whether other processes may still write again what a restored table lacks.
    fn is_being_rewritten(&self) -> bool {
        let restored_at = self.restored_at.get();
        restored_at.is_some_and(|at| self.now().millis_since(at) < REWRITE_MS)
    }

    /// The only origin that a stream of a route can have, whichever attempt began it. `None` if there
    /// are several. The list is read for it: another process may know a version that this one has not
    /// heard of yet.
    async fn derive_origin(&self, rule: &RouteRule) -> Result<Option<StreamOrigin>, SourceError> {
        let [only] = rule.services.as_slice() else {
            return Ok(None);
        };
        let Some(changes) = self.read_list_changes().await? else {
            return Ok(None);
        };
        self.observe_software();
        let mut history = self.software_history.borrow_mut();
        for change in &changes {
            match change {
                UpstreamChange::Listed(entry) => history.observe_entry(self.now(), entry),
                // It was listed and removed since, perhaps with a version of its own.
                UpstreamChange::Removed(id) if self.roster.borrow().key_of(id).is_none() => {
                    return Ok(None);
                }
                UpstreamChange::Removed(_) | UpstreamChange::Unreadable { .. } => {}
            }
        }
        let software = history.only_version(&only.service).cloned();
        Ok(software.map(|software| StreamOrigin {
            service: only.service.clone(),
            software,
        }))
    }

    /// Records the software versions that are listed now.
    pub(super) fn observe_software(&self) {
        let mut history = self.software_history.borrow_mut();
        history.observe(self.now(), &self.roster.borrow());
    }

    async fn look_up_origin(&self, request: &str) -> Result<Option<StreamOrigin>, TableError> {
        let is_known = || self.origins.borrow().find(request).is_some();
        if !is_known() && !self.read_origin(request).await? {
            compio::time::sleep(Duration::from_millis(REREAD_MS)).await;
            if !is_known() {
                self.read_origin(request).await?;
            }
        }
        Ok(self.origins.borrow().find(request).flatten().cloned())
    }

    /// Reads the origin of a stream from the table, which may not know it.
    async fn read_origin(&self, request: &str) -> Result<bool, TableError> {
        let row = self
            .ports
            .table
            .read(origin_key(stream_id(request)))
            .await?;
        let row: Option<OriginRow> = row.decode()?;
        let Some(row) = row else {
            return Ok(false);
        };
        let mut origins = self.origins.borrow_mut();
        origins.record_read(self.now(), request, row.origin);
        Ok(true)
    }

    /// Records which software version began a stream that this process delivers.
    pub(super) fn record_origin(&self, plan: &CallPlan, software: &SoftwareVersion) {
        let origin = StreamOrigin {
            service: plan.service.clone(),
            software: software.clone(),
        };
        let mut origins = self.origins.borrow_mut();
        origins.record_begun(self.now(), &plan.request, origin);
        self.origin_wake.notify();
    }

    /// Writes the origins of new streams to the table. Returns whether the table took them.
    async fn save_origins(&self) -> bool {
        let batches = {
            let mut origins = self.origins.borrow_mut();
            origins.expire(self.now());
            origins.take_batches()
        };
        // Written together, so that a slow table does not make the last ones wait for all others.
        let saving = batches
            .into_iter()
            .map(|batch| self.save_or_put_back(batch));
        join_all(saving).await.into_iter().all(|is_saved| is_saved)
    }

    /// Writes a batch, and keeps it if the table does not take it. Returns whether the table took it.
    async fn save_or_put_back(&self, batch: OriginBatch) -> bool {
        let Err(error) = self.save_batch(&batch).await else {
            return true;
        };
        log::warn!(
            dependency = "table",
            error:% = error,
            streams = batch.written_count();
            "origins of streams not stored"
        );
        self.origins.borrow_mut().put_back(batch);
        false
    }

    async fn save_batch(&self, batch: &OriginBatch) -> Result<(), TableError> {
        let at_unix_ms = unix_ms();
        let txn = batch.txn(|origin| OriginRow {
            origin: origin.clone(),
            at_unix_ms,
        })?;
        self.ports.table.commit(txn).await?;
        Ok(())
    }

    /// Deletes rows that ended processes have left behind.
    async fn sweep_origins(&self) -> Result<(), TableError> {
        for prefix in shard_prefixes() {
            let rows = self.ports.table.scan(prefix, RowRevision::ABSENT).await?;
            let now_unix_ms = unix_ms();
            let is_left_behind = |row: &OriginRow| row.is_left_behind(now_unix_ms);
            let keys = rows.iter().filter(|row| {
                let decoded = row.decode().ok().flatten();
                decoded.as_ref().is_none_or(is_left_behind)
            });
            let mut txn = TableTxn::default();
            for row in keys.take(MAX_SWEPT_ROWS) {
                txn = txn.delete(&row.key);
            }
            let count = txn.writes.len();
            if count > 0 {
                self.ports.table.commit(txn).await?;
                log::info!(count; "origins of streams deleted that were left behind");
            }
        }
        Ok(())
    }
}

/// Keeps the origins of streams in the table.
pub async fn run_origin_store(context: Rc<GatewayContext>) {
    let mut retry_ms = FIRST_RETRY_MS;
    loop {
        context.origin_wake.wait(EXPIRY_CHECK_MS).await;
        compio::time::sleep(Duration::from_millis(BATCH_MS)).await;
        if context.save_origins().await {
            retry_ms = FIRST_RETRY_MS;
        } else {
            compio::time::sleep(Duration::from_millis(retry_ms)).await;
            retry_ms = (retry_ms * 2).min(MAX_RETRY_MS);
        }
        if context.origins.borrow().has_unsaved() {
            context.origin_wake.notify();
        }
    }
}

/// Deletes rows of ended processes while this process plans.
pub async fn run_origin_sweep(context: Rc<GatewayContext>) {
    compio::time::sleep(Duration::from_millis(FIRST_SWEEP_MS)).await;
    loop {
        if context.host.is_active()
            && let Err(error) = context.sweep_origins().await
        {
            log::warn!(dependency = "table", error:% = error; "origins of streams not swept");
        }
        compio::time::sleep(Duration::from_millis(SWEEP_MS)).await;
    }
}
