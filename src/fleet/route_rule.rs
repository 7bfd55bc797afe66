//! Routes of the fleet's configuration.

use compact_str::CompactString;

use crate::prelude::*;

/// How often a request of a route may run, and how it is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    NonIdempotent,
    /// Answered as a stream of events.
    Stream {
        /// Whether another upstream may resume after the last event that arrived.
        is_resumable: bool,
        /// Longest pause between events, in milliseconds, for a response that counts as on time.
        gap_ms: u64,
    },
}

impl RouteKind {
    /// Whether a request may be retried after an attempt whose outcome is unknown.
    #[must_use]
    pub const fn may_retry(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Stream { is_resumable, .. } => is_resumable,
        }
    }
}

/// A service that takes a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share relative to the other services of the route.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// Name of the route.
    pub name: CompactString,
    /// Host that the route belongs to, in lower case.
    pub host: CompactString,
    /// Path prefix; begins and ends with a slash.
    pub path_prefix: CompactString,
    /// How often a request may run.
    pub kind: RouteKind,
    /// Milliseconds that a request may be kept waiting.
    pub timeout_ms: u64,
    /// Latency target in milliseconds; a response within it has its full value.
    pub target_ms: u64,
    /// Priority rank; 0 is the most urgent.
    pub rank: u8,
    /// Services that share the requests; never empty.
    pub services: Vec<WeightedService>,
    /// Largest number of upstreams that may run one attempt of the caller.
    pub max_attempts: u32,
    /// Whether requests without a key of an account are served, too.
    pub is_key_exempt: bool,
}

impl RouteRule {
    /// Whether a service takes a share of the route's requests.
    #[must_use]
    pub fn has_service(&self, name: &ServiceName) -> bool {
        let mut services = self.services.iter();
        services.any(|service| service.weight > 0 && service.service == *name)
    }

    /// Picks a service by weight; the same hash always picks the same service.
    #[must_use]
    pub fn service_for(&self, hash: u64) -> &ServiceName {
        let total: u64 = self
            .services
            .iter()
            .map(|service| u64::from(service.weight))
            .sum();
        let mut remainder = hash % total.max(1);
        for service in &self.services {
            let weight = u64::from(service.weight);
            if remainder < weight {
                return &service.service;
            }
            remainder -= weight;
        }
        &self.services[0].service
    }
}
