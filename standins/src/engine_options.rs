//! How an engine stand-in behaves.

use std::net::SocketAddr;

/// How the engine behaves.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Accelerator memory in megabytes.
    pub memory_mb: u64,
    /// Requests that it batches at most.
    pub max_batch: u32,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fence: bool,
    /// Milliseconds to the first token on an idle engine.
    pub first_ms: u64,
    /// Microseconds per token on an idle engine.
    pub token_us: u64,
    /// Microseconds per token that each further request in the batch adds.
    pub batching_overhead_us: u64,
    /// Microseconds per megabyte to load from the weight store.
    pub remote_us_per_mb: u64,
    /// Microseconds per megabyte to load from the instance's memory or disk.
    pub cached_us_per_mb: u64,
    /// Checkpoints that the instance keeps near.
    pub cached_checkpoints: usize,
    /// Milliseconds for an adapter's load.
    pub adapter_ms: u64,
    /// Milliseconds that a crashed engine is down.
    pub restart_ms: u64,
    /// Milliseconds by which its report lags.
    pub lag_ms: u64,
    /// Where the weight store listens; without it, loads take their bare time.
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
