//! Processor, memory and control traffic of idle daemon processes by the number of agents.

use std::time::{Duration, Instant};

use quetzalpin_standins::{DaemonProcess, ProcessFleet};

use super::example_fleet::{ExampleFleet, FleetSize};
use super::slope_fit::{SlopePoint, print_slope};
use crate::errors::ToolError;

/// Fleet sizes: number of agents, each with one engine.
const AGENT_COUNTS: [usize; 4] = [5, 10, 20, 40];

/// Entries in each fleet.
const ENTRY_COUNT: usize = 2;

/// Limit for a fleet to become ready, in milliseconds.
const START_TIMEOUT_MS: u64 = 120_000;

/// Delay between readiness and the measurement, in seconds.
const SETTLE_S: u64 = 3;

/// Duration of the measurement in seconds.
const MEASURE_S: u64 = 10;

/// Clock ticks per second of the processor times in `/proc/PID/stat`.
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Size of a memory page in kilobytes.
const PAGE_SIZE_KB: f64 = 4.0;

/// Mean cost of one daemon.
#[derive(Debug, Clone, Copy, Default)]
struct DaemonCost {
    cpu_percent: f64,
    resident_mb: f64,
    control_bytes_per_s: f64,
    table_calls_per_s: f64,
}

/// Measures fleets of increasing size and prints the slopes per agent.
pub async fn run() -> Result<(), ToolError> {
    let mut entries = Vec::new();
    let mut agents = Vec::new();
    for count in AGENT_COUNTS {
        let (entry, agent) = measure(count).await?;
        entries.push((count, entry));
        agents.push((count, agent));
    }
    print_costs("an idle entry", &entries);
    print_costs("an idle agent", &agents);
    Ok(())
}

fn print_costs(name: &str, costs: &[(usize, DaemonCost)]) {
    let series = |value: fn(&DaemonCost) -> f64| -> Vec<SlopePoint> {
        let point = |(count, cost): &(usize, DaemonCost)| SlopePoint {
            #[allow(clippy::cast_precision_loss)]
            size: *count as f64,
            cost: value(cost),
        };
        costs.iter().map(point).collect()
    };
    let percent = "% of a core";
    print_slope(
        &format!("{name}: processor"),
        percent,
        "agent",
        &series(|cost| cost.cpu_percent),
    );
    print_slope(
        &format!("{name}: memory"),
        "MB",
        "agent",
        &series(|cost| cost.resident_mb),
    );
    let bytes = series(|cost| cost.control_bytes_per_s);
    print_slope(&format!("{name}: control sent"), "bytes/s", "agent", &bytes);
    let calls = series(|cost| cost.table_calls_per_s);
    print_slope(&format!("{name}: table calls"), "calls/s", "agent", &calls);
}

async fn measure(count: usize) -> Result<(DaemonCost, DaemonCost), ToolError> {
    let example = ExampleFleet::Office;
    let plan = example.plan(FleetSize {
        engines: count,
        services: 0,
        entries: ENTRY_COUNT,
    });
    let daemon = std::env::current_exe()?.with_file_name("quetzalpind");
    let mut fleet = ProcessFleet::spawn(&daemon, &plan).await?;
    fleet
        .wait_ready(example.model_count(), START_TIMEOUT_MS)
        .await?;
    compio::time::sleep(Duration::from_secs(SETTLE_S)).await;
    let client = cyper::Client::new()?;
    let before = FleetSnapshot::take(&client, &fleet).await;
    let began_at = Instant::now();
    compio::time::sleep(Duration::from_secs(MEASURE_S)).await;
    let after = FleetSnapshot::take(&client, &fleet).await;
    let seconds = began_at.elapsed().as_secs_f64();
    let entry = before.entries.cost(&after.entries, seconds, ENTRY_COUNT);
    let agent = before.agents.cost(&after.agents, seconds, count);
    Ok((entry, agent))
}

/// Totals over all processes of one role.
#[derive(Debug, Clone, Copy, Default)]
struct RoleTotals {
    cpu_ticks: f64,
    resident_kb: f64,
    control_bytes: f64,
    table_calls: f64,
}

/// Totals of both roles at one point in time.
struct FleetSnapshot {
    entries: RoleTotals,
    agents: RoleTotals,
}

impl FleetSnapshot {
    async fn take(client: &cyper::Client, fleet: &ProcessFleet) -> Self {
        Self {
            entries: RoleTotals::collect(client, &fleet.entries).await,
            agents: RoleTotals::collect(client, &fleet.agents).await,
        }
    }
}

impl RoleTotals {
    async fn collect(client: &cyper::Client, processes: &[DaemonProcess]) -> Self {
        let mut totals = Self::default();
        for process in processes {
            let Some(id) = process.id() else {
                continue;
            };
            totals.cpu_ticks += cpu_ticks(id);
            totals.resident_kb += resident_kb(id);
            let text = metrics_text(client, process).await.unwrap_or_default();
            totals.control_bytes += metric_sum(&text, "quetzalpin_control_bytes_total");
            totals.table_calls += metric_sum(&text, "quetzalpin_table_calls_total");
        }
        totals
    }

    #[allow(clippy::cast_precision_loss)]
    fn cost(&self, after: &Self, seconds: f64, processes: usize) -> DaemonCost {
        let process_count = processes.max(1) as f64;
        let ticks = after.cpu_ticks - self.cpu_ticks;
        DaemonCost {
            cpu_percent: ticks / CLOCK_TICKS_PER_S / seconds * 100.0 / process_count,
            resident_mb: after.resident_kb / 1_024.0 / process_count,
            control_bytes_per_s: (after.control_bytes - self.control_bytes)
                / seconds
                / process_count,
            table_calls_per_s: (after.table_calls - self.table_calls) / seconds / process_count,
        }
    }
}

async fn metrics_text(client: &cyper::Client, process: &DaemonProcess) -> Option<String> {
    let url = format!("http://{}/metrics", process.address);
    client.get(url).ok()?.send().await.ok()?.text().await.ok()
}

/// Sums a metric over all its label values.
fn metric_sum(text: &str, name: &str) -> f64 {
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// User and system time of a process, in clock ticks.
fn cpu_ticks(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
    ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)
}

/// Resident memory of a process in kilobytes; 0 if it cannot be read.
pub fn resident_kb(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/statm")).unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|f| f.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_SIZE_KB
}
