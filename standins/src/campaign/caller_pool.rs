//! Concurrent callers that send chats and stamps at random and resend some of them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::call_history::{CallRecord, CallResult, CallSubject, classify_outcome};
use crate::caller_client::{CallerClient, ChatCall, ServiceCall};
use crate::errors::StandinError;
use crate::prompt_words::POISON_WORD;
use crate::small_fleet::{SMALL_CREDENTIAL, SMALL_MODEL_COUNT, small_stamp};

/// Deadline that callers send with each call.
const CALL_DEADLINE_MS: u64 = 6_000;

/// Time after which a caller abandons a call that has not ended.
const CLIENT_TIMEOUT_MS: u64 = 30_000;

/// Upper bound of the random delay between the calls of one caller.
const MAX_PAUSE_MS: u64 = 300;

/// On average, one in this many chats has a prompt that crashes engines.
const CALLS_PER_POISON: u32 = 40;

/// Returns how often a batch has been stamped so far, over all services.
pub type StampCounter = Box<dyn Fn(&str) -> u32>;

/// State shared by all callers of a campaign.
pub struct CallerPool {
    entries: Vec<SocketAddr>,
    started_at: Instant,
    rng: RefCell<fastrand::Rng>,
    numbers: Cell<u64>,
    is_stopped: Cell<bool>,
    stamp_counter: StampCounter,
    /// Calls that have ended, in the order in which they ended.
    pub history: RefCell<Vec<CallRecord>>,
    /// Batches whose stamp has not been answered yet.
    open_batches: RefCell<Vec<String>>,
    /// Calls that crash engines; they are resent unchanged.
    poison_calls: RefCell<Vec<PlannedCall>>,
}

impl CallerPool {
    /// Opens a pool that sends its calls to the given entries.
    pub fn open(entries: Vec<SocketAddr>, seed: u64, stamp_counter: StampCounter) -> Rc<Self> {
        Rc::new(Self {
            entries,
            started_at: Instant::now(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            numbers: Cell::new(0),
            is_stopped: Cell::new(false),
            stamp_counter,
            history: RefCell::new(Vec::new()),
            open_batches: RefCell::new(Vec::new()),
            poison_calls: RefCell::new(Vec::new()),
        })
    }

    /// Makes each caller return after its current call.
    pub fn stop(&self) {
        self.is_stopped.set(true);
    }

    /// Sends random calls until [`Self::stop`] is called.
    ///
    /// # Errors
    /// [`StandinError::Client`] if the HTTP client cannot be set up.
    pub async fn run_caller(self: Rc<Self>) -> Result<(), StandinError> {
        let mut clients = Vec::new();
        for entry in &self.entries {
            clients.push(CallerClient::open(*entry)?);
        }
        while !self.is_stopped.get() {
            let entry = self.rng.borrow_mut().usize(..clients.len());
            let is_stamp = self.rng.borrow_mut().u32(..10) < 4;
            let call = if is_stamp {
                self.next_stamp_call(entry)
            } else {
                self.next_chat_call(entry)
            };
            call.send(&self, &clients[entry]).await;
            let pause_ms = self.rng.borrow_mut().u64(..MAX_PAUSE_MS);
            compio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        Ok(())
    }

    /// Resends each stamp without an answer once, to the first entry.
    ///
    /// # Errors
    /// [`StandinError::Client`] if the HTTP client cannot be set up.
    pub async fn retry_open_stamps(&self) -> Result<(), StandinError> {
        let client = CallerClient::open(self.entries[0])?;
        let batches = self.open_batches.borrow().clone();
        for batch in batches {
            PlannedCall::stamp(0, batch).send(self, &client).await;
        }
        Ok(())
    }

    fn next_number(&self) -> u64 {
        self.numbers.set(self.numbers.get() + 1);
        self.numbers.get()
    }

    fn next_stamp_call(&self, entry: usize) -> PlannedCall {
        let is_resend = self.rng.borrow_mut().bool();
        let open = self.open_batches.borrow();
        let index = self.rng.borrow_mut().usize(..open.len().max(1));
        let batch = open.get(index).filter(|_| is_resend).cloned();
        drop(open);
        let batch = batch.unwrap_or_else(|| {
            let batch = format!("batch-{}", self.next_number());
            self.open_batches.borrow_mut().push(batch.clone());
            batch
        });
        PlannedCall::stamp(entry, batch)
    }

    fn next_chat_call(&self, entry: usize) -> PlannedCall {
        let number = self.next_number();
        let mut rng = self.rng.borrow_mut();
        let mut poison_calls = self.poison_calls.borrow_mut();
        let is_poison = rng.u32(..CALLS_PER_POISON) == 0;
        if is_poison && !poison_calls.is_empty() && rng.bool() {
            let again = poison_calls[rng.usize(..poison_calls.len())].clone();
            return PlannedCall { entry, ..again };
        }
        let word = if is_poison { POISON_WORD } else { "prompt" };
        let call = PlannedCall {
            entry,
            model: format!("m{}", rng.usize(..SMALL_MODEL_COUNT)),
            subject: CallSubject::Chat {
                prompt: format!("{word} {number}"),
                stream: rng.bool(),
                tokens: rng.u32(1..20),
            },
        };
        if is_poison {
            poison_calls.push(call.clone());
        }
        call
    }

    fn record(&self, record: CallRecord) {
        if let (CallSubject::Stamp { batch }, CallResult::Answer(_)) =
            (&record.subject, &record.result)
        {
            self.open_batches.borrow_mut().retain(|open| open != batch);
        }
        self.history.borrow_mut().push(record);
    }
}

/// Call that is ready to be sent.
#[derive(Debug, Clone)]
struct PlannedCall {
    entry: usize,
    model: String,
    subject: CallSubject,
}

impl PlannedCall {
    const fn stamp(entry: usize, batch: String) -> Self {
        Self {
            entry,
            model: String::new(),
            subject: CallSubject::Stamp { batch },
        }
    }

    async fn send(self, pool: &CallerPool, client: &CallerClient) {
        let started_after = pool.started_at.elapsed();
        let id = format!("call-{}", pool.next_number());
        let pending_call = async {
            match &self.subject {
                CallSubject::Stamp { batch } => {
                    let call = ServiceCall {
                        deadline_ms: Some(CALL_DEADLINE_MS),
                        ..small_stamp(batch, &id)
                    };
                    client.service(&call).await.ok()
                }
                CallSubject::Chat {
                    prompt,
                    stream,
                    tokens,
                } => {
                    let call = ChatCall {
                        credential: SMALL_CREDENTIAL.to_owned(),
                        kind: "ask".to_owned(),
                        model: self.model.clone(),
                        adapter: None,
                        prompt: prompt.clone(),
                        tokens: *tokens,
                        stream: *stream,
                        deadline_ms: Some(CALL_DEADLINE_MS),
                        id: id.clone(),
                    };
                    client.chat(&call).await.ok()
                }
            }
        };
        let timeout = Duration::from_millis(CLIENT_TIMEOUT_MS);
        let outcome = compio::time::timeout(timeout, pending_call).await;
        pool.record(CallRecord {
            subject: self.subject.clone(),
            id: id.clone(),
            entry: self.entry,
            started_after,
            duration: pool.started_at.elapsed().saturating_sub(started_after),
            deadline_ms: CALL_DEADLINE_MS,
            result: classify_outcome(outcome.ok().flatten()),
            run_count: match &self.subject {
                CallSubject::Stamp { batch } => (pool.stamp_counter)(batch),
                CallSubject::Chat { .. } => 0,
            },
        });
    }
}
