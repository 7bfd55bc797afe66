//! Memory that a process may spend on the messages it holds.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

use derive_more::Error;
use displaydoc::Display;

use super::body_pace::BodyProgress;
use super::{BodyPace, ClientClosures, ClosureReason};
use crate::time::MonoClock;

/// Largest message in bytes that counts as small. Usual requests, reports and rows are smaller.
pub const SMALL_MESSAGE_BYTES: usize = 32 * 1024;

/// Memory in bytes of a request in flight besides its body and its caller's connection: the connection to
/// its upstream, and what relays the answer.
const EXCHANGE_BYTES: usize = 48 * 1024;

/// How often a request in flight holds its head: as it was received, and as it is sent.
const HEAD_COPIES: usize = 2;

/// What a message is held for. It decides who is refused first when memory is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BufferPurpose {
    /// Responses of the platform, and responses to calls between the system's own processes.
    Control,
    /// Calls that arrive at the control interface, which anyone may open.
    PeerCall,
    /// Reports of engines.
    Report,
    /// Requests of callers.
    Call,
    /// Answers of upstreams to requests that ran.
    Answer,
}

impl BufferPurpose {
    /// Whether a large message of this purpose may have to give way while it is read.
    pub(super) const fn may_give_way(self) -> bool {
        matches!(self, Self::Call | Self::PeerCall)
    }

    /// Percentage of the budget that may be in use once a message of this purpose has grown.
    const fn ceiling_percent(self, is_small: bool) -> usize {
        match (self, is_small) {
            (Self::Control | Self::PeerCall, _) => 100,
            (Self::Report | Self::Call, true) | (Self::Answer, _) => 75,
            (Self::Call, false) => 50,
            (Self::Report, false) => 25,
        }
    }
}

/// no memory left for a message of {bytes} bytes: {used_bytes} of {limit_bytes} bytes are in use
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub struct BufferShortage {
    /// Size that the message would have.
    pub bytes: usize,
    /// Bytes in use by all messages.
    pub used_bytes: usize,
    /// Bytes that all messages may use.
    pub limit_bytes: usize,
}

/// Bytes that all messages of a process may use together.
#[derive(Debug)]
pub struct BufferBudget {
    limit_bytes: usize,
    /// Sum over all leases.
    used_bytes: Cell<usize>,
    pace: BodyPace,
    clock: MonoClock,
    /// Large bodies of callers that are being read, and some that have ended since the last look.
    readers: RefCell<Vec<Weak<BodyProgress>>>,
    closures: RefCell<ClientClosures>,
}

impl BufferBudget {
    /// Creates a budget of which nothing is in use.
    #[must_use]
    pub fn open(limit_bytes: usize) -> Rc<Self> {
        Self::open_with_pace(limit_bytes, BodyPace::default())
    }

    /// Creates a budget whose bodies of callers must keep a pace.
    #[must_use]
    pub fn open_with_pace(limit_bytes: usize, pace: BodyPace) -> Rc<Self> {
        Rc::new(Self {
            limit_bytes,
            used_bytes: Cell::new(0),
            pace,
            clock: MonoClock::open(),
            readers: RefCell::default(),
            closures: RefCell::default(),
        })
    }

    /// Counts the bodies that are cut off.
    pub fn count_closures(&self, closures: ClientClosures) {
        self.closures.replace(closures);
    }

    /// Pace that bodies of callers must keep.
    #[must_use]
    pub const fn pace(&self) -> BodyPace {
        self.pace
    }

    /// Counts a body that was cut off.
    pub(super) fn record_closure(&self, reason: ClosureReason) {
        self.closures.borrow().record(self.clock.now(), reason);
    }

    /// A lease for a message of which nothing is held yet.
    #[must_use]
    pub fn lease(self: &Rc<Self>, purpose: BufferPurpose) -> BufferLease {
        BufferLease {
            budget: Rc::clone(self),
            purpose,
            bytes: 0,
            reader: None,
        }
    }

    /// Makes room for `more` bytes below a ceiling: bodies that bring too little for what they hold
    /// give way, the worst first.
    fn make_room(&self, more: usize, ceiling: usize) {
        let now = self.clock.now();
        let mut readers = self.readers.borrow_mut();
        readers.retain(|reader| reader.strong_count() > 0);
        while self.used_bytes.get().saturating_add(more) > ceiling {
            let live = readers.iter().filter_map(Weak::upgrade);
            let burdens = live.filter_map(|reader| Some((reader.burden(now)?, reader)));
            let Some((_, worst)) = burdens.max_by_key(|(burden, _)| *burden) else {
                return;
            };
            let freed = worst.give_way();
            self.used_bytes.set(self.used_bytes.get() - freed);
            self.closures
                .borrow()
                .record(now, ClosureReason::DroppedBody);
        }
    }

    /// Bytes in use.
    #[must_use]
    pub const fn used_bytes(&self) -> usize {
        self.used_bytes.get()
    }

    /// Bytes that all messages may use.
    #[must_use]
    pub const fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }
}

/// One message's part of a [`BufferBudget`]; dropping it returns the part.
#[derive(Debug)]
pub struct BufferLease {
    budget: Rc<BufferBudget>,
    purpose: BufferPurpose,
    /// Bytes taken from the budget; zero while `reader` counts them.
    bytes: usize,
    /// Set while the message is read and is large.
    reader: Option<Rc<BodyProgress>>,
}

impl BufferLease {
    /// Takes what the message needs to have `bytes` bytes in all.
    ///
    /// # Errors
    /// [`BufferShortage`] if that leaves too little to others; the lease keeps what it has.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), BufferShortage> {
        let more = bytes.saturating_sub(self.held_bytes());
        self.take(more, bytes <= SMALL_MESSAGE_BYTES)
    }

    /// Takes what a request needs beside its body while it is in flight at an upstream.
    ///
    /// # Errors
    /// As [`Self::grow_to`].
    pub fn begin_exchange(&mut self, head_bytes: usize) -> Result<(), BufferShortage> {
        self.take(EXCHANGE_BYTES + HEAD_COPIES * head_bytes, true)
    }

    fn take(&mut self, more: usize, is_small: bool) -> Result<(), BufferShortage> {
        let budget = &self.budget;
        let percent = self.purpose.ceiling_percent(is_small);
        let ceiling = budget.limit_bytes / 100 * percent;
        if more > 0 && budget.used_bytes.get().saturating_add(more) > ceiling {
            budget.make_room(more, ceiling);
        }
        let used_bytes = budget.used_bytes.get();
        if more > 0 && used_bytes.saturating_add(more) > ceiling {
            return Err(BufferShortage {
                bytes: self.held_bytes() + more,
                used_bytes,
                limit_bytes: budget.limit_bytes,
            });
        }
        budget.used_bytes.set(used_bytes + more);
        match &self.reader {
            Some(reader) => reader.held_bytes.set(reader.held_bytes.get() + more),
            None => self.bytes += more,
        }
        Ok(())
    }

    /// Begins to watch the progress of a large body, which may have to give way until it is whole.
    pub(super) fn begin_reading(&mut self) -> Rc<BodyProgress> {
        let budget = &self.budget;
        let reader = Rc::new(BodyProgress::open(budget.clock.now()));
        reader.held_bytes.set(std::mem::take(&mut self.bytes));
        budget.readers.borrow_mut().push(Rc::downgrade(&reader));
        self.reader = Some(Rc::clone(&reader));
        reader
    }

    /// Records that the body which is being read has `bytes` bytes now.
    pub(super) fn record_progress(&self, bytes: usize) {
        if let Some(reader) = &self.reader {
            reader.record(self.budget.clock.now(), bytes);
        }
    }

    /// Ends what [`Self::begin_reading`] began: a whole body does not give way.
    pub(super) fn end_reading(&mut self) {
        if let Some(reader) = self.reader.take() {
            self.bytes = reader.held_bytes.get();
        }
    }

    /// The budget that the lease is a part of.
    pub(super) const fn budget(&self) -> &Rc<BufferBudget> {
        &self.budget
    }

    /// What the message is held for.
    pub(super) const fn purpose(&self) -> BufferPurpose {
        self.purpose
    }

    /// Bytes taken from the budget for this message.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        match &self.reader {
            Some(reader) => self.bytes + reader.held_bytes.get(),
            None => self.bytes,
        }
    }
}

impl Drop for BufferLease {
    fn drop(&mut self) {
        let used_bytes = self.budget.used_bytes.get();
        self.budget.used_bytes.set(used_bytes - self.held_bytes());
    }
}
