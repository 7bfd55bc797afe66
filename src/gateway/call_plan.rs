//! What is decided about a request before it is sent anywhere.

use compact_str::CompactString;

use super::CallHead;
use crate::fleet::{ModelNeed, RouteKind, RouteRule};
use crate::prelude::*;
use crate::routing::rendezvous_weight;

/// Least milliseconds that callers wait for the first event of a stream.
const MIN_PATIENCE_MS: u64 = 2_000;

/// Multiple of the target that callers wait for the first event.
const TARGET_PATIENCE: u64 = 4;

/// Multiple of the longest pause that callers wait for the first event.
const GAP_PATIENCE: u64 = 8;

/// Milliseconds kept for reading the prompt when a request waits for its model.
const WORK_RESERVE_MS: u64 = 200;

/// Milliseconds kept for each token of the answer; an engine with few requests is no faster.
const TOKEN_MS: u64 = 6;

/// Route, service and times of one request.
#[derive(Debug, Clone)]
pub struct CallPlan {
    /// Identity of the caller's attempt.
    pub request: CompactString,
    /// Name of the route.
    pub route: CompactString,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The service that serves it.
    pub service: ServiceName,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Upstreams that may run it.
    pub max_attempts: u32,
    /// What must be loaded.
    pub need: Option<ModelNeed>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Identity of the shared part of the prompt.
    pub affinity: Option<CompactString>,
    /// When it arrived.
    pub arrived_at: MonoTime,
    /// Milliseconds within which the answer has its full worth.
    pub target_ms: u64,
    /// When the caller or the route gives up.
    pub ends_at: MonoTime,
    /// Until when it may wait for its model or a place.
    pub wait_until: MonoTime,
    /// Version of the configuration that decided.
    pub catalog_version: u64,
}

impl CallPlan {
    /// Plans a request on its route.
    #[must_use]
    pub fn open(now: MonoTime, head: CallHead, rule: &RouteRule, catalog_version: u64) -> Self {
        let limit_ms = head.deadline_ms.unwrap_or(u64::MAX).min(rule.timeout_ms);
        let patience_ms = match rule.kind {
            RouteKind::Stream { gap_ms, .. } => MIN_PATIENCE_MS
                .max(rule.target_ms * TARGET_PATIENCE)
                .max(gap_ms * GAP_PATIENCE),
            _ => limit_ms,
        };
        let answer_ms = u64::from(head.output_tokens.unwrap_or(0)) * TOKEN_MS;
        let wait_ms = limit_ms
            .saturating_sub(answer_ms)
            .min(patience_ms)
            .saturating_sub(WORK_RESERVE_MS);
        let shared = head.prompt.len().checked_sub(2);
        Self {
            service: rule
                .service_for(rendezvous_weight(&head.request, "service"))
                .clone(),
            route: rule.name.clone(),
            kind: rule.kind,
            rank: rule.rank,
            max_attempts: rule.max_attempts,
            prompt_tokens: head.prompt.iter().map(|part| part.tokens).sum(),
            affinity: shared.map(|index| head.prompt[index].id.clone()),
            need: head.need,
            request: head.request,
            arrived_at: now,
            target_ms: rule.target_ms,
            ends_at: now + limit_ms,
            wait_until: now + wait_ms,
            catalog_version,
        }
    }

    /// Whether the answer is a stream.
    #[must_use]
    pub const fn is_stream(&self) -> bool {
        matches!(self.kind, RouteKind::Stream { .. })
    }
}
