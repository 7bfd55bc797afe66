//! Routes of the fleet's configuration.

use compact_str::CompactString;

use crate::prelude::*;

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Runs any number of times.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    NonIdempotent,
    /// Answered as a stream of events.
    Stream {
        /// Whether another upstream may go on after the last event that arrived.
        is_resumable: bool,
        /// Longest pause between events, in milliseconds, for an answer in time.
        gap_ms: u64,
    },
}

impl RouteKind {
    /// Whether a request may be sent again after an attempt of unknown outcome.
    #[must_use]
    pub const fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent)
    }
}

/// A service that takes a part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its part relative to the other services of the route.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// Name of the route.
    pub name: CompactString,
    /// Host that the route belongs to, in lower case.
    pub host: CompactString,
    /// Begins and ends with a slash.
    pub path_prefix: CompactString,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Milliseconds that a request may be kept waiting.
    pub timeout_ms: u64,
    /// Milliseconds within which an answer has its full worth.
    pub target_ms: u64,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Never empty.
    pub services: Vec<WeightedService>,
    /// Upstreams that may run one attempt of the caller.
    pub max_attempts: u32,
}

impl RouteRule {
    /// The service that serves a request, the same one each time for the same number.
    #[must_use]
    pub fn service_for(&self, number: u64) -> &ServiceName {
        let total: u64 = self
            .services
            .iter()
            .map(|part| u64::from(part.weight))
            .sum();
        let mut rest = number % total.max(1);
        for part in &self.services {
            let weight = u64::from(part.weight);
            if rest < weight {
                return &part.service;
            }
            rest -= weight;
        }
        &self.services[0].service
    }
}
