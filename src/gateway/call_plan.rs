//! Route, service and deadlines of a request, decided before it is sent.

use compact_str::CompactString;

use super::{CallHead, PromptPart, ResumePoint};
use crate::account::{CallerCredential, ClientAccount, KeyDigest};
use crate::fleet::{ModelNeed, RouteKind, RouteRule};
use crate::prelude::*;
use crate::quarantine::{PromptPartId, RequestFingerprint, RequestSuspects};
use crate::rate_limit::WaitTurn;
use crate::routing::rendezvous_weight;

/// Shortest time in milliseconds that clients are assumed to wait for the first event of a stream.
const MIN_FIRST_EVENT_MS: u64 = 2_000;

/// Time that clients are assumed to wait for the first event, as a multiple of the target.
const FIRST_EVENT_TARGET_FACTOR: u64 = 4;

/// Time that clients are assumed to wait for the first event, as a multiple of the longest gap.
const FIRST_EVENT_GAP_FACTOR: u64 = 8;

/// Milliseconds reserved for reading the prompt after a wait for the model.
const PROMPT_RESERVE_MS: u64 = 200;

/// Milliseconds reserved for each token of the answer; even an idle engine is no faster.
const TOKEN_MS: u64 = 6;

/// Route, service and deadlines of one request.
#[derive(Debug, Clone)]
pub struct CallPlan {
    /// Id of the client's attempt.
    pub request: CompactString,
    /// Name of the route.
    pub route: CompactString,
    /// Route kind; decides whether attempts may be repeated and whether the answer is a stream.
    pub kind: RouteKind,
    /// The service that serves it.
    pub service: ServiceName,
    /// Rank, of the account if it has one, else of the route; 0 is the most urgent.
    pub rank: u8,
    /// Maximum number of attempts that may have run.
    pub max_attempts: u32,
    /// Model and adapter that must be loaded; `None` for plain services.
    pub need: Option<ModelNeed>,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Expected answer length in tokens; 0 if the client gave none.
    pub answer_tokens: u32,
    /// Id of the last shared part of the prompt; requests with the same id prefer the same upstream.
    pub affinity: Option<CompactString>,
    /// Parts of the prompt that other requests may share: all but the last.
    pub parts: Vec<PromptPartId>,
    /// Where the client takes up a stream; `None` for a request from the start.
    pub resume: Option<ResumePoint>,
    /// Arrival time.
    pub arrived_at: MonoTime,
    /// Milliseconds within which the answer has its full worth.
    pub target_ms: u64,
    /// Deadline: the earlier of the client's and the route's.
    pub ends_at: MonoTime,
    /// Time until which the request may wait for its model or a slot.
    pub wait_until: MonoTime,
    /// Version of the configuration that the plan was made from.
    pub catalog_version: u64,
    /// Account that the request belongs to; `None` without one.
    pub account: Option<AccountName>,
    /// Key that must belong to the account when the request is sent; `None` if the route needs none.
    pub key: Option<KeyDigest>,
    /// Units that the account's limit counts for the request; 0 without a limit.
    pub cost: u32,
}

impl CallPlan {
    /// Plans a request on its route.
    #[must_use]
    pub fn open(now: MonoTime, head: CallHead, rule: &RouteRule, catalog_version: u64) -> Self {
        let limit_ms = head.deadline_ms.unwrap_or(u64::MAX).min(rule.timeout_ms);
        let first_event_ms = match rule.kind {
            RouteKind::Stream { gap_ms, .. } => MIN_FIRST_EVENT_MS
                .max(rule.target_ms.saturating_mul(FIRST_EVENT_TARGET_FACTOR))
                .max(gap_ms.saturating_mul(FIRST_EVENT_GAP_FACTOR)),
            _ => limit_ms,
        };
        let answer_tokens = head.output_tokens.unwrap_or(0);
        let wait_ms = limit_ms
            .saturating_sub(answer_reserve_ms(&head))
            .min(first_event_ms)
            .saturating_sub(PROMPT_RESERVE_MS);
        let shared = head.prompt.len().checked_sub(2);
        Self {
            service: rule
                .service_for(rendezvous_weight(&head.request, "service"))
                .clone(),
            route: rule.name.clone(),
            kind: rule.kind,
            rank: rule.rank,
            max_attempts: rule.max_attempts,
            prompt_tokens: token_sum(&head.prompt),
            answer_tokens,
            parts: shared_parts(&head.prompt),
            affinity: shared.map(|index| head.prompt[index].id.clone()),
            need: head.need,
            resume: head.resume,
            request: head.request,
            arrived_at: now,
            target_ms: rule.target_ms,
            ends_at: now + limit_ms,
            wait_until: now + wait_ms,
            catalog_version,
            account: None,
            key: match head.credential {
                CallerCredential::Digest(key) if !rule.is_key_exempt => Some(key),
                _ => None,
            },
            cost: 0,
        }
    }

    /// Records the account that the request belongs to. Its rank replaces the route's.
    /// `token_count` is what the request states, `None` if it states nothing.
    pub fn assign(&mut self, account: &ClientAccount, token_count: Option<u32>) {
        self.account = Some(account.name.clone());
        self.rank = account.rank.unwrap_or(self.rank);
        let limit = account.limit.as_ref();
        self.cost = limit.map_or(0, |limit| limit.cost(token_count));
    }

    /// Position among requests that wait for the same upstream.
    #[must_use]
    pub const fn wait_turn(&self) -> WaitTurn {
        WaitTurn {
            rank: self.rank,
            arrived_at: self.arrived_at,
        }
    }

    /// Whether the answer is a stream.
    #[must_use]
    pub const fn is_stream(&self) -> bool {
        matches!(self.kind, RouteKind::Stream { .. })
    }

    /// What of the request with this fingerprint may be at fault if an upstream crashes.
    #[must_use]
    pub fn suspects(&self, request: RequestFingerprint) -> RequestSuspects<'_> {
        RequestSuspects {
            request,
            parts: &self.parts,
        }
    }
}

/// Milliseconds after a wait for the model that are reserved for the answer. None are for a stream that is
/// taken up: the request states the largest answer, most of which may have been received.
fn answer_reserve_ms(head: &CallHead) -> u64 {
    if head.resume.is_some() {
        return 0;
    }
    head.output_tokens.map_or(0, u64::from) * TOKEN_MS
}

/// Length of a prompt in tokens; callers may name any numbers.
fn token_sum(prompt: &[PromptPart]) -> u32 {
    let tokens = prompt.iter().map(|part| part.tokens);
    tokens.fold(0, u32::saturating_add)
}

fn shared_parts(prompt: &[PromptPart]) -> Vec<PromptPartId> {
    let shared = prompt.split_last().map_or(prompt, |(_, shared)| shared);
    shared
        .iter()
        .map(|part| PromptPartId::of(&part.id))
        .collect()
}
