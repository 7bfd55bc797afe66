//! Pauses between reads of a feed while they fail.

use std::time::Duration;

use super::feed_read::FeedRead;
use crate::fleet::SourceError;

/// Long-poll timeout in milliseconds of a call for changes while a planner tells of changes that
/// this process misses.
const FEED_WAIT_MS: u64 = 10_000;

/// Long-poll timeout in milliseconds of a call for changes while nobody else would tell of one: a
/// call whose answer is lost looks like a call without changes.
const NO_PLANNER_WAIT_MS: u64 = 1_000;

/// First retry delay after a failure in milliseconds; doubles up to the maximum.
const FIRST_RETRY_MS: u64 = 150;

/// Longest retry delay in milliseconds while the platform answers.
const MAX_RETRY_MS: u64 = 800;

/// Longest retry delay in milliseconds while the platform is unreachable; these retries put no load
/// on it.
const MAX_UNREACHABLE_RETRY_MS: u64 = 250;

/// Kind of a platform outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageKind {
    /// The platform could not be reached.
    Unreachable,
    /// The platform refused calls or did not answer them.
    Refusing,
}

/// Retry backoff; logs the first failure and the end of an outage.
pub struct RetryBackoff {
    dependency: &'static str,
    pause_ms: u64,
    failures: u32,
    /// Kind of the latest failure that shows an outage; `None` if there was none since the latest
    /// success.
    outage: Option<OutageKind>,
}

impl RetryBackoff {
    /// Creates the backoff of a feed.
    pub const fn open(dependency: &'static str) -> Self {
        Self {
            dependency,
            pause_ms: FIRST_RETRY_MS,
            failures: 0,
            outage: None,
        }
    }

    /// Long-poll timeout of the next call in milliseconds. It is 0 after a failure, so that a platform
    /// that stops answering again is noticed early.
    pub const fn wait_ms(&self, has_planner: bool) -> u64 {
        match (self.failures, has_planner) {
            (0, true) => FEED_WAIT_MS,
            (0, false) => NO_PLANNER_WAIT_MS,
            _ => 0,
        }
    }

    /// Resets the backoff. Returns the outage that has ended, if there was one.
    pub fn succeeded(&mut self) -> Option<OutageKind> {
        if self.failures > 0 {
            log::info!(dependency = self.dependency, failures = self.failures; "dependency regained");
        }
        self.failures = 0;
        self.pause_ms = FIRST_RETRY_MS;
        self.outage.take()
    }

    /// Waits before the next call. `is_outage` says whether the failure shows an outage of the
    /// platform.
    pub async fn failed(&mut self, error: &SourceError, is_outage: bool, read: FeedRead) {
        if self.failures == 0 {
            log::warn!(dependency = self.dependency, error:% = error; "dependency lost");
        }
        self.failures += 1;
        if self.failures.is_power_of_two() {
            self.log_failure(error, read);
        }
        let (outage, longest_ms) = match error {
            SourceError::Unreachable(_) => {
                (Some(OutageKind::Unreachable), MAX_UNREACHABLE_RETRY_MS)
            }
            _ => (Some(OutageKind::Refusing), MAX_RETRY_MS),
        };
        if is_outage {
            self.outage = outage;
        }
        self.pause_ms = self.pause_ms.min(longest_ms);
        let pause_ms = self.pause_ms * 3 / 4 + fastrand::u64(..=self.pause_ms / 4);
        self.pause_ms = (self.pause_ms * 2).min(longest_ms);
        compio::time::sleep(Duration::from_millis(pause_ms)).await;
    }

    /// Tells apart a platform that does not answer, an answer that takes long, and a process that is
    /// late itself.
    fn log_failure(&self, error: &SourceError, read: FeedRead) {
        log::info!(
            dependency = self.dependency,
            failures = self.failures,
            error:% = error,
            call_ms = read.call_ms,
            late_ms = read.late_ms;
            "read failed"
        );
    }
}
