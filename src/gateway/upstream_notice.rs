//! What upstreams say of their own state in responses.

use super::GatewayContext;
use crate::fleet::{UpstreamEntry, UpstreamKey};
use crate::prelude::*;
use crate::rate_limit::{RequestRate, TokenGrant, TokenRequest};
use crate::upstream_speed::DurationFigure;

/// What an upstream says of its own state in a response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UpstreamNotice {
    /// Number of requests that run or wait at the upstream.
    pub load: Option<u32>,
    /// How long its work takes at this moment; `None` if it does not say.
    pub duration: Option<DurationFigure>,
    /// Request rate that it accepts from all instances together; `None` without a limit.
    pub rate_limit: Option<RequestRate>,
    /// Whether it leaves and must get no new requests.
    pub is_leaving: bool,
    /// Milliseconds for which it wants no more requests from this instance; `None` without such a
    /// wish.
    pub pause_ms: Option<u64>,
}

impl GatewayContext {
    /// Records what an upstream says of its state in a response.
    ///
    /// `upstream` is its entry as it stood when the request was sent; the list may have dropped it
    /// since.
    pub fn record_notice(
        &self,
        now: MonoTime,
        key: UpstreamKey,
        upstream: &UpstreamEntry,
        notice: UpstreamNotice,
    ) {
        if notice.is_leaving {
            self.record_leaving(upstream);
        }
        if let Some(count) = notice.load {
            self.loads.borrow_mut().record_load(now, key, count);
            self.record_duration(now, key, upstream, notice.duration);
        }
        if let Some(pause_ms) = notice.pause_ms {
            self.pauses.borrow_mut().record(now, upstream, pause_ms);
            log::info!(upstream:% = upstream.id, pause_ms; "upstream wants no requests");
        }
        let mut limiter = self.rate_limiter.borrow_mut();
        let is_changed = limiter.record_answer(now, key, notice.rate_limit);
        drop(limiter);
        if is_changed {
            self.log_rate_limit(key, "answer");
            // The planner issues tokens from the first report on.
            self.waits.wanted.notify();
        }
    }

    /// Records how long the work of an upstream takes at this moment.
    fn record_duration(
        &self,
        now: MonoTime,
        key: UpstreamKey,
        upstream: &UpstreamEntry,
        figure: Option<DurationFigure>,
    ) {
        let mut speeds = self.speeds.borrow_mut();
        if !speeds.record_figure(now, key, &upstream.service, figure) {
            return;
        }
        self.metrics.odd_figures.inc();
        if let Some(count) = speeds.take_odd_figures(now) {
            log::warn!(upstream:% = upstream.id, figure:? = figure, count; "odd figure in the load of an upstream");
        }
    }

    fn record_leaving(&self, upstream: &UpstreamEntry) {
        let mut roster = self.roster.borrow_mut();
        let is_news = roster.mark_draining(&upstream.id, upstream.started_at_ms);
        drop(roster);
        if is_news {
            log::info!(upstream:% = upstream.id, source = "answer"; "upstream leaving");
            self.propagate_roster();
        }
    }

    /// The tokens that this process needs, for its next report.
    #[must_use]
    pub fn take_token_requests(&self) -> Vec<TokenRequest> {
        let needs = self.rate_limiter.borrow_mut().take_needs(self.now());
        let roster = self.roster.borrow();
        let requests = needs.into_iter().filter_map(|need| {
            let entry = roster.get(need.key)?;
            Some(TokenRequest {
                upstream: entry.id.clone(),
                started_at_ms: entry.started_at_ms,
                hearing: need.hearing,
                waiting: need.waiting,
                expected: need.expected,
                returned: need.returned,
            })
        });
        requests.collect()
    }

    /// Applies the planner's tokens, and its word on limits that others have heard of later.
    pub fn apply_token_grants(&self, entry_count: u32, grants: &[TokenGrant]) {
        let now = self.now();
        let mut changed = Vec::new();
        let mut limiter = self.rate_limiter.borrow_mut();
        limiter.record_planner_answer(now, entry_count);
        for grant in grants {
            let Some(key) = self.key_of_start(grant) else {
                continue;
            };
            if limiter.adopt(now, key, grant.hearing) {
                changed.push(key);
            }
            limiter.grant(now, key, grant.count, grant.queue);
        }
        drop(limiter);
        for key in changed {
            self.log_rate_limit(key, "planner");
        }
    }

    /// The upstream of a grant; `None` if it is not known or has started again.
    fn key_of_start(&self, grant: &TokenGrant) -> Option<UpstreamKey> {
        let roster = self.roster.borrow();
        let key = roster.key_of(&grant.upstream)?;
        let is_same_start = roster.get(key)?.started_at_ms == grant.started_at_ms;
        is_same_start.then_some(key)
    }

    fn log_rate_limit(&self, key: UpstreamKey, source: &str) {
        let roster = self.roster.borrow();
        let Some(entry) = roster.get(key) else { return };
        let limit = self.rate_limiter.borrow().limit(key);
        log::info!(
            upstream:% = entry.id,
            limit_per_s = limit.map(RequestRate::per_s),
            source;
            "rate limit of an upstream"
        );
    }
}
