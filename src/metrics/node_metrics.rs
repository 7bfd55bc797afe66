//! The metrics of one process.

use std::fmt;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use super::{
    AccountMetrics, ClosureCounter, FeedLabels, OrderLabels, RankLabels, RefusalLabels,
    RequestLabels, TableLabels,
};

type LatencyFamily = Family<RequestLabels, Histogram, fn() -> Histogram>;

/// Counters, gauges and histograms with their registry.
pub struct NodeMetrics {
    registry: Registry,
    /// Answered requests by rank.
    pub answered: Family<RequestLabels, Counter>,
    /// Seconds from arrival to the first byte of the answer, by rank.
    pub first_byte_s: LatencyFamily,
    /// Refusals by reason and outcome.
    pub refused: Family<RefusalLabels, Counter>,
    /// Keys and requests of client accounts.
    pub accounts: AccountMetrics,
    /// Requests that were refused, or delayed since upstreams were full, by rank and reason.
    pub given_way: Family<RankLabels, Counter>,
    /// Clients that were cut off, by the limit that they met.
    pub cut_clients: ClosureCounter,
    /// Requests sent to another upstream after a first attempt.
    pub retried: Counter,
    /// Answers with an odd figure of how long work takes at the upstream.
    pub odd_figures: Counter,
    /// Streams with a pause beyond the longest one that their route allows.
    pub paused_streams: Counter,
    /// Longest pause of each stream in seconds.
    pub stream_pause_s: Histogram,
    /// Upstreams whose work lastingly takes longer than that of their peers.
    pub slow_upstreams: Gauge,
    /// Upstreams whose work lastingly takes less time than that of their peers.
    pub fast_upstreams: Gauge,
    /// Requests that waited until an upstream accepted them.
    pub token_waits: Counter,
    /// Bytes sent to and received from other regions.
    pub remote_bytes: Counter,
    /// Engine orders by outcome.
    pub orders: Family<OrderLabels, Counter>,
    /// Table calls by result.
    pub table_calls: Family<TableLabels, Counter>,
    /// Seconds that reads of feeds took, waits for changes included.
    pub feed_reads: Family<FeedLabels, Histogram, fn() -> Histogram>,
    /// Seconds by which this process's own timers are late.
    pub timer_lateness_s: Histogram,
    /// Crashes of the upstream.
    pub crashes: Counter,
    /// Waiting requests.
    pub waiting: Gauge,
    /// Running requests.
    pub running: Gauge,
    /// Accelerator memory in use, in megabytes.
    pub memory_used_mb: Gauge,
    /// Bytes of the messages that the process holds.
    pub message_bytes: Gauge,
    /// Bytes that these messages may have together.
    pub message_bytes_limit: Gauge,
    /// Settings revision in force.
    pub settings_revision: Gauge,
    /// Bytes of control messages sent to peers.
    pub control_bytes: Counter,
}

impl fmt::Debug for NodeMetrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("NodeMetrics")
            .finish_non_exhaustive()
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 16))
}

impl NodeMetrics {
    /// Creates all metrics at zero and registers them.
    #[must_use]
    pub fn open() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("quetzalpin"),
            answered: Family::default(),
            first_byte_s: Family::new_with_constructor(latency_histogram),
            refused: Family::default(),
            accounts: AccountMetrics::default(),
            given_way: Family::default(),
            cut_clients: ClosureCounter::default(),
            retried: Counter::default(),
            odd_figures: Counter::default(),
            paused_streams: Counter::default(),
            stream_pause_s: latency_histogram(),
            slow_upstreams: Gauge::default(),
            fast_upstreams: Gauge::default(),
            token_waits: Counter::default(),
            remote_bytes: Counter::default(),
            orders: Family::default(),
            table_calls: Family::default(),
            feed_reads: Family::new_with_constructor(latency_histogram),
            timer_lateness_s: latency_histogram(),
            crashes: Counter::default(),
            waiting: Gauge::default(),
            running: Gauge::default(),
            memory_used_mb: Gauge::default(),
            message_bytes: Gauge::default(),
            message_bytes_limit: Gauge::default(),
            settings_revision: Gauge::default(),
            control_bytes: Counter::default(),
        };
        metrics.register_requests();
        metrics.register_state();
        metrics.register_speeds();
        metrics
    }

    /// Encodes all metrics as OpenMetrics text.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut text = String::new();
        let _ = encode(&mut text, &self.registry);
        text
    }

    /// Counts a table call.
    pub fn count_table_call(&self, operation: &str, is_ok: bool) {
        let result = if is_ok { "ok" } else { "failed" };
        let labels = TableLabels {
            operation: operation.to_owned(),
            result: result.to_owned(),
        };
        self.table_calls.get_or_create(&labels).inc();
    }

    fn register_requests(&mut self) {
        let registry = &mut self.registry;
        registry.register("answered", "Answered requests", self.answered.clone());
        registry.register(
            "first_byte_seconds",
            "Time to the first byte",
            self.first_byte_s.clone(),
        );
        registry.register("refused", "Refused requests", self.refused.clone());
        self.accounts.register(registry);
        registry.register(
            "given_way",
            "Refused and delayed requests by rank and reason",
            self.given_way.clone(),
        );
        registry.register(
            "cut_clients",
            "Clients that were cut off",
            self.cut_clients.clone(),
        );
        registry.register("retried", "Retried requests", self.retried.clone());
        registry.register(
            "token_waits",
            "Requests that waited for a rate limit or a pause of an upstream",
            self.token_waits.clone(),
        );
        registry.register(
            "remote_bytes",
            "Bytes over links between regions",
            self.remote_bytes.clone(),
        );
    }

    fn register_speeds(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "odd_figures",
            "Answers with an odd figure of how long work takes at the upstream",
            self.odd_figures.clone(),
        );
        registry.register(
            "paused_streams",
            "Streams with a pause beyond the longest one allowed",
            self.paused_streams.clone(),
        );
        registry.register(
            "stream_pause_seconds",
            "Longest pause of each stream",
            self.stream_pause_s.clone(),
        );
        registry.register(
            "slow_upstreams",
            "Upstreams whose work lastingly takes longer than that of their peers",
            self.slow_upstreams.clone(),
        );
        registry.register(
            "fast_upstreams",
            "Upstreams whose work lastingly takes less time than that of their peers",
            self.fast_upstreams.clone(),
        );
    }

    /// Counts a request that was refused or delayed.
    pub fn record_given_way(&self, rank: u8, reason: String) {
        let rank = rank.to_string();
        let labels = RankLabels { rank, reason };
        self.given_way.get_or_create(&labels).inc();
    }

    fn register_state(&mut self) {
        let registry = &mut self.registry;
        registry.register("orders", "Engine orders", self.orders.clone());
        registry.register("table_calls", "Table calls", self.table_calls.clone());
        registry.register(
            "feed_read_seconds",
            "Duration of reads of feeds",
            self.feed_reads.clone(),
        );
        registry.register(
            "timer_lateness_seconds",
            "Lateness of the process's own timers",
            self.timer_lateness_s.clone(),
        );
        registry.register("crashes", "Upstream crashes", self.crashes.clone());
        registry.register("waiting", "Waiting requests", self.waiting.clone());
        registry.register("running", "Running requests", self.running.clone());
        registry.register(
            "memory_used_megabytes",
            "Accelerator memory in use",
            self.memory_used_mb.clone(),
        );
        registry.register(
            "message_bytes",
            "Bytes of messages held",
            self.message_bytes.clone(),
        );
        registry.register(
            "message_bytes_limit",
            "Bytes that messages may have together",
            self.message_bytes_limit.clone(),
        );
        registry.register(
            "settings_revision",
            "Settings revision in force",
            self.settings_revision.clone(),
        );
        registry.register(
            "control_bytes",
            "Bytes of control messages sent",
            self.control_bytes.clone(),
        );
    }
}
