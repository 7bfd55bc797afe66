//! One read of a feed: how it ended, and how long it took.

use futures_util::future::LocalBoxFuture;

use super::{GatewayContext, WatchedFeed};
use crate::fleet::SourceError;
use crate::metrics::FeedLabels;
use crate::prelude::*;

/// How one call ended.
#[derive(Debug)]
pub struct FeedAnswer<U> {
    /// Milliseconds for which the platform waits for a change.
    pub wait_ms: u64,
    /// What the platform answered.
    pub result: Result<U, SourceError>,
}

impl<'a, U: 'a> FeedAnswer<U> {
    /// Waits for the answer to a call.
    #[must_use]
    pub fn wait(
        wait_ms: u64,
        call: LocalBoxFuture<'a, Result<U, SourceError>>,
    ) -> LocalBoxFuture<'a, Self> {
        Box::pin(async move {
            let result = call.await;
            Self { wait_ms, result }
        })
    }

    /// Whether the call, which began at `began_at`, timed out while this process got too little
    /// processor time.
    #[must_use]
    pub fn is_own_delay(&self, context: &GatewayContext, began_at: MonoTime) -> bool {
        self.result.as_ref().is_err_and(SourceError::is_timeout)
            && context.delay.was_delayed(began_at, context.now())
    }
}

/// A read that is in progress.
#[derive(Debug, Clone, Copy)]
pub struct PendingRead {
    /// Lateness of all timers of this process, together, when the read began.
    late_before_ms: u64,
}

/// A read that has ended.
#[derive(Debug, Clone, Copy)]
pub struct FeedRead {
    /// When the call began that ended the read.
    pub began_at: MonoTime,
    /// Milliseconds that this call took.
    pub call_ms: u64,
    /// Milliseconds by which this process's own timers were late meanwhile.
    pub late_ms: u64,
}

impl PendingRead {
    /// Begins a read.
    #[must_use]
    pub fn begin(context: &GatewayContext) -> Self {
        Self {
            late_before_ms: context.delay.total_ms(context.now()),
        }
    }

    /// Ends the read by the call that began at `began_at`, and counts it.
    #[must_use]
    pub fn end(
        self,
        context: &GatewayContext,
        feed: &WatchedFeed,
        began_at: MonoTime,
        is_ok: bool,
    ) -> FeedRead {
        let now = context.now();
        let read = FeedRead {
            began_at,
            call_ms: now.millis_since(began_at),
            late_ms: context.delay.total_ms(now) - self.late_before_ms,
        };
        let labels = FeedLabels {
            feed: feed.name(),
            result: if is_ok { "ok" } else { "failed" },
        };
        #[allow(clippy::cast_precision_loss)]
        let seconds = read.call_ms as f64 / 1_000.0;
        let durations = context.metrics.feed_reads.get_or_create(&labels);
        durations.observe(seconds);
        read
    }
}

impl FeedRead {
    /// Milliseconds after the start of the call in which nothing changed, if the platform waited for up
    /// to `wait_ms` and answered with `changes`.
    #[must_use]
    pub fn quiet_ms(self, wait_ms: u64, changes: usize) -> u64 {
        let has_waited = changes == 0 && self.call_ms >= wait_ms;
        if has_waited { wait_ms } else { 0 }
    }
}
