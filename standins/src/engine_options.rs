//! Options of an engine stand-in.

use std::net::SocketAddr;

/// Capacity and timing of an engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Accelerator memory in megabytes.
    pub memory_mb: u64,
    /// Maximum number of requests in the batch.
    pub max_batch: u32,
    /// Whether the engine rejects commands with a stale fencing token.
    pub checks_fence: bool,
    /// Prefill time of an uncached prompt in milliseconds.
    pub first_ms: u64,
    /// Microseconds per token on an idle engine.
    pub token_us: u64,
    /// Microseconds per token that each further request in the batch adds to all requests.
    pub batching_overhead_us: u64,
    /// Microseconds per megabyte to load from the weight store.
    pub remote_us_per_mb: u64,
    /// Microseconds per megabyte to load a checkpoint cached in the instance's memory or disk.
    pub cached_us_per_mb: u64,
    /// Maximum number of checkpoints that the instance caches in memory or on disk.
    pub cached_checkpoints: usize,
    /// Load time of an adapter in milliseconds.
    pub adapter_ms: u64,
    /// Downtime after a crash in milliseconds.
    pub restart_ms: u64,
    /// Maximum age of the state report, and delay of the cache events, in milliseconds.
    pub lag_ms: u64,
    /// Address of the weight store; without it, loads take their nominal time, without rate limit.
    pub weights: Option<SocketAddr>,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            memory_mb: 80_000,
            max_batch: 16,
            checks_fence: true,
            first_ms: 40,
            token_us: 10_000,
            batching_overhead_us: 500,
            remote_us_per_mb: 50,
            cached_us_per_mb: 15,
            cached_checkpoints: 6,
            adapter_ms: 5,
            restart_ms: 1_000,
            lag_ms: 100,
            weights: None,
        }
    }
}
