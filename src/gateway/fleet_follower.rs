//! Loops that watch the configuration and the upstream list.

use std::rc::Rc;
use std::time::Duration;

use super::feed_calls::first_answer;
use super::feed_read::{FeedAnswer, PendingRead};
use super::retry_backoff::{OutageKind, RetryBackoff};
use super::watched_feed::CompletedRead;
use super::{GatewayContext, WatchedFeed};
use crate::fleet::{FeedVersion, SourceError};

/// Milliseconds between two reads of the upstream list, so that one answer batches many changes. A
/// leaving upstream must be known within 3 s.
const ROSTER_PAUSE_MS: u64 = 1_500;

/// Number of versions in an answer while the configuration changes slower than it is read.
const USUAL_VERSIONS: usize = 1;

/// Number of changes of each entry of the list in an answer, heartbeats included, of a process that
/// reads without delay.
const USUAL_CHANGES_PER_ENTRY: usize = 2;

/// Milliseconds between two reads of the configuration.
const CATALOG_PAUSE_MS: u64 = 300;

/// Milliseconds between checks for calls that hang and upstreams that stayed missing.
pub const FEED_CHECK_MS: u64 = 100;

/// Watches the configuration.
pub async fn follow_catalog(context: Rc<GatewayContext>) {
    let mut after: Option<FeedVersion> = None;
    let mut retry = RetryBackoff::open("configuration");
    let feed = &context.feeds.catalog;
    loop {
        let call = || {
            let wait_ms = wait_ms(&context, feed, &retry);
            let start = feed.read_after(after);
            let progress = Rc::clone(&feed.progress);
            FeedAnswer::wait(
                wait_ms,
                context.ports.fleet.catalog(start, wait_ms, progress),
            )
        };
        let is_delay = |began_at, answer: &FeedAnswer<_>| answer.is_own_delay(&context, began_at);
        let pending = PendingRead::begin(&context);
        let (began_at, answer) = first_answer(feed, || context.now(), call, is_delay).await;
        let read = pending.end(&context, feed, began_at, answer.result.is_ok());
        match answer.result {
            Ok(update) => {
                retry.succeeded();
                after = Some(update.version);
                match update.catalog {
                    Some(Ok(catalog)) => {
                        let known = context.catalog.borrow().as_ref().map(|known| known.version);
                        if known.is_none_or(|known| catalog.version > known) {
                            context.apply_catalog(catalog, read, update.size);
                        }
                    }
                    Some(Err(reason)) => log::error!(reason:% = reason; "configuration rejected"),
                    None => {}
                }
                let completed = CompletedRead {
                    began_at,
                    quiet_ms: read.quiet_ms(answer.wait_ms, update.size.changes),
                    changes: update.size.changes,
                    usual_changes: USUAL_VERSIONS,
                };
                feed.record_read(completed);
                sleep_ms(CATALOG_PAUSE_MS).await;
            }
            Err(error) => {
                if error.is_position_lost() {
                    after = None;
                }
                feed.record_failure(context.now());
                retry.failed(&error, true, read).await;
            }
        }
    }
}

/// Watches the upstream list.
pub async fn follow_upstreams(context: Rc<GatewayContext>) {
    let mut after: Option<FeedVersion> = None;
    let mut retry = RetryBackoff::open("list of upstreams");
    let feed = &context.feeds.roster;
    loop {
        let call = || {
            context.doubt_list_after_delay();
            let wait_ms = wait_ms(&context, feed, &retry);
            let start = feed.read_after(after);
            let progress = Rc::clone(&feed.progress);
            FeedAnswer::wait(
                wait_ms,
                context.ports.fleet.upstreams(start, wait_ms, progress),
            )
        };
        let is_delay = |began_at, answer: &FeedAnswer<_>| answer.is_own_delay(&context, began_at);
        let pending = PendingRead::begin(&context);
        let (began_at, answer) = first_answer(feed, || context.now(), call, is_delay).await;
        let read = pending.end(&context, feed, began_at, answer.result.is_ok());
        match answer.result {
            Ok(update) => {
                if retry.succeeded() == Some(OutageKind::Refusing) {
                    // Entries that expired meanwhile are listed again soon. If the platform was
                    // unreachable, the last failed call has already recorded the outage.
                    context.roster.borrow_mut().note_outage(context.now());
                }
                after = Some(update.version);
                let changes = update.changes.len();
                let is_snapshot = update.is_snapshot;
                context.apply_upstreams(update);
                let completed = CompletedRead {
                    began_at,
                    quiet_ms: read.quiet_ms(answer.wait_ms, changes),
                    changes: if is_snapshot { 0 } else { changes },
                    usual_changes: context.roster.borrow().len() * USUAL_CHANGES_PER_ENTRY,
                };
                feed.record_read(completed);
                // A doubt that arose after this call began also ends the pause.
                if !feed.wants_read() {
                    feed.repeat.wait(ROSTER_PAUSE_MS).await;
                }
            }
            Err(error) => {
                if error.is_position_lost() {
                    after = None;
                }
                feed.record_failure(context.now());
                // A restored list lacks what was written since its copy, like one after an outage.
                let is_outage = !matches!(error, SourceError::HistoryLost)
                    && context.record_failed_list_read(began_at, &error);
                retry.failed(&error, is_outage, read).await;
            }
        }
    }
}

/// Removes upstreams that stayed missing after an outage, asks for another call for changes where one is
/// overdue, and notices that no planner issues tokens or allowance.
pub async fn watch_feeds(context: Rc<GatewayContext>) {
    loop {
        sleep_ms(FEED_CHECK_MS).await;
        let now = context.now();
        context.refetch_list_after_delay();
        context.record_lateness(now);
        context.delay.tick(now);
        context.check_era();
        context
            .feeds
            .repeat_overdue_calls(now, context.host.is_planner_responsive(now));
        context.crashes.expire(now);
        context.rate_limiter.borrow_mut().advance(now);
        context.check_allowance();
        context.expire_upstreams();
    }
}

/// Long-poll timeout of the next read of a feed.
fn wait_ms(context: &GatewayContext, feed: &WatchedFeed, retry: &RetryBackoff) -> u64 {
    let usual_ms = retry.wait_ms(has_planner(context, feed));
    feed.wait_ms(context.now(), usual_ms)
}

/// Whether another process would tell this one of a change of a feed that it misses.
fn has_planner(context: &GatewayContext, feed: &WatchedFeed) -> bool {
    let now = context.now();
    context.host.is_planner_responsive(now) && feed.is_planner_current(now)
}

async fn sleep_ms(millis: u64) {
    compio::time::sleep(Duration::from_millis(millis)).await;
}
