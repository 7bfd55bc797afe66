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
const ROSTER_PAUSE_MS: u64 = 1_500;

/// Milliseconds between two reads of the configuration.
const CATALOG_PAUSE_MS: u64 = 300;

/// Milliseconds before the first try after a failure; doubles up to the longest.
const FIRST_RETRY_MS: u64 = 150;

/// Longest pause between tries of a platform that answers.
const MAX_RETRY_MS: u64 = 800;

/// Longest pause between tries of a platform that cannot be reached; these cost it nothing.
const MAX_DIAL_RETRY_MS: u64 = 250;

/// Milliseconds between looks for upstreams that stayed missing.
const EXPIRE_MS: u64 = 100;

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
                if retry.succeeded() == Some(OutageKind::Refusing) {
                    // Entries that lapsed meanwhile are listed again soon. Where the platform was
                    // out of reach, the last try has just been noted.
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
        let dropped = context.roster.borrow_mut().expire(now);
        for id in &dropped {
            log::info!(upstream:% = id, reason = "stayed missing after an outage"; "upstream gone");
        }
        if !dropped.is_empty() {
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

/// What the platform did in an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OutageKind {
    /// It could not be reached.
    Unreachable,
    /// It refused calls or did not answer them.
    Refusing,
}

/// Pauses between tries, and a log line at the first failure and at the end of an outage.
struct RetryPause {
    what: &'static str,
    pause_ms: u64,
    failures: u32,
    /// What the newest failure was; set while there are failures.
    outage: Option<OutageKind>,
}

impl RetryPause {
    const fn open(what: &'static str) -> Self {
        Self {
            what,
            pause_ms: FIRST_RETRY_MS,
            failures: 0,
            outage: None,
        }
    }

    /// Milliseconds that the next call may wait for changes. After a failure it is answered at
    /// once, so that a platform that is silent again is noticed early.
    const fn wait_ms(&self) -> u64 {
        if self.failures == 0 { FEED_WAIT_MS } else { 0 }
    }

    /// Returns the outage that has ended, if there was one.
    fn succeeded(&mut self) -> Option<OutageKind> {
        if self.failures > 0 {
            log::info!(dependency = self.what, failures = self.failures; "dependency regained");
        }
        self.failures = 0;
        self.pause_ms = FIRST_RETRY_MS;
        self.outage.take()
    }

    async fn failed(&mut self, error: &SourceError) {
        if self.failures == 0 {
            log::warn!(dependency = self.what, error:% = error; "dependency lost");
        }
        self.failures += 1;
        let (outage, longest_ms) = match error {
            SourceError::Unreachable(_) => (Some(OutageKind::Unreachable), MAX_DIAL_RETRY_MS),
            // The platform answers; nothing lapsed.
            SourceError::HistoryLost => (self.outage, MAX_RETRY_MS),
            _ => (Some(OutageKind::Refusing), MAX_RETRY_MS),
        };
        self.outage = outage;
        self.pause_ms = self.pause_ms.min(longest_ms);
        let pause_ms = self.pause_ms * 3 / 4 + fastrand::u64(..=self.pause_ms / 4);
        self.pause_ms = (self.pause_ms * 2).min(longest_ms);
        sleep_ms(pause_ms).await;
    }
}
