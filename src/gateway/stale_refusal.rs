//! Refusals while the configuration may be out of date.
//!
//! A route or a key that is missing may have been added since the configuration was read. Such a refusal
//! is final, so that it is only made by a configuration that is known to be recent. Requests that the
//! configuration allows go on, since the platform may be out of reach for long.

use hyper::Response;

use super::GatewayContext;
use super::call_refusal::refusal_response;
use crate::fleet::FleetCatalog;
use crate::net::HttpBody;
use crate::prelude::*;

/// `Retry-After` in milliseconds; most reads of the configuration take less.
const REREAD_RETRY_MS: u64 = 500;

impl GatewayContext {
    /// Whether the configuration is recent enough to refuse a request by what is missing in it. If it
    /// is not, it is read at once.
    pub(super) fn may_refuse_finally(&self) -> bool {
        let now = self.now();
        let feed = &self.feeds.catalog;
        let is_current = feed.is_current(now);
        if !is_current {
            feed.read_again(now);
        }
        is_current
    }

    /// Refuses a request until the configuration has been read; `missing` names what it lacks.
    pub(super) fn refuse_for_now(
        &self,
        catalog: &FleetCatalog,
        missing: &'static str,
    ) -> Response<HttpBody> {
        let refusal = RequestRefusal::not_run(RefusalReason::StaleConfiguration);
        self.count_refusal(None, refusal);
        log::info!(
            config = catalog.version,
            age_ms = self.feeds.catalog.age_ms(self.now()),
            missing,
            reason:? = refusal.reason;
            "refused"
        );
        refusal_response(refusal, Some(REREAD_RETRY_MS))
    }
}
