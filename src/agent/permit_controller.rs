//! Acquires load permits from the issuer, or from this agent's fallback share while the
//! issuer is unreachable.

use std::rc::Rc;
use std::time::Duration;

use super::agent_context::AgentContext;
use super::lease_controller::PERMIT_LEASE;
use crate::membership::MemberRole;
use crate::permits::PermitKey;
use crate::prelude::*;
use crate::rpc::{ControlApiClient, PeerRpc, PermitRequest, PermitResponse};

/// Interval between grants while requests wait, in milliseconds.
const GRANT_INTERVAL_MS: u64 = 10;

/// Interval of the grant loop while no requests wait, in milliseconds.
const IDLE_POLL_MS: u64 = 1_000;

/// Maximum time that one call waits at the issuer, in milliseconds.
pub const ISSUER_TIMEOUT_MS: u64 = 20_000;

/// Interval between attempts to get a permit, in milliseconds.
const PERMIT_RETRY_MS: u64 = 50;

/// Rank order of loads that no request waits for; the lowest priority.
const BACKGROUND_RANK_ORDER: u32 = u32::MAX;

/// Time limit for acquiring a permit for a load that no request waits for, in milliseconds.
const BACKGROUND_TIMEOUT_MS: u64 = 60_000;

/// Right to load one replica from the weight store; dropping it returns the permit.
pub struct LoadPermit {
    context: Rc<AgentContext>,
    source: PermitSource,
}

enum PermitSource {
    Issuer(PeerRpc, u64),
    Fallback,
}

impl Drop for LoadPermit {
    fn drop(&mut self) {
        match &self.source {
            PermitSource::Fallback => self.context.permits.fallback.borrow_mut().release(),
            PermitSource::Issuer(rpc, permit) => {
                let rpc = rpc.clone();
                let permit = *permit;
                compio::runtime::spawn(async move {
                    let _ = rpc.release_permit(permit).await;
                })
                .detach();
            }
        }
    }
}

/// Runs the loop that grants permits while this process is the issuer; never returns.
pub async fn run_issuer(context: Rc<AgentContext>) {
    loop {
        let has_waiting = context.permits.grant(context.now());
        let pause_ms = if has_waiting {
            GRANT_INTERVAL_MS
        } else {
            IDLE_POLL_MS
        };
        context.permits.wake.wait(pause_ms).await;
    }
}

/// Waits for a permit to load a replica; `None` if the load is no longer wanted or its
/// deadline passed.
pub async fn acquire_permit(
    context: &Rc<AgentContext>,
    replica: &ReplicaName,
) -> Option<LoadPermit> {
    let until = context.now() + BACKGROUND_TIMEOUT_MS;
    loop {
        let (rank_order, deadline) = urgency(context, replica, until);
        let now = context.now();
        if now >= deadline || !context.residency.borrow().accepts(replica) {
            return None;
        }
        let remaining_ms = deadline.millis_since(now);
        let request = PermitRequest {
            rank_order,
            remaining_ms,
        };
        if let Some(permit) = ask_issuer(context, request).await {
            return Some(permit);
        }
        if let Some(permit) = try_fallback(context) {
            return Some(permit);
        }
        compio::time::sleep(Duration::from_millis(PERMIT_RETRY_MS)).await;
    }
}

/// Serves a peer's request for a permit.
pub async fn serve_permit_request(
    context: &AgentContext,
    request: PermitRequest,
) -> PermitResponse {
    let deadline = context.now() + request.remaining_ms;
    let Some(pending) = context.permits.request(request.rank_order, deadline) else {
        return PermitResponse::NotIssuer;
    };
    let limit_ms = request.remaining_ms.min(ISSUER_TIMEOUT_MS);
    let granted = compio::time::timeout(Duration::from_millis(limit_ms), pending.granted()).await;
    match granted {
        Ok(Some(permit)) => PermitResponse::Granted(permit.as_number()),
        Ok(None) => PermitResponse::NotIssuer,
        Err(_) => PermitResponse::TimedOut,
    }
}

/// Accepts a permit that a peer returns.
pub fn return_permit(context: &AgentContext, permit: u64) {
    context.permits.release(PermitKey::from_number(permit));
}

fn urgency(context: &AgentContext, replica: &ReplicaName, until: MonoTime) -> (u32, MonoTime) {
    let queue = context.queue.borrow();
    let waiting = queue
        .items()
        .filter(|item| item.replica.as_ref() == Some(replica));
    let most_urgent = waiting.map(|item| (item.rank.0, item.deadline)).min();
    most_urgent.map_or((BACKGROUND_RANK_ORDER, until), |(rank, deadline)| {
        (u32::try_from(rank).unwrap_or(u32::MAX), deadline)
    })
}

async fn ask_issuer(context: &Rc<AgentContext>, request: PermitRequest) -> Option<LoadPermit> {
    let issuer = context.leases.borrow().holder_address(PERMIT_LEASE)?;
    let limit_ms = request.remaining_ms.min(ISSUER_TIMEOUT_MS) + 1_000;
    let rpc = PeerRpc::open(Rc::clone(&context.node.peers), issuer, limit_ms);
    match rpc.acquire_permit(request).await {
        Ok(PermitResponse::Granted(permit)) => Some(LoadPermit {
            context: Rc::clone(context),
            source: PermitSource::Issuer(rpc, permit),
        }),
        Ok(PermitResponse::TimedOut) => None,
        Ok(PermitResponse::NotIssuer) => {
            context.lease_wake.notify();
            None
        }
        Err(error) => {
            context.lease_wake.notify();
            log::warn!(error:% = error; "permit issuer not reached");
            None
        }
    }
}

fn try_fallback(context: &Rc<AgentContext>) -> Option<LoadPermit> {
    let members = context.node.members.borrow();
    let agents = members.of_role(MemberRole::Agent).count() as u64;
    let is_taken = context.permits.fallback.borrow_mut().try_acquire(
        context.now(),
        context.permits.loads_per_ks(),
        agents,
    );
    is_taken.then(|| LoadPermit {
        context: Rc::clone(context),
        source: PermitSource::Fallback,
    })
}
