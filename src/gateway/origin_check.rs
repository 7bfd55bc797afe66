//! Confirms which start of an upstream began a stream, before the stream's origin is recorded. An
//! upstream without an engine may have started again, as another software version, since the list of
//! upstreams was read, and does not say so.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use super::upstream_loss::UpstreamStart;
use super::{CallPlan, GatewayContext};
use crate::daemon::WakeSignal;
use crate::prelude::*;

/// Milliseconds for which new streams are gathered for one read of the list.
pub const CHECK_BATCH_MS: u64 = 200;

/// Milliseconds before a failed read of the list is repeated.
const CHECK_RETRY_MS: u64 = 500;

/// Milliseconds between two looks for streams to check while none begins.
const IDLE_MS: u64 = 5_000;

/// A stream that is said to have begun at a start of an upstream.
pub struct OriginClaim {
    /// The request.
    pub plan: Rc<CallPlan>,
    /// Software version of the start.
    pub software: SoftwareVersion,
    /// The start that the list named when the request was sent.
    pub start: UpstreamStart,
}

/// Streams whose origin is to be confirmed.
#[derive(Default)]
pub struct OriginClaims {
    waiting: RefCell<Vec<OriginClaim>>,
    /// Notified when a stream waits.
    wake: WakeSignal,
}

impl OriginClaims {
    /// Adds a stream, whose first event has arrived.
    pub fn push(&self, claim: OriginClaim) {
        self.waiting.borrow_mut().push(claim);
        self.wake.notify();
    }
}

impl GatewayContext {
    /// Records the origins of streams that wait if the list, read now, still names the start of their
    /// upstream. Returns whether the list could be read.
    async fn check_origins(&self) -> bool {
        let claims = self.origin_claims.waiting.take();
        if claims.is_empty() {
            return true;
        }
        let Some(changes) = self.read_changes_to_confirm().await else {
            self.put_back(claims);
            return false;
        };
        for OriginClaim {
            plan,
            software,
            start,
        } in claims
        {
            if self.names_start(&changes, &start) {
                self.record_origin(&plan, &software);
            } else {
                log::info!(request:% = plan.request, upstream:% = start.id, software:% = software; "origin of a stream not recorded, its upstream started again");
            }
        }
        true
    }

    /// Keeps streams that can still be checked in time for a client that takes them up.
    fn put_back(&self, mut claims: Vec<OriginClaim>) {
        let now = self.now();
        claims.retain(|claim| now < claim.plan.ends_at);
        self.origin_claims.waiting.borrow_mut().append(&mut claims);
    }
}

/// Confirms origins of streams.
pub async fn run_origin_check(context: Rc<GatewayContext>) {
    loop {
        context.origin_claims.wake.wait(IDLE_MS).await;
        compio::time::sleep(Duration::from_millis(CHECK_BATCH_MS)).await;
        if !context.check_origins().await {
            compio::time::sleep(Duration::from_millis(CHECK_RETRY_MS)).await;
            context.origin_claims.wake.notify();
        }
    }
}
