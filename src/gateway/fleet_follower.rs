//! Loops that follow configuration and list of upstreams.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, select};
use futures_util::pin_mut;

use super::GatewayContext;
use crate::daemon::WakeSignal;
use crate::fleet::{FeedVersion, SourceError};

/// Milliseconds that a call waits for changes.
const FEED_WAIT_MS: u64 = 10_000;

/// Milliseconds after which a call is made anew even without word; longer than any call takes.
const HINT_WAIT_MS: u64 = 60_000;

/// Milliseconds between two reads of the list; many changes come in one answer. A leaving
/// upstream must be known within 3 s.
const ROSTER_PAUSE_MS: u64 = 1_100;

/// Milliseconds between two reads of the configuration.
const CATALOG_PAUSE_MS: u64 = 300;

/// Milliseconds before the first try after a failure; doubles up to the longest.
const FIRST_RETRY_MS: u64 = 150;

/// Longest pause between tries.
const MAX_RETRY_MS: u64 = 800;

/// Milliseconds between looks for upstreams that stayed missing.
const EXPIRE_MS: u64 = 500;

/// Follows the configuration.
pub async fn follow_catalog(context: Rc<GatewayContext>) {
    let mut after: Option<FeedVersion> = None;
    let mut retry = RetryPause::open("configuration");
    loop {
        let reading = context.ports.fleet.catalog(after, retry.wait_ms());
        let Some(read) = until_hint(reading, &context.feeds.catalog).await else {
            continue;
        };
        match read {
            Ok(news) => {
                retry.succeeded();
                after = Some(news.version);
                match news.catalog {
                    Some(Ok(catalog)) => {
                        let known = context.catalog.borrow().as_ref().map(|known| known.version);
                        if known.is_none_or(|known| catalog.version > known) {
                            context.take_catalog(catalog);
                        }
                    }
                    Some(Err(reason)) => log::error!(reason:% = reason; "configuration not taken"),
                    None => {}
                }
                sleep_ms(CATALOG_PAUSE_MS).await;
            }
            Err(error) => {
                if matches!(error, SourceError::HistoryLost) {
                    after = None;
                }
                retry.failed(&error).await;
            }
        }
    }
}

/// Follows the list of upstreams.
pub async fn follow_upstreams(context: Rc<GatewayContext>) {
    let mut after: Option<FeedVersion> = None;
    let mut retry = RetryPause::open("list of upstreams");
    loop {
        let reading = context.ports.fleet.upstreams(after, retry.wait_ms());
        let Some(read) = until_hint(reading, &context.feeds.roster).await else {
            continue;
        };
        match read {
            Ok(news) => {
                if retry.succeeded() {
                    // Entries that lapsed meanwhile are listed again soon.
                    context.roster.borrow_mut().note_outage(context.now());
                }
                after = Some(news.version);
                context.take_upstreams(news);
                sleep_ms(ROSTER_PAUSE_MS).await;
            }
            Err(error) => {
                if matches!(error, SourceError::HistoryLost) {
                    after = None;
                } else {
                    context.roster.borrow_mut().note_outage(context.now());
                }
                retry.failed(&error).await;
            }
        }
    }
}

/// Drops upstreams that stayed missing after an outage.
pub async fn expire_upstreams(context: Rc<GatewayContext>) {
    loop {
        sleep_ms(EXPIRE_MS).await;
        let now = context.now();
        let is_changed = context.roster.borrow_mut().expire(now);
        if is_changed {
            log::info!("upstreams that stayed missing were dropped");
            context.share_roster();
        }
    }
}

/// Waits for a call, or drops it when there is word that it should be made anew.
async fn until_hint<T>(reading: impl Future<Output = T>, hint: &WakeSignal) -> Option<T> {
    let hinted = hint.wait(HINT_WAIT_MS);
    pin_mut!(reading, hinted);
    match select(reading, hinted).await {
        Either::Left((read, _)) => Some(read),
        Either::Right(((), _)) => None,
    }
}

async fn sleep_ms(millis: u64) {
    compio::time::sleep(Duration::from_millis(millis)).await;
}

/// Pauses between tries, and a log line at the first failure and at the end of an outage.
struct RetryPause {
    what: &'static str,
    pause_ms: u64,
    failures: u32,
}

impl RetryPause {
    const fn open(what: &'static str) -> Self {
        Self {
            what,
            pause_ms: FIRST_RETRY_MS,
            failures: 0,
        }
    }

    /// Milliseconds that the next call may wait for changes. After a failure it is answered at
    /// once, so that a platform that is silent again is noticed early.
    const fn wait_ms(&self) -> u64 {
        if self.failures == 0 { FEED_WAIT_MS } else { 0 }
    }

    /// Returns whether an outage has ended.
    fn succeeded(&mut self) -> bool {
        let was_down = self.failures > 0;
        if was_down {
            log::info!(dependency = self.what, failures = self.failures; "dependency regained");
        }
        self.failures = 0;
        self.pause_ms = FIRST_RETRY_MS;
        was_down
    }

    async fn failed(&mut self, error: &SourceError) {
        if self.failures == 0 {
            log::warn!(dependency = self.what, error:% = error; "dependency lost");
        }
        self.failures += 1;
        let pause_ms = self.pause_ms * 3 / 4 + fastrand::u64(..=self.pause_ms / 4);
        self.pause_ms = (self.pause_ms * 2).min(MAX_RETRY_MS);
        sleep_ms(pause_ms).await;
    }
}
