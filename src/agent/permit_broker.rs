//! State of the permit issuer within an agent.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use futures_channel::oneshot;

use crate::daemon::WakeSignal;
use crate::permits::{FallbackShare, PermitIssuer, PermitKey, TicketKey};
use crate::settings::FleetLimits;
use crate::time::MonoTime;

#[derive(Debug)]
struct IssuerState {
    issuer: PermitIssuer,
    waiting: HashMap<TicketKey, oneshot::Sender<PermitKey>>,
}

/// Issues load permits while this process is the issuer, and holds this agent's fallback
/// share.
#[derive(Debug)]
pub struct PermitBroker {
    state: RefCell<Option<IssuerState>>,
    /// Allows loads while no issuer can be reached.
    pub fallback: RefCell<FallbackShare>,
    /// Loads per thousand seconds, and concurrent loads.
    limits: Cell<(u64, u32)>,
    /// Wakes the loop that grants permits.
    pub wake: WakeSignal,
}

/// A request that waits for a permit; dropping it cancels the request, and returns a permit
/// that was granted but not received.
pub struct PendingPermit<'a> {
    broker: &'a PermitBroker,
    ticket: TicketKey,
    receiver: oneshot::Receiver<PermitKey>,
}

impl PendingPermit<'_> {
    /// Waits for the permit; `None` if this process stops being the issuer.
    pub async fn granted(mut self) -> Option<PermitKey> {
        (&mut self.receiver).await.ok()
    }
}

impl Drop for PendingPermit<'_> {
    fn drop(&mut self) {
        self.broker.withdraw(self.ticket);
        self.receiver.close();
        if let Ok(Some(unused)) = self.receiver.try_recv() {
            self.broker.release(unused);
        }
    }
}

impl PermitBroker {
    /// Opens a broker that does not issue permits yet.
    #[must_use]
    pub fn open() -> Self {
        Self {
            state: RefCell::new(None),
            fallback: RefCell::new(FallbackShare::default()),
            limits: Cell::new((10_000, 4)),
            wake: WakeSignal::default(),
        }
    }

    /// Loads per thousand seconds that the store allows.
    #[must_use]
    pub const fn loads_per_ks(&self) -> u64 {
        self.limits.get().0
    }

    /// Applies the limits from the settings.
    pub fn set_limits(&self, limits: &FleetLimits) {
        self.limits.set((limits.loads_per_ks, limits.loads_at_once));
        if let Some(state) = self.state.borrow_mut().as_mut() {
            state
                .issuer
                .set_limits(limits.loads_per_ks, limits.loads_at_once);
        }
    }

    /// Starts or stops issuing. `is_issuer` says whether this process is the last known
    /// holder of the permit lease: an issuer that cannot renew its lease goes on until
    /// another holder is known.
    pub fn set_issuing(&self, now: MonoTime, is_issuer: bool) {
        let mut state = self.state.borrow_mut();
        if is_issuer && state.is_none() {
            let (loads_per_ks, loads_at_once) = self.limits.get();
            *state = Some(IssuerState {
                issuer: PermitIssuer::open(now, loads_per_ks, loads_at_once),
                waiting: HashMap::new(),
            });
        } else if !is_issuer {
            *state = None;
        }
    }

    /// Queues a request for a permit; `None` if this process is not the issuer.
    #[must_use]
    pub fn request(&self, rank_order: u32, deadline: MonoTime) -> Option<PendingPermit<'_>> {
        let mut state = self.state.borrow_mut();
        let state = state.as_mut()?;
        let ticket = state.issuer.request(rank_order, deadline);
        let (sender, receiver) = oneshot::channel();
        state.waiting.insert(ticket, sender);
        self.wake.notify();
        Some(PendingPermit {
            broker: self,
            ticket,
            receiver,
        })
    }

    /// Returns a permit to the issuer; ignored if this process is no longer the issuer.
    pub fn release(&self, permit: PermitKey) {
        if let Some(state) = self.state.borrow_mut().as_mut() {
            state.issuer.release(permit);
        }
        self.wake.notify();
    }

    /// Grants as many permits as the limits allow now. Returns whether requests still wait.
    pub fn grant(&self, now: MonoTime) -> bool {
        let mut state = self.state.borrow_mut();
        let Some(state) = state.as_mut() else {
            return false;
        };
        for (ticket, permit) in state.issuer.grant(now) {
            let sender = state.waiting.remove(&ticket);
            let is_taken = sender.is_some_and(|sender| sender.send(permit).is_ok());
            if !is_taken {
                state.issuer.release(permit);
            }
        }
        state.issuer.waiting_count() > 0
    }

    fn withdraw(&self, ticket: TicketKey) {
        if let Some(state) = self.state.borrow_mut().as_mut() {
            state.issuer.cancel(ticket);
            state.waiting.remove(&ticket);
        }
    }
}
