//! Finds the account of a request, or refuses the request with 401.

use hyper::Response;
use hyper::body::{Body, Incoming};
use hyper::header::{EXPECT, HeaderMap};

use super::call_refusal::refusal_response;
use super::{CallHead, CallPlan, GatewayContext};
use crate::account::{CallerCredential, ClientAccount, KeyFault};
use crate::fleet::{FleetCatalog, RouteRule};
use crate::metrics::{AccountOutcome, RefusalLabels};
use crate::net::{BodyPace, HttpBody, discard_body};
use crate::prelude::*;

/// Longest time in milliseconds for which the body of a refused request is discarded.
const DISCARD_MS: u64 = 1_000;

impl GatewayContext {
    /// The account that a request belongs to. `None` if the configuration has no accounts, or if the
    /// route is exempt and the request has no known key. `rule` is the request's route.
    ///
    /// # Errors
    /// [`KeyFault`] if the request needs a key and has none that is known.
    pub(super) fn identify<'a>(
        &self,
        catalog: &'a FleetCatalog,
        rule: &RouteRule,
        head: &CallHead,
    ) -> Result<Option<&'a ClientAccount>, KeyFault> {
        let accounts = catalog.accounts();
        if accounts.is_empty() {
            return Ok(None);
        }
        let metrics = &self.metrics.accounts;
        let is_exempt = rule.is_key_exempt;
        let found = accounts.identify(head.credential);
        metrics.count_check(found.as_ref().err().copied(), is_exempt);
        match found {
            Ok(account) => {
                metrics.count_request(Some(&account.name), AccountOutcome::Arrived);
                Ok(Some(account))
            }
            Err(_) if is_exempt => Ok(None),
            Err(fault) => Err(fault),
        }
    }

    /// Refuses a request whose key was revoked since it arrived: while its body was read, or while it
    /// waited. One that may have run, also a stream that has begun, goes on. `None` if it may be sent.
    pub(super) fn refuse_revoked(
        &self,
        plan: &CallPlan,
        may_have_run: bool,
    ) -> Option<Response<HttpBody>> {
        let (Some(name), Some(key), false) = (&plan.account, plan.key, may_have_run) else {
            return None;
        };
        let catalog = self.catalog.borrow().clone()?;
        let accounts = catalog.accounts();
        if catalog.version == plan.catalog_version || accounts.is_empty() {
            return None;
        }
        let found = accounts.identify(CallerCredential::Digest(key));
        if found.is_ok_and(|account| account.name == *name) {
            return None;
        }
        Some(self.refuse_key(&catalog, &plan.request, &plan.route, KeyFault::Unknown))
    }

    /// Refuses a request with 401; `route` is the name of its route.
    pub(super) fn refuse_key(
        &self,
        catalog: &FleetCatalog,
        request: &str,
        route: &str,
        fault: KeyFault,
    ) -> Response<HttpBody> {
        let refusal = RequestRefusal::not_run(RefusalReason::WrongCredential);
        self.count_refusal(None, refusal);
        log::info!(
            request,
            route,
            config = catalog.version,
            age_ms = self.feeds.catalog.age_ms(self.now()),
            reason = fault.reason(),
            detail:% = fault;
            "refused"
        );
        let mut response = refusal_response(refusal, None);
        let codec = &self.ports.header_codec;
        codec.write_challenge(response.headers_mut());
        response
    }

    /// Counts a refusal by this process, also for the account of the request.
    pub(super) fn count_refusal(&self, account: Option<&AccountName>, refusal: RequestRefusal) {
        let labels = RefusalLabels::of(refusal);
        self.metrics.refused.get_or_create(&labels).inc();
        let accounts = &self.metrics.accounts;
        accounts.count_request(account, AccountOutcome::Refused);
    }
}

/// Discards the body of a refused request in the background, up to `limit` bytes. If the connection
/// closed at once while the caller still sends, the caller would see a reset instead of the refusal.
/// A caller that waits for a go-ahead sends no body, and must not be told to.
pub fn discard_refused(headers: &HeaderMap, incoming: Incoming, pace: BodyPace, limit: usize) {
    if !incoming.is_end_stream() && !headers.contains_key(EXPECT) {
        discard_body(incoming, pace, limit, DISCARD_MS);
    }
}
