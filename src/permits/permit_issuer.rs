//! Issues load permits for a weight store; each store has a single issuer.

use slotmap::{Key, KeyData, SlotMap};

use crate::time::MonoTime;

slotmap::new_key_type! {
    /// Key of a waiting permit request.
    pub struct TicketKey;
    /// Key of a granted permit.
    pub struct PermitKey;
}

impl PermitKey {
    /// The key as a number for RPC messages.
    #[must_use]
    pub fn as_number(self) -> u64 {
        self.data().as_ffi()
    }

    /// Converts a number from [`Self::as_number`] back into the key.
    #[must_use]
    pub fn from_number(number: u64) -> Self {
        KeyData::from_ffi(number).into()
    }
}

/// Milliseconds after which a permit that was not released expires.
const PERMIT_TTL_MS: u64 = 120_000;

/// Capacity of the token bucket in thousandths of a load.
const BURST_MILLI: u64 = 1_000;

#[derive(Debug, Clone, Copy)]
struct WaitingTicket {
    rank_order: u32,
    deadline: MonoTime,
    sequence: u64,
}

/// Grants permits by rank and deadline, within a token bucket rate limit and a concurrency
/// limit.
#[derive(Debug)]
pub struct PermitIssuer {
    loads_per_ks: u64,
    loads_at_once: usize,
    /// Tokens in the bucket, in millionths of a load so that refills are exact.
    bucket_micro: u64,
    filled_at: MonoTime,
    waiting: SlotMap<TicketKey, WaitingTicket>,
    in_use: SlotMap<PermitKey, MonoTime>,
    next_sequence: u64,
}

impl PermitIssuer {
    /// Creates an issuer for a store that allows `loads_per_ks` loads in a thousand seconds,
    /// `loads_at_once` of them at once.
    #[must_use]
    pub fn open(now: MonoTime, loads_per_ks: u64, loads_at_once: u32) -> Self {
        Self {
            loads_per_ks,
            loads_at_once: loads_at_once as usize,
            bucket_micro: BURST_MILLI * 1_000,
            filled_at: now,
            waiting: SlotMap::with_key(),
            in_use: SlotMap::with_key(),
            next_sequence: 0,
        }
    }

    /// Applies changed limits.
    pub fn set_limits(&mut self, loads_per_ks: u64, loads_at_once: u32) {
        self.loads_per_ks = loads_per_ks;
        self.loads_at_once = loads_at_once as usize;
    }

    /// Enqueues a permit request; lower `rank_order` goes first, then the earlier deadline.
    pub fn request(&mut self, rank_order: u32, deadline: MonoTime) -> TicketKey {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.waiting.insert(WaitingTicket {
            rank_order,
            deadline,
            sequence,
        })
    }

    /// Cancels a waiting request.
    pub fn cancel(&mut self, ticket: TicketKey) {
        self.waiting.remove(ticket);
    }

    /// Releases a permit.
    pub fn release(&mut self, permit: PermitKey) {
        self.in_use.remove(permit);
    }

    /// Grants as many waiting requests as the limits allow now.
    pub fn grant(&mut self, now: MonoTime) -> Vec<(TicketKey, PermitKey)> {
        self.refill(now);
        self.in_use
            .retain(|_, granted_at| now.millis_since(*granted_at) < PERMIT_TTL_MS);
        let mut granted = Vec::new();
        while self.in_use.len() < self.loads_at_once && self.bucket_micro >= 1_000_000 {
            let Some(ticket) = self.first_waiting() else {
                break;
            };
            self.waiting.remove(ticket);
            self.bucket_micro -= 1_000_000;
            granted.push((ticket, self.in_use.insert(now)));
        }
        granted
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Number of permits in use.
    #[must_use]
    pub fn in_use_count(&self) -> usize {
        self.in_use.len()
    }

    fn first_waiting(&self) -> Option<TicketKey> {
        let waiting = self.waiting.iter();
        waiting
            .min_by_key(|(_, t)| (t.rank_order, t.deadline, t.sequence))
            .map(|(key, _)| key)
    }

    fn refill(&mut self, now: MonoTime) {
        let elapsed_ms = now.millis_since(self.filled_at);
        let earned_micro = elapsed_ms.saturating_mul(self.loads_per_ks);
        self.bucket_micro = (self.bucket_micro + earned_micro).min(BURST_MILLI * 1_000);
        self.filled_at = now;
    }
}
