//! Gets load permits from the issuer, or falls back to the own share.

use std::rc::Rc;
use std::time::Duration;

use super::agent_context::AgentContext;
use super::lease_controller::PERMIT_LEASE;
use crate::membership::MemberRole;
use crate::permits::PermitKey;
use crate::prelude::*;
use crate::rpc::{ControlApiClient, PeerRpc, PermitRequest, PermitResponse};

/// Milliseconds between grants while wishes wait.
const GRANT_MS: u64 = 10;

/// Milliseconds between looks at an idle desk.
const IDLE_MS: u64 = 1_000;

/// Milliseconds that one call to the issuer waits at most.
pub const ISSUER_WAIT_MS: u64 = 20_000;

/// Milliseconds between tries of the fallback share.
const FALLBACK_POLL_MS: u64 = 50;

/// Rank order of loads that no request waits for.
const BACKGROUND_ORDER: u32 = u32::MAX;

/// Milliseconds for which a load without waiting requests asks for a permit.
const BACKGROUND_MS: u64 = 60_000;

/// A place on the weight store; dropping it gives it back.
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
            PermitSource::Fallback => self.context.permits.fallback.borrow_mut().give_back(),
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

/// Grants permits while this process is the issuer.
pub async fn run_issuer(context: Rc<AgentContext>) {
    loop {
        let has_waiting = context.permits.grant(context.now());
        let pause_ms = if has_waiting { GRANT_MS } else { IDLE_MS };
        context.permits.wake.wait(pause_ms).await;
    }
}

/// Waits for a permit to load a replica; `None` if it is no longer wanted.
pub async fn acquire_permit(
    context: &Rc<AgentContext>,
    replica: &ReplicaName,
) -> Option<LoadPermit> {
    let until = context.now() + BACKGROUND_MS;
    loop {
        let (rank_order, deadline) = urgency(context, replica, until);
        let now = context.now();
        if now >= deadline || !context.holder.borrow().accepts(replica) {
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
        compio::time::sleep(Duration::from_millis(FALLBACK_POLL_MS)).await;
    }
}

/// Serves a peer's wish.
pub async fn serve_wish(context: &AgentContext, request: PermitRequest) -> PermitResponse {
    let deadline = context.now() + request.remaining_ms;
    let Some(wish) = context.permits.request(request.rank_order, deadline) else {
        return PermitResponse::NotIssuer;
    };
    let limit_ms = request.remaining_ms.min(ISSUER_WAIT_MS);
    let granted = compio::time::timeout(Duration::from_millis(limit_ms), wish.granted()).await;
    match granted {
        Ok(Some(permit)) => PermitResponse::Granted(permit.as_number()),
        Ok(None) => PermitResponse::NotIssuer,
        Err(_) => PermitResponse::TimedOut,
    }
}

/// Takes a permit back from a peer.
pub fn take_back(context: &AgentContext, permit: u64) {
    context.permits.release(PermitKey::from_number(permit));
}

fn urgency(context: &AgentContext, replica: &ReplicaName, until: MonoTime) -> (u32, MonoTime) {
    let queue = context.queue.borrow();
    let waiting = queue
        .items()
        .filter(|item| item.replica.as_ref() == Some(replica));
    let most_urgent = waiting.map(|item| (item.rank.0, item.deadline)).min();
    most_urgent.map_or((BACKGROUND_ORDER, until), |(rank, deadline)| {
        (u32::try_from(rank).unwrap_or(u32::MAX), deadline)
    })
}

async fn ask_issuer(context: &Rc<AgentContext>, request: PermitRequest) -> Option<LoadPermit> {
    let issuer = context.leases.borrow().holder_address(PERMIT_LEASE)?;
    let limit_ms = request.remaining_ms.min(ISSUER_WAIT_MS) + 1_000;
    let rpc = PeerRpc::open(Rc::clone(&context.node.peers), issuer, limit_ms);
    match rpc.acquire_permit(request).await {
        Ok(PermitResponse::Granted(permit)) => Some(LoadPermit {
            context: Rc::clone(context),
            source: PermitSource::Issuer(rpc, permit),
        }),
        Ok(PermitResponse::TimedOut) => None,
        Ok(PermitResponse::NotIssuer) => {
            context.lease_hint.notify();
            None
        }
        Err(error) => {
            context.lease_hint.notify();
            log::warn!(error:% = error; "permit issuer not reached");
            None
        }
    }
}

fn try_fallback(context: &Rc<AgentContext>) -> Option<LoadPermit> {
    let members = context.node.members.borrow();
    let agents = members.of_role(MemberRole::Agent).count() as u64;
    let taken = context.permits.fallback.borrow_mut().try_take(
        context.now(),
        context.permits.loads_per_ks(),
        agents,
    );
    taken.then(|| LoadPermit {
        context: Rc::clone(context),
        source: PermitSource::Fallback,
    })
}
