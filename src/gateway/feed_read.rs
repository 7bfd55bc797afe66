//! How long the reads of a feed take.

use super::{GatewayContext, WatchedFeed};
use crate::metrics::FeedLabels;
use crate::prelude::*;

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
